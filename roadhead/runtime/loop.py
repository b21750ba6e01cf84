"""A single-threaded event loop: timers, and routines (`async def` coroutines) with cancellation.

The clock and the selector are parameters, so that tests run the same code in virtual time.
"""

import heapq
import logging
import selectors
import time
from collections import deque

log = logging.getLogger("roadhead.loop")

CATCH_UP_MOST = 1000  # limit on rounds of reading after a stall, in case the sockets never run empty


class Cancelled(BaseException):
    """Raised inside a routine at its current await when the routine is cancelled."""


class Timeout(Exception):
    """An awaited result did not arrive in time."""


class Future:
    """A result that becomes available later, for at most a few waiting routines."""

    __slots__ = ("_callbacks", "_error", "_value", "done")

    def __init__(self):
        self.done = False
        self._value = None
        self._error = None
        self._callbacks = []

    def set(self, value=None):
        """Completes the future with `value`. Has no effect if it is done."""
        if not self.done:
            self.done = True
            self._value = value
            self._run()

    def fail(self, error):
        """Completes the future with an exception. Has no effect if it is done."""
        if not self.done:
            self.done = True
            self._error = error
            self._run()

    def _run(self):
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback(self)

    def on_done(self, callback):
        """Calls `callback(future)` once the future is done, at once if it is."""
        if self.done:
            callback(self)
        else:
            self._callbacks.append(callback)

    def result(self):
        """Returns the value or raises the error."""
        if self._error is not None:
            raise self._error
        return self._value

    def __await__(self):
        if not self.done:
            yield self
        return self.result()


class Signal:
    """A wake-up for one waiter. It is kept until somebody waits for it."""

    __slots__ = ("_future", "_set")

    def __init__(self):
        self._set = False
        self._future = None

    def set(self):
        """Wakes the waiter, or lets the next `wait` return at once."""
        if self._future is not None:
            future, self._future = self._future, None
            future.set()
        else:
            self._set = True

    async def wait(self, loop=None, timeout=None):
        """Waits for the signal. Returns False if `timeout` seconds pass without it."""
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
    """A scheduled callback."""

    __slots__ = ("args", "fn", "when")

    def __init__(self, when, fn, args):
        self.when = when
        self.fn = fn
        self.args = args

    def cancel(self):
        """Prevents the callback from running. The entry stays in the loop's heap until it is due."""
        self.fn = None
        self.args = ()


class Routine:
    """A running coroutine. `done` is a Future of its result."""

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
        except Exception as error:  # an error in one routine must not end the process
            log.exception("routine %s failed", self.name)
            self._loop.report_failure()
            self.done.fail(error)
        else:
            self._awaited = awaited
            awaited.on_done(self._wake)

    def cancel(self):
        """Raises Cancelled inside the coroutine in the next turn."""
        if self.done.done or self._cancelling:
            return
        self._cancelling = True
        self._awaited = None
        self._loop.call_soon(self._step)


class Loop:
    """The event loop.

    If set, `on_failure()` is called when a callback or a routine has ended by an exception, which the loop
    survives.

    If set, `on_stall(seconds)` is called when the process was suspended for `stall_s` or longer while its
    clock advanced. Data that has arrived in the sockets by then is read before any timer runs, so that no
    peer is considered silent or late for a time in which this process did not read. `catching_up` is true
    meanwhile, as the age of that data is unknown.
    """

    def __init__(self, clock=time.monotonic, selector=None):
        self.now = clock
        self.on_failure = None
        self.on_stall = None
        self.stall_s = 0.0
        self.catching_up = False
        self._selected_at = clock()
        self.selector = selector if selector is not None else selectors.DefaultSelector()
        self._ready = deque()
        self._timers = []  # heap of (when, sequence number, Timer); the number breaks ties
        self._timer_count = 0
        self._running = False

    def call_soon(self, fn, *args):
        """Calls `fn(*args)` in the next turn."""
        self._ready.append((fn, args))

    def call_at(self, when, fn, *args):
        """Calls `fn(*args)` at the time `when` of the loop's clock. Returns the Timer."""
        timer = Timer(when, fn, args)
        self._push(timer)
        return timer

    def _push(self, timer):
        self._timer_count += 1
        heapq.heappush(self._timers, (timer.when, self._timer_count, timer))

    def call_later(self, delay, fn, *args):
        """Calls `fn(*args)` after `delay` seconds. Returns the Timer."""
        return self.call_at(self.now() + delay, fn, *args)

    def spawn(self, coro, name="routine"):
        """Starts a coroutine. Returns its Routine; `name` appears in logs."""
        routine = Routine(self, coro, name)
        self.call_soon(routine._step)
        return routine

    async def sleep(self, delay):
        """Waits for `delay` seconds."""
        future = Future()
        timer = self.call_later(delay, future.set)
        try:
            await future
        finally:
            timer.cancel()

    async def within(self, delay, future):
        """Awaits `future` for at most `delay` seconds and returns its result. Raises Timeout."""
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
        """Makes `run` return after the current turn."""
        self._running = False

    def run(self):
        """Runs turns until `stop` is called."""
        self._running = True
        while self._running:
            self.turn()

    def next_timer(self):
        """Returns when the earliest active timer is due, or None."""
        timers = self._timers
        while timers and timers[0][2].fn is None:
            heapq.heappop(timers)
        return timers[0][0] if timers else None

    def turn(self):
        """Runs one turn: waits for I/O events or the next timer, then runs what is ready."""
        timeout = 0.0
        if not self._ready:
            when = self.next_timer()
            timeout = None if when is None else max(0.0, when - self.now())
        events = self.selector.select(timeout)
        now = self.now()
        # The time that neither the wait for events nor the work of the last turn accounts for.
        late = now - self._selected_at - (timeout or 0.0) if timeout is not None else 0.0
        self._selected_at = now
        if self.on_stall is not None and late >= self.stall_s:
            self._catch_up(late, events)
        else:
            for key, mask in events:
                key.data(mask)
        self.run_due()

    def _catch_up(self, late, events):
        """Reads all sockets until they are empty, then calls `on_stall`."""
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
        """Runs all timers that are due, then the ready callbacks."""
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

    def _guard(self, fn, args):
        try:
            fn(*args)
        except Exception:  # an error in one callback must not end the process
            log.exception("callback %r failed", fn)
            self.report_failure()

    def report_failure(self):
        """Tells that a callback or routine has ended by an exception."""
        if self.on_failure is not None:
            self.on_failure()

    @property
    def idle(self):
        """Whether no callback is ready to run."""
        return not self._ready
