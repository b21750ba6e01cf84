"""Measures what anti-entropy costs one of eight controllers of 3,500 machines with 21,000 tasks running.

    python3 tests/measure_comparison.py

Prints the processor time and the bytes of one comparison, which each controller makes once a lease.
"""

import time
from types import SimpleNamespace

import conftest  # noqa: F401  sets up sys.path

from roadhead.anti_entropy.leader_comparison import LeaderComparison
from roadhead.anti_entropy.owner_comparison import OwnerComparison
from roadhead.jobs.job import Binding
from roadhead.membership.term import Term
from roadhead.telemetry import Counters

CONTROLLERS = 8
MACHINES = 3500
TASKS = 21_000
TASKS_PER_JOB = 30
RUNS = 20


def fleet_term():
    """Returns a term whose shards are spread over the controllers."""
    term = Term()
    for number in range(CONTROLLERS):
        term = term.join(f"ctl-{number}", f"nonce-{number}")
    even = type(term.shard_map).even(term.members, term.next_token)
    return Term(term.number, term.next_token, term.members, term.quota_leaders, (), even)


def jobs_of(owner, names):
    """Returns the jobs of one owner, {id: job}, with tasks bound all over the fleet."""
    jobs = {}
    for index in range(owner, TASKS, CONTROLLERS):
        job_id = f"req-{index // TASKS_PER_JOB:06d}"
        job = jobs.setdefault(job_id, SimpleNamespace(id=job_id, bound={}))
        job.bound[index % TASKS_PER_JOB] = Binding(names[index % MACHINES], "north", index, "running", 0.0)
    return jobs


def leader_of(label, term, all_jobs):
    """Returns the comparison of a shard leader whose machines run the tasks bound there."""
    machines = {}
    for owner, jobs in all_jobs.items():
        for job in jobs.values():
            for index, binding in job.bound.items():
                if term.leader_of(binding.machine) != label:
                    continue
                shard = term.shard_of(binding.machine)
                machine = machines.setdefault(
                    binding.machine, SimpleNamespace(id=binding.machine, shard=shard, tasks={})
                )
                key = (job.id, index, binding.attempt)
                machine.tasks[key] = SimpleNamespace(
                    key=key, owner=owner, forget=False, sent_state=("running", None), stop_grace=None
                )
    shard_leader = SimpleNamespace(
        machines=machines,
        notifier=SimpleNamespace(owner_of=lambda task: task.owner),
        reconciliation=SimpleNamespace(is_shard_reconciled=lambda shard: True),
    )
    answers = []
    member = SimpleNamespace(term=term, label=label)
    return LeaderComparison(member, shard_leader, lambda *message: answers.append(message)), answers


def main():
    """Prints the figures."""
    term = fleet_term()
    names = [f"n-{number:06d}" for number in range(MACHINES)]
    all_jobs = {(f"ctl-{owner}", owner): jobs_of(owner, names) for owner in range(CONTROLLERS)}
    sent = []
    store = SimpleNamespace(
        jobs=all_jobs["ctl-0", 0], reconciliation=SimpleNamespace(unanswered_requests=dict)
    )
    owner = OwnerComparison(
        SimpleNamespace(term=term), store, lambda *message: sent.append(message), Counters()
    )
    begun = time.process_time()
    for _ in range(RUNS):
        owner.compare()
    owner_s = (time.process_time() - begun) / RUNS
    frames = dict(sent[-CONTROLLERS:])
    leader, answers = leader_of("ctl-1", term, all_jobs)
    begun = time.process_time()
    for _ in range(RUNS):
        for _ in range(CONTROLLERS):
            leader.on_digests("ctl-0", 0, frames["ctl-1"])
    leader_s = (time.process_time() - begun) / RUNS
    assert not answers, "the shard leader and the owner were meant to agree"
    print(f"as an owner: {1000 * owner_s:.1f} ms; as a shard leader, of 8 owners: {1000 * leader_s:.1f} ms")
    print(f"sent: {sum(len(frame.encode()) for frame in frames.values())} bytes in {CONTROLLERS} frames")


if __name__ == "__main__":
    main()
