"""A controller's side of hosting: who may submit, what of the table concerns it, what tenants hold.

No sockets here: requests come in as calls of the API, changes as calls of the membership's watch.
"""

import logging

from roadhead.machines.machine import NO_RESOURCES, fitting_count
from roadhead.tenants import admission, ids
from roadhead.tenants.keys import Secrets
from roadhead.tenants.preemption import Preemption
from roadhead.tenants.records import ACTIVE, tenant_key
from roadhead.tenants.removal import Removal
from roadhead.tenants.table import TenantTable
from roadhead.tenants.teams import FairShare, TenantTeams
from roadhead.wire import frames, messages

log = logging.getLogger("roadhead.desk")

BORROWING = 1e5  # windows after the first place at which borrowed work begins
NEVER = 0  # a stamp that a tenant's record never has: it is there
COUNTED_S = 1.0  # for which a count of waiting tasks is kept
WHOLE_FLEET = 1e6  # windows by which the share of a whole fleet comes later


class TenantAdmissionController:
    def __init__(self, loop, hosted, time_of_day):
        self._loop = loop
        self._hosted = hosted
        self._time_of_day = time_of_day
        self.partitions = hosted.slots
        self.left_of = hosted.left_of
        self.table = TenantTable(self._on_change)
        self.teams = TenantTeams(self.table)
        self.secrets = Secrets(hosted.master)
        self._rates = admission.Rates(loop)
        self._waiting = {}  # group -> [until when it counts, tasks]
        self._node = None
        self._removal = self._preemption = None

    def begin(self, node):
        """A new incarnation starts: its duties."""
        self._node = node
        self._removal = Removal(self._loop, node, self.table)
        return [self._removal.run]

    def share(self, node):
        """A new incarnation starts: its queue goes by guarantees and weights."""
        workers = node.settings.deployment.workers
        window_s = workers.lease_s
        fair_share = FairShare(
            self.teams,
            node.job_store.accounts,
            node.fleet.totals,
            BORROWING * window_s,
            WHOLE_FLEET * window_s,
        )
        self._preemption = Preemption(
            self._loop,
            node.member,
            node.job_store,
            fair_share,
            node.send,
            node.counters,
            node.dispatcher.schedule_placement,
            patience_s=self._hosted.patience * workers.report_s,
            settle_s=workers.lease_s / 4,
        )
        node.dispatcher.queue.fair_share = fair_share
        if self._hosted.preempt:
            node.dispatcher.preemption = self._preemption

    def handlers(self):
        return {
            frames.BorrowedResources: lambda label, _incarnation, frame: self._preemption.on_borrowed(
                label, frame
            ),
            frames.ReclaimResources: lambda _label, _incarnation, frame: self._preemption.on_reclaim(frame),
        }

    # What changes

    def _on_change(self, old, new):
        if self._node is None:
            return
        tenant = new.tenant
        group = str(tenant.number)
        if self.teams.stopping(group):
            self._node.job_store.stop_group(group)
        self._removal.note(tenant)
        if old is not None and tenant.state != old.tenant.state:
            log.info("tenant %d is %s", tenant.number, tenant.state)
        self._node.dispatcher.schedule_placement()

    def on_term(self):
        self._removal.wake()

    def tick(self, every):
        """With each beat. Now and then: what an owner that ended did not stop any more."""
        self._preemption.tell()
        for group in self._node.job_store.accounts.groups() if every % 6 == 0 else ():
            if self.teams.stopping(group):
                self._node.job_store.stop_group(group)

    # Guards of creations (jobs/recorder.py)

    def of(self, job):
        """A job is created only while its tenant's record is the one known here: none comes after
        the change that ended admission, however late its write."""
        number, _team = ids.from_team(job.spec.team)
        entry = self.table.entry(number)
        if entry is None or entry.tenant.state != ACTIVE:
            return tenant_key(number), NEVER
        return tenant_key(number), entry.stamp

    def later(self, job):
        """Creations of work beyond its team's guarantee are written after those within."""
        return not self._within(job.spec)

    def _within(self, spec):
        """Whether its team's guarantee, as far as it is known here, has room for a task."""
        team = self.teams.get(spec.team)
        if team is None:
            return False
        account = self._node.job_store.accounts.get(spec.team)
        held = account.held if account is not None else NO_RESOURCES
        return fitting_count((spec.cpus, spec.gpus), (team.cpus - held[0], team.gpus - held[1])) > 0

    def changed(self, key, record, stamp):
        """What a guard's key holds now; whether nothing may be created under it."""
        if record is not None:
            self.table.take(key, record, stamp)
        return record is None or record.get("state", ACTIVE) != ACTIVE

    # Requests

    def signed(self, request):
        return self.secrets.signed(
            request.headers.get("roadhead-signature"),
            request.method,
            request.target,
            request.body,
            self._time_of_day(),
        )

    @staticmethod
    def neighbours(job_id):
        """Whether another job is the same tenant's."""
        named = ids.from_job(job_id)

        def own(other):
            found = ids.from_job(other)
            return None not in (named, found) and found[0] == named[0]

        return own

    def refusal(self, spec, max_creations):
        """Why a submission is not taken now, or None. Its job is not known here."""
        node = self._node
        member = node.member
        if self._loop.now() - member.watched_at > self._hosted.stale_s:
            return admission.UNKNOWN_REFUSAL  # whatever was decided of the tenant since
        entry, team = self.table.team(spec.team)
        if team is None:
            return admission.UNKNOWN_REFUSAL
        tenant = entry.tenant
        resting = admission.state_refusal(tenant)
        if resting is not None:
            return resting
        group = str(tenant.number)
        crowded = admission.creation_refusal(
            node.job_store.count_creating(group), max_creations, self._within(spec)
        )
        if crowded is not None:
            return crowded
        if member.term.quota_leader(group) == member.label:
            account = node.job_store.accounts.get(group)
            if account is not None:
                waiting = self._waiting_of(group, account)
                held_back = sum(
                    count
                    for team, count in node.job_store.dependency_queue.dependencies.by_team.items()
                    if self.teams.group(team) == group
                )
                refused = admission.limit_refusal(
                    tenant.limits, len(account.jobs) + held_back, waiting, spec.tasks
                )
                if refused is not None:
                    return refused
        refused = self._rates.take(tenant)
        if refused is None and group in self._waiting:
            self._waiting[group][1] += spec.tasks
        return refused

    def _waiting_of(self, group, account):
        """Tasks that wait, counted anew once a second; what is taken meanwhile is added."""
        now = self._loop.now()
        if group not in self._waiting or self._waiting[group][0] < now:
            self._waiting = {name: entry for name, entry in self._waiting.items() if entry[0] >= now}
            self._waiting[group] = [now + COUNTED_S, account.waiting()]
        return self._waiting[group][1]

    def usage(self, number):
        """What this controller knows of a tenant, and of nobody else."""
        node = self._node
        entry = self.table.entry(number)
        teams = {}
        rows = []
        if entry is not None:
            account = node.job_store.accounts.get(str(number))
            jobs = account.jobs if account is not None else ()
            for name, team in entry.teams.items():
                held = node.job_store.accounts.get(name)
                if held is not None:
                    teams[team.name] = [*held.held, held.tasks, len(held.jobs), held.waiting()]
            rows = node.deadline_tracker.rows_of(jobs, self._time_of_day())
        quota_leader = node.member.joined and node.member.term.quota_leader(str(number)) == node.label
        return messages.encode(
            {
                "teams": teams,
                "classes": rows,
                "warden": bool(quota_leader and node.job_store.quota.knows_all(str(number))),
            }
        )
