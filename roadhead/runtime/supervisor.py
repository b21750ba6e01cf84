"""Runs long-lived routines: starts them again after errors, and gives up where that does not help."""

import logging

log = logging.getLogger("roadhead.supervisor")


class Supervisor:
    """Starts routines that must go on for as long as the process, or what they belong to, lasts.

    A routine that ends by an error is logged, counted by `on_failure()`, and started again after `restart_s`
    seconds, twice as long after each further error, up to `max_restart_s`. Once one has kept failing for
    `give_up_s`, without running for `max_restart_s` in between, `on_hopeless(name)` is called, once.
    """

    def __init__(self, loop, *, restart_s, max_restart_s, give_up_s, on_failure, on_hopeless):
        self._loop = loop
        self._restart_s = restart_s
        self._max_restart_s = max_restart_s
        self._give_up_s = give_up_s
        self._on_failure = on_failure
        self._on_hopeless = on_hopeless
        self._has_given_up = False
        self.routines = {}  # name -> the Routine that runs under it

    def spawn(self, duty, name=None):
        """Starts the coroutine function `duty`, under its qualified name by default. Returns the Routine.

        The Routine ends when the duty returns without an error, or is cancelled.
        """
        name = name or duty.__qualname__
        routine = self.routines[name] = self._loop.spawn(self._run(duty, name), name)
        return routine

    async def _run(self, duty, name):
        pause_s = self._restart_s
        failing_since = None
        while True:
            started_at = self._loop.now()
            try:
                return await duty()
            except Exception:
                log.exception("%s ended by an error", name)
                self._on_failure()
            now = self._loop.now()
            if failing_since is None or now - started_at > self._max_restart_s:
                failing_since, pause_s = now, self._restart_s
            elif now - failing_since > self._give_up_s:
                self._give_up(name)
            await self._loop.sleep(pause_s)
            pause_s = min(2 * pause_s, self._max_restart_s)

    def _give_up(self, name):
        if not self._has_given_up:
            self._has_given_up = True
            log.error("%s keeps failing; this process gives up", name)
            self._on_hopeless(name)
