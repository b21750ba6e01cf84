"""A short wait, in place of a refusal, for a controller that is about to be able to decide."""

from roadhead.api.answers import Cause, RefusedError
from roadhead.runtime.loop import Future, Timeout


class Readiness:
    """What a controller lacks before it can take submissions and cancellations.

    Joining, also anew after a drop, takes a few round trips, and so does the catalogue: users who come just
    then are served sooner by waiting than by asking again after a second. `node`: the controller's Node;
    `patience_s`: for how long they wait.
    """

    def __init__(self, loop, node, patience_s):
        self._loop = loop
        self._node = node
        self._patience_s = patience_s
        self._waiting = {}  # Future of each request that waits, in order as a set

    def lacks_membership(self):
        """Cause.NOT_A_MEMBER while this controller is none, else None."""
        return None if self._node.member.joined else Cause.NOT_A_MEMBER

    def lacks_for_submission(self):
        """The Cause for which submissions can't be decided yet, or None."""
        return self.lacks_membership() or (
            None if self._node.shard_leader.registry.types else Cause.TYPES_UNKNOWN
        )

    def check_state(self):
        """Raises RefusedError if the state service has answered nothing for as long as users wait here: they
        do better at another controller."""
        if self._state_fails():
            raise RefusedError(Cause.STATE_UNAVAILABLE)

    def _state_fails(self):
        return self._node.state.failing_for_s() > self._patience_s

    def changed(self):
        """This controller has joined, or knows the machine types."""
        for change in list(self._waiting):
            change.set()

    async def until(self, lacks):
        """Returns once `lacks()` is None. Raises RefusedError with its Cause after the patience, or at once
        if the state service answers nothing, without which nothing can change."""
        deadline = self._loop.now() + self._patience_s
        while (cause := lacks()) is not None:
            if self._state_fails():
                raise RefusedError(cause)
            change = Future()
            self._waiting[change] = True
            try:
                await self._loop.within(deadline - self._loop.now(), change)
            except Timeout:
                raise RefusedError(cause) from None
            finally:
                del self._waiting[change]
