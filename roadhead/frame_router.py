"""Routes frames from other controllers to the component concerned, if the term entitles their sender."""

import logging

from roadhead.wire import frames, messages

log = logging.getLogger("roadhead.switchboard")


class FrameRouter:
    """Routes frames by their type.

    `on_cancelled(jobs)` is called with jobs cancelled elsewhere, `on_lowered()` when another controller found
    the state service's limits lowered; `send(label, frame)` sends an answer.
    """

    def __init__(self, member, send, on_cancelled, on_lowered):
        self._member = member
        self._send = send
        self._on_cancelled = on_cancelled
        self._on_lowered = on_lowered
        self._handlers = {}

    def begin(self, shard_leader, job_store, dispatcher, fleet, failover, summary, further_handlers):
        """Takes the components of a new incarnation.

        `further_handlers`: {frame class: handler} for serving tenants. A handler is called with the sender's
        label, its incarnation and the frame.
        """
        member = self._member

        def on_demand(label, _incarnation, frame):
            fleet.demand[label] = frame.rows
            shard_leader.capacity_granter.on_demand(label, frame)
            fleet.wake()

        def on_refused(_label, _incarnation, frame):
            job_store.task_reports.on_free(frame)
            dispatcher.on_refused(frame)

        def on_sync(label, incarnation, frame):
            if frame.term == member.term.number:
                shard_leader.task_commands.on_sync(label, incarnation, frame)

        def on_home_news(label, _incarnation, frame):
            fleet.machine_counts[label] = frame.rows
            shard_leader.capacity_granter.free_cpus[label] = sum(row[5] for row in frame.rows)

        self._handlers = {
            frames.Demand: on_demand,
            frames.Grant: lambda _label, _incarnation, frame: dispatcher.on_grant(frame),
            frames.GrantWithSlots: lambda _label, _incarnation, frame: dispatcher.on_grant(frame),
            frames.ReturnGrant: lambda label, _incarnation, frame: shard_leader.capacity_granter.on_return(
                label, frame
            ),
            frames.RevokeGrant: lambda _label, _incarnation, frame: dispatcher.on_revoke(frame),
            frames.StartTasks: shard_leader.task_commands.on_start,
            frames.StartRefused: on_refused,
            frames.TaskStates: lambda label, _incarnation, frame: job_store.task_reports.on_tasks(
                label, frame
            ),
            frames.AttemptGone: lambda _label, _incarnation, frame: job_store.task_reports.on_free(frame),
            frames.StopTask: lambda _label, _incarnation, frame: shard_leader.task_commands.on_stop(frame),
            frames.ForgetAttempts: lambda _label, _incarnation, frame: shard_leader.task_commands.on_forget(
                frame
            ),
            frames.ReconcileRequest: on_sync,
            frames.ReconcileDone: lambda label, _incarnation, frame: job_store.reconciliation.on_synced(
                label, frame
            ),
            frames.OrphanedJob: lambda _label, _incarnation, frame: failover.on_orphan(frame.job),
            frames.JobFaulty: lambda _label, _incarnation, frame: shard_leader.failure_history.on_job_fails(
                frame.job
            ),
            frames.HandoverMachines: lambda _label, _incarnation, frame: shard_leader.on_handover(frame),
            frames.HandoverJobs: lambda _label, _incarnation, frame: shard_leader.on_handover_jobs(frame),
            frames.MachineCounts: on_home_news,
            frames.JobsEnded: lambda _label, _incarnation, frame: job_store.dependency_queue.on_jobs_ended(
                frame
            ),
            frames.UpstreamPriorities: lambda _label, _incarnation, frame: (
                job_store.dependency_queue.on_upstream_priorities(frame)
            ),
            frames.StateLimitsLowered: lambda _label, _incarnation, _frame: self._on_lowered(),
            frames.SummaryPart: lambda label, _incarnation, frame: summary.on_news(label, frame),
            **further_handlers,
        }

    def send_term(self, label):
        """Sends the term known here to another controller."""
        member = self._member
        self._send(label, frames.TermUpdate(member.revision, messages.encode(member.term.to_record())))

    def on_frame(self, label, incarnation, frame):
        """Handles a frame of the controller `label`; `incarnation` is 0 if that is not a member."""
        kind = type(frame)
        member = self._member
        if kind is frames.TermUpdate:
            if member.joined and incarnation:
                try:
                    member.adopt(messages.decode_map(frame.record), frame.revision)
                except (messages.InvalidMessageError, KeyError, TypeError) as error:
                    log.error("invalid term record from controller %s: %r", label, error)
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
            return  # the term doesn't name this incarnation, so its frames are ignored
        handler = self._handlers.get(kind)
        if handler is not None:
            handler(label, incarnation, frame)
