"""What the loop and the links between controllers promise to those who call them."""

from roadhead.runtime.loop import Loop


def test_a_callback_or_routine_that_fails_is_reported():
    """Such errors are survived, and what the callback had yet to do is missing: operators must see them."""
    loop = Loop()
    failures = []
    loop.on_failure = lambda: failures.append(1)

    async def failing():
        raise KeyError("routine")

    loop.call_soon({}.pop, "callback")
    loop.spawn(failing())
    loop.turn()
    assert len(failures) == 2
