"""The summary for operators: each controller's part, and the parts of all controllers merged.

Each controller sends its part to the others every few heartbeats, so that any of them can answer for all.
"""

import logging

from roadhead.wire import frames

log = logging.getLogger("roadhead.summary")

PART_VALID_HEARTBEATS = 15  # after which a controller's part is out of date and it counts as not heard


class Summary:
    """Builds this controller's part and merges it with those of the others.

    `links`: {label: link} of the controllers heard; `is_state_ok()`: whether the state service answers;
    `shard_moves()`: the recent moves of shards (shards/balancer.py).
    """

    def __init__(
        self,
        loop,
        settings,
        heartbeat_s,
        member,
        links,
        is_state_ok,
        deadline_tracker,
        troubles,
        counters,
        time_of_day,
        shard_moves,
    ):
        self._loop = loop
        self.label = settings.label
        self._labels = [settings.label, *(other.label for other in settings.members)]
        self._lease_s = settings.deployment.workers.lease_s
        self._heartbeat_s = heartbeat_s
        self._member = member
        self._links = links
        self._is_state_ok = is_state_ok
        self._risk = deadline_tracker
        self._troubles = troubles
        self._counters = counters
        self._time_of_day = time_of_day
        self._shard_moves = shard_moves
        self._parts = {}  # label -> (when it arrived, its SummaryPart)
        self._waiting_since = {}  # class -> since when tasks of it have been waiting here
        self._job_store = self._shard_leader = self._dispatcher = self._fleet = None

    def begin(self, job_store, leader, dispatcher, fleet):
        """Takes the components of a new incarnation."""
        self._job_store, self._shard_leader, self._dispatcher, self._fleet = (
            job_store,
            leader,
            dispatcher,
            fleet,
        )

    def on_news(self, label, frame):
        """Another controller sent its part."""
        self._parts[label] = self._loop.now(), frame

    def local_part(self):
        """Returns this controller's part of the summary, as a SummaryPart frame."""
        now = self._loop.now()
        job_store, leader = self._job_store, self._shard_leader
        behind = []
        if not self._is_state_ok():
            behind.append(f"{self.label}: the state service does not answer")
        failing_since = job_store.recorder.failing_since
        if failing_since is not None and now - failing_since > self._heartbeat_s:
            behind.append(f"{self.label}: records not written for {now - failing_since:.0f} s")
        if not leader.reconciliation.is_reconciled():
            behind.append(f"{self.label}: machines of an earlier term not all heard yet")
        waiting = [job for job in job_store.jobs.values() if job.unreconciled_leaders]
        if waiting:
            behind.append(f"{self.label}: {len(waiting)} jobs taken over, not started yet")
        format_gate = self._member.format_gate
        if not format_gate.is_open:
            behind.append(
                f"{self.label}: format {format_gate.in_force} in force, not {format_gate.knows}; "
                f"not seen new: {', '.join(format_gate.members_not_updated()) or 'none'}"
            )
        at = self._time_of_day()
        behind += [
            f"{self.label}: {line}"
            for line in job_store.dependency_queue.at_risk(lambda job: self._risk.is_at_risk(job, at))
        ]
        failing = sum(machine.draining and bool(machine.errors) for machine in leader.machines.values())
        rows = self._risk.rows(
            job_store.jobs.values(), self._time_of_day(), job_store.dependency_queue.dependencies.by_class
        )
        behind += self._describe_stalled_classes()
        troubles = [f"{self.label}: {line}" for line in (*self._troubles.lines(), *self._counters.events())]
        return frames.SummaryPart(rows, failing, behind, troubles)

    def _describe_stalled_classes(self):
        """Returns a line for each class whose waiting tasks started nothing for a lease, with the reason."""
        now = self._loop.now()
        waiting = {}
        for job in self._job_store.jobs.values():
            if job.unstarted and job.state == "open":
                waiting.setdefault(job.spec.klass, []).append(job)
        for klass in [klass for klass in self._waiting_since if klass not in waiting]:
            del self._waiting_since[klass]
        lines = []
        for klass, jobs in sorted(waiting.items()):
            since = max(
                self._job_store.started_at.get(klass, 0.0), self._waiting_since.setdefault(klass, now)
            )
            if now - since > self._lease_s:
                reason = self._stall_reason(jobs)
                lines.append(f"{self.label}: {klass}: nothing started for {now - since:.0f} s: {reason}")
                log.info("class %s is stalled: nothing started for %.0f s: %s", klass, now - since, reason)
        return lines

    def _stall_reason(self, jobs):
        """Returns why none of these waiting jobs of one class starts tasks."""
        leaders = {label for job in jobs for label in job.unreconciled_leaders}
        if leaders:
            return f"taken over, {', '.join(sorted(leaders))} can't yet say what runs"
        if all(job.suspected_faulty for job in jobs):
            return "its jobs fail wherever they run"
        teams = self._job_store.teams
        if all(
            self._job_store.quota.is_limited(job.spec.team) and teams.levels(job.spec.team) is None
            for job in jobs
        ):
            return "nothing of its tenant or team may start now"
        if not any(self._dispatcher.quota_admits(job) for job in jobs):
            return "the team's limit is reached"
        refused = self._fleet.refused_kinds()
        if refused:
            return f"no free room; the cloud has no more of {', '.join(refused)}"
        return "no free room; more urgent work comes first, or machines are on their way"

    def check_connectivity(self, lease_may_have_expired):
        """Notes which contacts are lost now; a loss is recorded with its duration when it ends."""
        set_active, member = self._troubles.set_active, self._member
        set_active("state service does not answer", not self._is_state_ok())
        set_active("not a member", not member.joined)
        set_active("own lease has ended", member.joined and lease_may_have_expired)
        set_active("most workers are not heard", self._shard_leader.most_workers_silent())
        set_active(
            "relieved of its machines, as workers could not reach it",
            member.term is not None and self.label in member.term.relieved,
        )
        for label in self._labels[1:]:
            set_active(f"{label} is not heard", label not in self._links)

    def shares(self):
        """Returns how many shards and machines each leader has, by the term known here, and the shard moves.

        The moves are those seen since this process started.
        """
        now, term = self._loop.now(), self._member.term
        leaders = sorted(term.leaders) if term is not None else ()
        counts = term.shard_map.counts(leaders) if leaders else {}
        return {
            "term": term.number if term is not None else 0,
            "format": self._member.format_gate.describe(self._time_of_day()),
            "homes": [
                {
                    "label": label,
                    "shares": counts.get(label),
                    "machines": sum(row[3] for row in self._fleet.machine_counts.get(label, ())),
                }
                for label in leaders
            ],
            "changes": [
                {
                    "agoS": round(now - at, 1),
                    "term": number,
                    "shares": shares,
                    "from": from_label,
                    "to": to_label,
                    "planned": planned,
                }
                for at, number, shares, from_label, to_label, planned in self._shard_moves()
            ],
        }

    def merged(self):
        """Returns the parts of all controllers heard lately, merged into the answer for users."""
        now = self._loop.now()
        parts = {
            label: part
            for label, (at, part) in self._parts.items()
            if now - at < PART_VALID_HEARTBEATS * self._heartbeat_s
        }
        parts[self.label] = self.local_part()  # also while it isn't a member
        classes = {}
        for part in parts.values():
            for klass, *counts in part.rows:
                entry = classes.setdefault(klass, [0, 0, 0, 0])
                for index, count in enumerate(counts):
                    entry[index] += count
        names = ("open", "done", "late", "atRisk")
        unheard = sorted(set(self._labels) - parts.keys())
        return {
            "classes": [
                {"class": klass, **dict(zip(names, counts, strict=True))}
                for klass, counts in sorted(classes.items())
            ],
            "leastServed": min(
                (
                    {"class": klass, "share": round(counts[1] / (counts[0] + counts[1]), 3)}
                    for klass, counts in sorted(classes.items())
                    if counts[0] + counts[1]
                ),
                key=lambda entry: entry["share"],
                default=None,
            ),
            "machines": sum(row[3] for rows in self._fleet.machine_counts.values() for row in rows),
            "failing": sum(part.failing for part in parts.values()),
            "heard": sorted(parts),
            "troubles": [line for _label, part in sorted(parts.items()) for line in part.troubles],
            "behind": [line for part in parts.values() for line in part.behind]
            + [f"{label}: not heard" for label in unheard],
        }
