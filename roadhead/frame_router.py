"""What comes from other controllers: which part of this one it concerns, and whether it may speak."""

import logging

from roadhead.wire import frames, messages

log = logging.getLogger("roadhead.switchboard")


class FrameRouter:
    """`on_cancelled(jobs)` hears of cancellations, `on_lowered()` of lower limits of the state service,
    `send(label, frame)` answers."""

    def __init__(self, member, send, on_cancelled, on_lowered):
        self._member = member
        self._send = send
        self._on_cancelled = on_cancelled
        self._on_lowered = on_lowered
        self._handlers = {}

    def begin(self, home, job_store, dispatcher, fleet, failover, summary, more):
        """The parts of a new incarnation; `more`: handlers of further kinds of frames."""
        member = self._member

        def on_demand(label, _incarnation, frame):
            fleet.demand[label] = frame.rows
            home.capacity_granter.on_demand(label, frame)
            fleet.wake()

        def on_refused(_label, _incarnation, frame):
            job_store.task_reports.on_free(frame)
            dispatcher.on_refused(frame)

        def on_sync(label, incarnation, frame):
            if frame.term == member.term.number:
                home.task_commands.on_sync(label, incarnation, frame)

        def on_home_news(label, _incarnation, frame):
            fleet.machine_counts[label] = frame.rows
            home.capacity_granter.free_cpus[label] = sum(row[5] for row in frame.rows)

        self._handlers = {
            frames.Demand: on_demand,
            frames.Grant: lambda _label, _incarnation, frame: dispatcher.on_grant(frame),
            frames.ReturnGrant: lambda label, _incarnation, frame: home.capacity_granter.on_return(
                label, frame
            ),
            frames.RevokeGrant: lambda _label, _incarnation, frame: dispatcher.on_revoke(frame),
            frames.StartTasks: home.task_commands.on_start,
            frames.StartRefused: on_refused,
            frames.TaskStates: lambda label, _incarnation, frame: job_store.task_reports.on_tasks(
                label, frame
            ),
            frames.AttemptGone: lambda _label, _incarnation, frame: job_store.task_reports.on_free(frame),
            frames.StopTask: lambda _label, _incarnation, frame: home.task_commands.on_stop(frame),
            frames.ForgetAttempts: lambda _label, _incarnation, frame: home.task_commands.on_forget(frame),
            frames.ReconcileRequest: on_sync,
            frames.ReconcileDone: lambda label, _incarnation, frame: job_store.reconciliation.on_synced(
                label, frame
            ),
            frames.OrphanedJob: lambda _label, _incarnation, frame: failover.on_orphan(frame.job),
            frames.JobFaulty: lambda _label, _incarnation, frame: home.failure_history.on_job_fails(
                frame.job
            ),
            frames.HandoverMachines: lambda _label, _incarnation, frame: home.on_handover(frame),
            frames.HandoverJobs: lambda _label, _incarnation, frame: home.on_handover_jobs(frame),
            frames.MachineCounts: on_home_news,
            frames.JobsEnded: lambda _label, _incarnation, frame: job_store.dependency_queue.on_over(frame),
            frames.UpstreamPriorities: lambda _label, _incarnation, frame: (
                job_store.dependency_queue.on_wishes(frame)
            ),
            frames.StateLimitsLowered: lambda _label, _incarnation, _frame: self._on_lowered(),
            frames.SummaryPart: lambda label, _incarnation, frame: summary.on_news(label, frame),
            **more,
        }

    def send_term(self, label):
        member = self._member
        self._send(label, frames.TermUpdate(member.revision, messages.encode(member.term.to_record())))

    def on_frame(self, label, incarnation, frame):
        kind = type(frame)
        member = self._member
        if kind is frames.TermUpdate:
            if member.joined and incarnation:
                try:
                    member.adopt(messages.decode_map(frame.record), frame.revision)
                except (messages.InvalidMessageError, KeyError, TypeError) as error:
                    log.error("term from %s: %r", label, error)
            return
        if not member.joined:
            return
        if kind is frames.JobsCancelled:
            self._on_cancelled(frame.jobs)
            return
        if kind is frames.Heartbeat:
            if incarnation and frame.term < member.term.number:
                self.send_term(label)
            return
        if not member.term.serves(label, incarnation):
            return  # an incarnation that the term does not name has no say
        handler = self._handlers.get(kind)
        if handler is not None:
            handler(label, incarnation, frame)
