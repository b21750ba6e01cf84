"""Keeps copies of direct commands from launching an attempt that its worker has forgotten.

"After `forget` the worker no longer knows the attempt, so a repeated `launch` starts it again", and messages
"can arrive minutes late" (PROTOCOL), answered ones too: that a request was answered does not show that no
copy of it is under way. What ends a launch is the worker itself: it "drops any response with a lower token",
answers direct commands with 409 if "the token is lower than the highest one seen, or the session does not
match", and "keeps one report in flight at a time".

Invariant: an attempt is forgotten only by a message under a token above that of every direct command that
launched it, and only in the answer to the newest report. Whoever sent the launch:

* A former leader's direct commands carry the shard's token of before, which is lower.
* This leader's direct commands that launched the attempt were sent before a report showed that it had ended;
  the count is raised after that, by the answer that forgets. Direct commands never forget.
* Launches in answers went out with the answers to earlier reports, which the worker has carried out or
  dropped before it sent this one.
* Another session ends all attempts, and is named by direct commands.

So a forget needs no acknowledgement, and no clock decides. A token is the shard's token, which is unique to
one incarnation of one leader, followed by the machine's own count. It is raised only in an answer, when none
under a lower token is in flight, so no renewal is lost; a direct command that the raise overtakes is refused
and sent again. Versions before this form know the shard's token alone; until the format gate shows that none
runs, tokens have no count, and launches travel in answers only.

No sockets and no clocks here.
"""

COUNT_BITS = 32
FIRST_COUNTED_TOKEN = 1 << COUNT_BITS  # all tokens below are a shard's token without a count
COUNTED_TOKENS_FORMAT = 4  # the format of the gate from which every controller reads counted tokens


def shard_token_of(token):
    """Returns the shard's token of a token that a worker has seen."""
    return token if token < FIRST_COUNTED_TOKEN else token >> COUNT_BITS


class CommandFence:
    """The tokens of one machine's commands.

    `format_gate`: of this process. Tokens are counted once the gate allows it here, or once the worker has
    seen a counted token, by which it is known to be allowed.
    """

    __slots__ = ("_count", "_format_gate", "_is_counted")

    def __init__(self, format_gate):
        self._format_gate = format_gate
        self._is_counted = False
        self._count = 0

    @property
    def is_counted(self):
        """Whether tokens are counted, so that copies of direct launches can be fenced off."""
        if not self._is_counted:
            self._is_counted = self._format_gate.in_force >= COUNTED_TOKENS_FORMAT
        return self._is_counted

    def token(self, shard_token):
        """Returns the token of the commands to be sent now."""
        return (shard_token << COUNT_BITS) + self._count if self.is_counted else shard_token

    def raise_count(self):
        """Makes the worker refuse all direct commands sent so far, from the next message on that it takes."""
        self._count += 1

    def on_token_seen(self, token):
        """Takes note of a token that the worker has seen."""
        if token >= FIRST_COUNTED_TOKEN:
            self._is_counted = True
            self._count = max(self._count, token % FIRST_COUNTED_TOKEN)
