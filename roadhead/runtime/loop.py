"""The event loop: timers, routines (`async def`, run here) and their orderly cancellation.

The clock and the selector are handed in, so that tests run the same code in virtual time.
"""

import heapq
import logging
import selectors
import time
from collections import deque

log = logging.getLogger("roadhead.loop")

CATCH_UP_MOST = 1000  # rounds of reading after a stall, should the sockets never run empty


class Cancelled(BaseException):
    """Raised inside a routine at its current await when it is cancelled."""


class Timeout(Exception):
    """An awaited thing did not come in time."""


class Future:
    """A value that comes later; awaited by at most a few routines."""

    __slots__ = ("_callbacks", "_error", "_value", "done")

    def __init__(self):
        self.done = False
        self._value = None
        self._error = None
        self._callbacks = []

    def set(self, value=None):
        if not self.done:
            self.done = True
            self._value = value
            self._run()

    def fail(self, error):
        if not self.done:
            self.done = True
            self._error = error
            self._run()

    def _run(self):
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback(self)

    def on_done(self, callback):
        if self.done:
            callback(self)
        else:
            self._callbacks.append(callback)

    def result(self):
        if self._error is not None:
            raise self._error
        return self._value

    def __await__(self):
        if not self.done:
            yield self
        return self.result()


class Signal:
    """A wake-up that is remembered until somebody waits for it."""

    __slots__ = ("_future", "_set")

    def __init__(self):
        self._set = False
        self._future = None

    def set(self):
        if self._future is not None:
            future, self._future = self._future, None
            future.set()
        else:
            self._set = True

    async def wait(self, loop=None, timeout=None):
        """Waits for the signal; False if `timeout` seconds passed without it."""
        if self._set:
            self._set = False
            return True
        self._future = future = Future()
        timer = loop.call_later(timeout, future.set, Timeout) if timeout is not None else None
        try:
            return await future is not Timeout
        finally:
            if self._future is future:
                self._future = None
            if timer is not None:
                timer.cancel()


class Timer:
    __slots__ = ("args", "fn", "when")

    def __init__(self, when, fn, args):
        self.when = when
        self.fn = fn
        self.args = args

    def cancel(self):
        self.fn = None
        self.args = ()


class Routine:
    """A running coroutine. `done` completes with its result."""

    __slots__ = ("_awaited", "_cancelling", "_coro", "_loop", "done", "name")

    def __init__(self, loop, coro, name):
        self._loop = loop
        self._coro = coro
        self._awaited = None
        self._cancelling = False
        self.name = name
        self.done = Future()

    def _wake(self, future):
        if self._awaited is future:
            self._awaited = None
            self._loop.call_soon(self._step)

    def _step(self):
        if self.done.done:
            return
        try:
            if self._cancelling:
                self._cancelling = False
                awaited = self._coro.throw(Cancelled())
            else:
                awaited = self._coro.send(None)
        except StopIteration as stop:
            self.done.set(stop.value)
        except Cancelled:
            self.done.set(None)
        except Exception as error:  # a fault in one routine must not end the service
            log.exception("routine %s failed", self.name)
            self.done.fail(error)
        else:
            self._awaited = awaited
            awaited.on_done(self._wake)

    def cancel(self):
        if self.done.done or self._cancelling:
            return
        self._cancelling = True
        self._awaited = None
        self._loop.call_soon(self._step)


class Loop:
    """`on_stall(seconds)`, if set, is told when the process stood still for `stall_s` or longer
    while its clock ran on. What lies in the sockets by then is read before any timer runs, so
    that nobody is taken for silent, or late, for time in which we were not looking; meanwhile
    `catching_up` holds, since nobody knows how old what is read there is.
    """

    def __init__(self, clock=time.monotonic, selector=None):
        self.now = clock
        self.on_stall = None
        self.stall_s = 0.0
        self.catching_up = False
        self._selected_at = clock()
        self.selector = selector if selector is not None else selectors.DefaultSelector()
        self._ready = deque()
        self._timers = []  # heap of (when, number, Timer): numbers break ties
        self._timer_count = 0
        self._running = False

    def call_soon(self, fn, *args):
        self._ready.append((fn, args))

    def call_at(self, when, fn, *args):
        timer = Timer(when, fn, args)
        self._push(timer)
        return timer

    def _push(self, timer):
        self._timer_count += 1
        heapq.heappush(self._timers, (timer.when, self._timer_count, timer))

    def call_later(self, delay, fn, *args):
        return self.call_at(self.now() + delay, fn, *args)

    def spawn(self, coro, name="routine"):
        routine = Routine(self, coro, name)
        self.call_soon(routine._step)
        return routine

    async def sleep(self, delay):
        future = Future()
        timer = self.call_later(delay, future.set)
        try:
            await future
        finally:
            timer.cancel()

    async def within(self, delay, future):
        """Awaits `future`, at most `delay` seconds, else raises Timeout."""
        outcome = Future()
        timer = self.call_later(delay, outcome.fail, Timeout())

        def pass_on(source):
            if not outcome.done:
                try:
                    outcome.set(source.result())
                except Exception as error:
                    outcome.fail(error)

        future.on_done(pass_on)
        try:
            return await outcome
        finally:
            timer.cancel()

    def stop(self):
        self._running = False

    def run(self):
        self._running = True
        while self._running:
            self.turn()

    def next_timer(self):
        timers = self._timers
        while timers and timers[0][2].fn is None:
            heapq.heappop(timers)
        return timers[0][0] if timers else None

    def turn(self):
        """One turn: wait for events or the next timer, then run what is ready."""
        timeout = 0.0
        if not self._ready:
            when = self.next_timer()
            timeout = None if when is None else max(0.0, when - self.now())
        events = self.selector.select(timeout)
        now = self.now()
        # Late: the time that neither waiting nor a turn's work accounts for.
        late = now - self._selected_at - (timeout or 0.0) if timeout is not None else 0.0
        self._selected_at = now
        if self.on_stall is not None and late >= self.stall_s:
            self._catch_up(late, events)
        else:
            for key, mask in events:
                key.data(mask)
        self.run_due()

    def _catch_up(self, late, events):
        self.catching_up = True
        for _ in range(CATCH_UP_MOST):
            for key, mask in events:
                key.data(mask)
            self._run_ready()
            events = self.selector.select(0)
            if not events and not self._ready:
                break
        self.catching_up = False
        self._selected_at = self.now()
        self._guard(self.on_stall, (late,))

    def run_due(self):
        timers = self._timers
        if timers:
            now = self.now()
            while timers and timers[0][0] <= now:
                timer = heapq.heappop(timers)[2]
                if timer.fn is not None:
                    self._guard(timer.fn, timer.args)
        self._run_ready()

    def _run_ready(self):
        ready = self._ready
        for _ in range(len(ready)):
            fn, args = ready.popleft()
            self._guard(fn, args)

    @staticmethod
    def _guard(fn, args):
        try:
            fn(*args)
        except Exception:  # one faulty callback must not end the service
            log.exception("callback %r failed", fn)

    @property
    def idle(self):
        return not self._ready
