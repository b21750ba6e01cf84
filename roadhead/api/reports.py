"""Answers reports of workers."""

from roadhead.api.answers import Answer
from roadhead.wire import messages

NO_AUTHORITY = Answer(503)


class WorkerReports:
    """Answers report requests. `node`: the controller's Node."""

    def __init__(self, node):
        self._node = node

    def answer(self, body):
        """Returns the Answer to POST /v1/report.

        That is commands, 421 with the label of the machine's shard leader, or 503 without authority over the
        machine.
        """
        node = self._node
        if not node.member.joined:
            return NO_AUTHORITY
        try:
            report = messages.decode_as(body, messages.Report)
            report.check()
        except messages.InvalidMessageError as error:
            return Answer(400, messages.error(str(error)))
        leader = node.leader_for(report)
        if leader != node.label:
            return Answer(421, messages.redirect(leader))
        if not node.authority.can_renew_leases():
            return NO_AUTHORITY
        renewal = node.shard_leader.report_processor.answer(report)
        if renewal is None:
            return NO_AUTHORITY
        return Answer(200, messages.report_answer(renewal.token, renewal.orders))
