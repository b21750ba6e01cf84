"""Reports of workers."""

from roadhead.api.answers import Answer
from roadhead.wire import messages

UNENTITLED = Answer(503)


class WorkerReports:
    """`node`: the controller's Node."""

    def __init__(self, node):
        self._node = node

    def answer(self, body):
        """The Answer to POST /v1/report: commands, a redirection, or 503 without authority over it."""
        node = self._node
        if not node.member.joined:
            return UNENTITLED
        try:
            report = messages.decode_as(body, messages.Report)
            report.check()
        except messages.InvalidMessageError as error:
            return Answer(400, messages.error(str(error)))
        home = node.leader_for(report)
        if home != node.label:
            return Answer(421, messages.redirect(home))
        if not node.authority.can_renew_leases():
            return UNENTITLED
        renewal = node.shard_leader.report_processor.answer(report)
        if renewal is None:
            return UNENTITLED
        return Answer(200, messages.report_answer(renewal.token, renewal.orders))
