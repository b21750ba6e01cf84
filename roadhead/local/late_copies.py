"""Late copies of requests that were carried out and answered, as a network may deliver them."""

from roadhead.local.fault_windows import LATE_COPIES, LATE_COPY_S

MODIFYING_METHODS = ("POST", "DELETE")


def schedule_copies(window, sim, loop, method, deliver):
    """Delivers copies of an answered request, if the fault window `window` strikes it.

    `deliver` is a coroutine function without arguments that delivers one copy, whose answer nobody reads; it
    runs on `loop`, the event loop of the receiver, or of the sender if the receiver may change.
    """
    if method not in MODIFYING_METHODS or not window.strikes(sim):
        return
    for _ in range(sim.random.choice(LATE_COPIES)):
        loop.spawn(_deliver_later(sim.random.uniform(*LATE_COPY_S), loop, deliver), "late copy")


async def _deliver_later(delay_s, loop, deliver):
    await loop.sleep(delay_s)
    await deliver()
