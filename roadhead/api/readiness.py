"""Lets requests wait briefly for a controller that is about to become ready, in place of refusing them."""

from roadhead.api.answers import Cause, RefusedError
from roadhead.runtime.loop import Future, Timeout


class Readiness:
    """Tells what a controller lacks before it can serve submissions and cancellations.

    Joining, or rejoining after being dropped from the membership, takes a few round trips, and so does
    loading the catalogue. Users who ask in that time are served sooner by waiting here than by retrying after
    a second.

    `node`: the controller's Node; `patience_s`: how long a request may wait.
    """

    def __init__(self, loop, node, patience_s):
        self._loop = loop
        self._node = node
        self._patience_s = patience_s
        self._waiting = {}  # Future of each waiting request -> True: an ordered set

    def lacks_membership(self):
        """Returns Cause.NOT_A_MEMBER unless this controller is a member, else None."""
        return None if self._node.member.joined else Cause.NOT_A_MEMBER

    def lacks_for_submission(self):
        """Returns the Cause for which submissions can't be decided yet, or None."""
        return self.lacks_membership() or (
            None if self._node.shard_leader.registry.types else Cause.TYPES_UNKNOWN
        )

    def check_state(self):
        """Raises RefusedError if the state service has answered nothing for as long as requests may wait.

        Another controller may still reach the state service, so users should try that one.
        """
        if self._state_fails():
            raise RefusedError(Cause.STATE_UNAVAILABLE)

    def _state_fails(self):
        return self._node.state.failing_for_s() > self._patience_s

    def wake_waiting(self):
        """Wakes waiting requests: this controller has joined, or learned the machine types."""
        for future in list(self._waiting):
            future.set()

    async def until(self, lacks):
        """Waits until `lacks()` returns None.

        Raises RefusedError with the Cause after `patience_s`, or at once while the state service answers
        nothing: without it nothing can change.
        """
        deadline = self._loop.now() + self._patience_s
        while (cause := lacks()) is not None:
            if self._state_fails():
                raise RefusedError(cause)
            future = Future()
            self._waiting[future] = True
            try:
                await self._loop.within(deadline - self._loop.now(), future)
            except Timeout:
                raise RefusedError(cause) from None
            finally:
                del self._waiting[future]
