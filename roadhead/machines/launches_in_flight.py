"""Which launches a worker may still receive: an attempt that one of them could start must not be forgotten.

A worker ignores a launch of an attempt that it knows, in any state, but "after `forget` the worker no longer
knows the attempt, so a repeated `launch` starts it again" (PROTOCOL, Commands). The same launch may travel in
a direct command and in the answers to reports, and each may arrive long after the other. So the leader sends
a forget only when every copy of the attempt's launch has arrived, or can have no effect any more. No sockets
and no clocks here.
"""


class LaunchesInFlight:
    """The launches sent to one machine's worker that it may still carry out.

    Direct commands: a launch can arrive at any later time ("messages can arrive minutes late") until its
    request is answered, or until the worker is known to have seen a higher token, under which it refuses it.

    Answers to reports: a worker "keeps one report in flight at a time" and drops an answer that takes longer
    than its timeout. So once a newer report arrives, the answers to all reports before it were carried out
    or dropped. Until then the newest answer may be on its way, whatever a direct command has shown meanwhile:
    the answer to a direct command is no report, and says nothing of the report in flight. How long ago the
    answer was sent is not looked at: it proves nothing more if the worker goes on, and if it doesn't, its
    lease ends, and its tasks with it.

    Both end with the worker's session, as do all attempts on the machine.
    """

    __slots__ = ("_answered", "_direct")

    def __init__(self):
        self._direct = {}  # task -> token of its direct launch that was not answered
        self._answered = {}  # tasks launched by the answer to the newest report -> True

    def begin_direct(self, tasks, token):
        """Counts launches about to be sent directly; returns those that no unanswered command carries yet."""
        first_sent = [task for task in tasks if task not in self._direct]
        for task in first_sent:
            self._direct[task] = token
        return first_sent

    def end_direct(self, tasks):
        """Counts launches that were answered, or never sent, of those that `begin_direct` returned."""
        for task in tasks:
            self._direct.pop(task, None)

    def on_token_seen(self, token):
        """The worker has seen `token`: it refuses direct commands under lower ones."""
        if self._direct:
            self._direct = {task: sent for task, sent in self._direct.items() if sent >= token}

    def on_newer_report(self):
        """A report arrived that is newer than all answered before: no answer to those is in flight."""
        if self._answered:
            self._answered = {}

    def add_answered(self, tasks):
        """Counts launches in the answer to a report that is about to be sent."""
        for task in tasks:
            self._answered[task] = True

    def remove(self, task):
        """Stops tracking an attempt that is no longer on the machine."""
        self._direct.pop(task, None)
        self._answered.pop(task, None)

    def direct_token(self, task):
        """The token of the task's direct launch that was not answered; 0 without one."""
        return self._direct.get(task, 0)

    def may_arrive(self, task):
        """Whether the worker may still receive a launch of this attempt."""
        return task in self._direct or task in self._answered
