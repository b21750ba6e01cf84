"""The summary: what each controller says of its part, and all parts heard put together."""

import logging

from roadhead.wire import frames

log = logging.getLogger("roadhead.summary")

HEARD_BEATS = 15  # for which a controller's part counts


class Summary:
    """`links`: the controllers heard; `state_ok()`: whether the state service answers; `changes()`: of
    shares (shards/balancer.py)."""

    def __init__(
        self,
        loop,
        settings,
        heartbeat_s,
        member,
        links,
        state_ok,
        deadline_tracker,
        troubles,
        counters,
        time_of_day,
        changes,
    ):
        self._loop = loop
        self.label = settings.label
        self._labels = [settings.label, *(other.label for other in settings.members)]
        self._lease_s = settings.deployment.workers.lease_s
        self._heartbeat_s = heartbeat_s
        self._member = member
        self._links = links
        self._state_ok = state_ok
        self._risk = deadline_tracker
        self._troubles = troubles
        self._counters = counters
        self._time_of_day = time_of_day
        self._changes = changes
        self._parts = {}  # label -> (when, its SummaryPart)
        self._waiting_since = {}  # class -> since when tasks of it wait here
        self._job_store = self._shard_leader = self._dispatcher = self._fleet = None

    def begin(self, job_store, home, dispatcher, fleet):
        """The parts of a new incarnation."""
        self._job_store, self._shard_leader, self._dispatcher, self._fleet = (
            job_store,
            home,
            dispatcher,
            fleet,
        )

    def on_news(self, label, frame):
        self._parts[label] = self._loop.now(), frame

    def local_part(self):
        """This controller's part of the summary."""
        now = self._loop.now()
        job_store, home = self._job_store, self._shard_leader
        behind = []
        if not self._state_ok():
            behind.append(f"{self.label}: the state service does not answer")
        failing_since = job_store.recorder.failing_since
        if failing_since is not None and now - failing_since > self._heartbeat_s:
            behind.append(f"{self.label}: records not written for {now - failing_since:.0f} s")
        if not home.reconciliation.is_reconciled():
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
            for line in job_store.dependency_queue.at_risk(lambda job: self._risk.endangered(job, at))
        ]
        failing = sum(machine.draining and bool(machine.errors) for machine in home.machines.values())
        rows = self._risk.rows(
            job_store.jobs.values(), self._time_of_day(), job_store.dependency_queue.dependencies.by_class
        )
        behind += self._stalled_classes()
        troubles = [f"{self.label}: {line}" for line in (*self._troubles.lines(), *self._counters.events())]
        return frames.SummaryPart(rows, failing, behind, troubles)

    def _stalled_classes(self):
        """Classes of which tasks wait here and none was started for a lease, and why."""
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
                why = self._why_stalled(jobs)
                lines.append(f"{self.label}: {klass}: nothing started for {now - since:.0f} s: {why}")
                log.info("stalled: %s, nothing started for %.0f s: %s", klass, now - since, why)
        return lines

    def _why_stalled(self, jobs):
        homes = {label for job in jobs for label in job.unreconciled_leaders}
        if homes:
            return f"taken over, {', '.join(sorted(homes))} can't yet say what runs"
        if all(job.suspected_faulty for job in jobs):
            return "its jobs fail wherever they run"
        teams = self._job_store.teams
        if all(
            self._job_store.quota.limited(job.spec.team) and teams.levels(job.spec.team) is None
            for job in jobs
        ):
            return "nothing of its tenant or team may start now"
        if not any(self._dispatcher.may_start(job) for job in jobs):
            return "the team's limit is reached"
        refused = self._fleet.refused_kinds()
        if refused:
            return f"no free room; the cloud has no more of {', '.join(refused)}"
        return "no free room; more urgent work comes first, or machines are on their way"

    def check_connectivity(self, lease_may_have_expired):
        """What this controller is out of touch with; noted with its length when it ends."""
        holds, member = self._troubles.set_active, self._member
        holds("state service does not answer", not self._state_ok())
        holds("not a member", not member.joined)
        holds("own lease has ended", member.joined and lease_may_have_expired)
        holds("most workers are not heard", self._shard_leader.most_workers_silent())
        holds(
            "relieved of its machines, as workers could not reach it",
            member.term is not None and self.label in member.term.relieved,
        )
        for label in self._labels[1:]:
            holds(f"{label} is not heard", label not in self._links)

    def shares(self):
        """Who is home to what, by the term known here, and the changes seen since this process began."""
        now, term = self._loop.now(), self._member.term
        homes = sorted(term.leaders) if term is not None else ()
        counts = term.shard_map.counts(homes) if homes else {}
        return {
            "term": term.number if term is not None else 0,
            "format": self._member.format_gate.describe(self._time_of_day()),
            "homes": [
                {
                    "label": label,
                    "shares": counts.get(label),
                    "machines": sum(row[3] for row in self._fleet.machine_counts.get(label, ())),
                }
                for label in homes
            ],
            "changes": [
                {
                    "agoS": round(now - at, 1),
                    "term": number,
                    "shares": shares,
                    "from": giver,
                    "to": taker,
                    "planned": planned,
                }
                for at, number, shares, giver, taker, planned in self._changes()
            ],
        }

    def merged(self):
        """The parts of all controllers heard lately, put together."""
        now = self._loop.now()
        parts = {
            label: part
            for label, (at, part) in self._parts.items()
            if now - at < HEARD_BEATS * self._heartbeat_s
        }
        parts[self.label] = self.local_part()  # also while it is no member
        classes = {}
        for part in parts.values():
            for klass, *counts in part.rows:
                entry = classes.setdefault(klass, [0, 0, 0, 0])
                for place, count in enumerate(counts):
                    entry[place] += count
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
