"""Multi-tenant admission on a controller: who may submit, which tenant changes matter here, what tenants use.

Opens no sockets: requests arrive as calls from the API, changes as calls from the membership's watch.
"""

import logging

from roadhead.machines.fitting import NO_RESOURCES, fitting_count
from roadhead.tenants import admission, ids
from roadhead.tenants.keys import Secrets
from roadhead.tenants.preemption import Preemption
from roadhead.tenants.records import ACTIVE, tenant_key
from roadhead.tenants.removal import Removal
from roadhead.tenants.table import TenantTable
from roadhead.tenants.teams import FairShare, TenantTeams
from roadhead.wire import frames, messages

log = logging.getLogger("roadhead.desk")

BORROWING_START_WINDOWS = 1e5  # where borrowed work begins in the queue, after the first position
NO_RECORD_STAMP = 0  # the stamp of a missing record: no tenant's record has it
COUNT_CACHE_S = 1.0  # how long a count of waiting tasks is cached
WHOLE_FLEET_WINDOWS = 1e6  # windows in the queue order that correspond to borrowing the whole fleet


class TenantAdmissionController:
    """Admits tenants' submissions and connects a controller's parts to the table of tenants."""

    def __init__(self, loop, hosted, time_of_day):
        self._loop = loop
        self._hosted = hosted
        self._time_of_day = time_of_day
        self.partitions = hosted.slots
        self.left_of = hosted.left_of
        self.table = TenantTable(self._on_change)
        self.teams = TenantTeams(self.table)
        self.secrets = Secrets(hosted.master)
        self._rates = admission.SubmissionRates(loop)
        self._waiting = {}  # group -> [when the cached count expires, waiting tasks]
        self._node = None
        self._removal = self._preemption = None

    def begin(self, node):
        """Starts a new incarnation of the controller; returns its duties."""
        self._node = node
        self._removal = Removal(self._loop, node, self.table)
        return [self._removal.run]

    def begin_fair_sharing(self, node):
        """Makes a new incarnation's queue follow guarantees and weights."""
        workers = node.settings.deployment.workers
        window_s = workers.lease_s
        fair_share = FairShare(
            self.teams,
            node.job_store.accounts,
            node.fleet.totals,
            BORROWING_START_WINDOWS * window_s,
            WHOLE_FLEET_WINDOWS * window_s,
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
            zones=node.settings.deployment.zones,
        )
        node.dispatcher.queue.fair_share = fair_share
        if self._hosted.preempt:
            node.dispatcher.preemption = self._preemption

    def handlers(self):
        """Returns {frame class: handler} of the frames about borrowed resources."""
        return {
            frames.BorrowedResources: lambda label, _incarnation, frame: self._preemption.on_borrowed(
                label, frame
            ),
            frames.ReclaimResources: lambda _label, _incarnation, frame: self._preemption.on_reclaim(frame),
        }

    # Changes of tenants and terms

    def _on_change(self, old, new):
        if self._node is None:
            return
        tenant = new.tenant
        group = str(tenant.number)
        if self.teams.must_stop_running(group):
            self._node.job_store.stop_group(group)
        self._removal.note(tenant)
        if old is not None and tenant.state != old.tenant.state:
            log.info("tenant %d is %s", tenant.number, tenant.state)
        self._node.dispatcher.schedule_placement()

    def on_term(self):
        """The membership term has changed."""
        self._removal.wake()

    def on_heartbeat(self, every):
        """Runs with each heartbeat; `every` is a running count of them.

        Every sixth time it also stops the work of suspended or removed tenants that an ended owner left
        running.
        """
        self._preemption.broadcast_borrowed()
        for group in self._node.job_store.accounts.groups() if every % 6 == 0 else ():
            if self.teams.must_stop_running(group):
                self._node.job_store.stop_group(group)

    # Guards of job creations (jobs/recorder.py)

    def condition_for(self, job):
        """Returns the (key, stamp) that must still hold when the job's record is created.

        The tenant's record must be the one known here. So no job is created after the change that ended
        admission, however late its write is applied.
        """
        number, _team = ids.from_team(job.spec.team)
        entry = self.table.entry(number)
        if entry is None or entry.tenant.state != ACTIVE:
            return tenant_key(number), NO_RECORD_STAMP
        return tenant_key(number), entry.stamp

    def exceeds_guarantee(self, job):
        """Returns whether the job exceeds its team's guarantee: such jobs are written after those within."""
        return not self._within(job.spec)

    def _within(self, spec):
        """Returns whether a task of the job fits into the unused guarantee of its team, as known here."""
        team = self.teams.get(spec.team)
        if team is None:
            return False
        account = self._node.job_store.accounts.get(spec.team)
        held = account.held if account is not None else NO_RESOURCES
        return fitting_count((spec.cpus, spec.gpus), (team.cpus - held[0], team.gpus - held[1])) > 0

    def is_creation_forbidden(self, key, record, stamp):
        """Takes the current value of a guard's key. Returns whether creations under it must fail."""
        if record is not None:
            self.table.take(key, record, stamp)
        return record is None or record.get("state", ACTIVE) != ACTIVE

    # Requests

    def signed(self, request):
        """Returns whether a gateway signed the request."""
        return self.secrets.is_signature_valid(
            request.headers.get("roadhead-signature"),
            request.method,
            request.target,
            request.body,
            self._time_of_day(),
        )

    @staticmethod
    def same_tenant_check(job_id):
        """Returns a predicate: does another job id belong to the same tenant?"""
        named = ids.from_job(job_id)

        def own(other):
            found = ids.from_job(other)
            return None not in (named, found) and found[0] == named[0]

        return own

    def refusal(self, spec, max_creations):
        """Returns why a submission of a job unknown here is refused now, or None."""
        node = self._node
        member = node.member
        if self._loop.now() - member.watched_at > self._hosted.stale_s:
            return admission.UNKNOWN_REFUSAL  # the tenant may have been suspended or removed meanwhile
        entry, team = self.table.team(spec.team)
        if team is None:
            return admission.UNKNOWN_REFUSAL
        tenant = entry.tenant
        state_refused = admission.state_refusal(tenant)
        if state_refused is not None:
            return state_refused
        group = str(tenant.number)
        creations_refused = admission.creation_refusal(
            node.job_store.count_creating(group), max_creations, self._within(spec)
        )
        if creations_refused is not None:
            return creations_refused
        if member.term.quota_leader(group) == member.label:
            account = node.job_store.accounts.get(group)
            if account is not None:
                waiting = self._waiting_of(group, account)
                jobs_awaiting_upstream = sum(
                    count
                    for team, count in node.job_store.dependency_queue.dependencies.by_team.items()
                    if self.teams.group(team) == group
                )
                refused = admission.limit_refusal(
                    tenant.limits, len(account.jobs) + jobs_awaiting_upstream, waiting, spec.tasks
                )
                if refused is not None:
                    return refused
        refused = self._rates.take(tenant)
        if refused is None and group in self._waiting:
            self._waiting[group][1] += spec.tasks
        return refused

    def _waiting_of(self, group, account):
        """Returns the number of waiting tasks of a group.

        It is counted once per second; tasks admitted in between are added to the cached count.
        """
        now = self._loop.now()
        if group not in self._waiting or self._waiting[group][0] < now:
            self._waiting = {name: entry for name, entry in self._waiting.items() if entry[0] >= now}
            self._waiting[group] = [now + COUNT_CACHE_S, account.waiting()]
        return self._waiting[group][1]

    def usage(self, number):
        """Returns an encoded summary of what this controller knows about one tenant."""
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
        is_quota_leader = node.member.joined and node.member.term.quota_leader(str(number)) == node.label
        return messages.encode(
            {
                "teams": teams,
                "classes": rows,
                "warden": bool(is_quota_leader and node.job_store.quota.knows_all(str(number))),
            }
        )
