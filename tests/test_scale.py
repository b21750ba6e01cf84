"""Scale runs: validation of plans, the analysis that detects rule violations, and a small real run."""

import json
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from roadhead.scale import analysis, plan
from roadhead.scale.layout import reserve_network, worker_address
from roadhead.scale.load import JobResult
from roadhead.scale.workload import Workload

ROOT = Path(__file__).resolve().parent.parent
SMALL = ROOT / "examples" / "scale-small.toml"
ONE_CLASS = '[[class]]\nname = "a"\njobs_per_s = 1.0\ntasks = 2\n'


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("", "no [[class]]"),
        ("seed = ", "Invalid"),
        (f"color = 1\n{ONE_CLASS}", "unknown field `color`"),
        (f"[cluster]\nworkers = 0\n{ONE_CLASS}", "cluster.workers: must be above 0, is 0"),
        (f"[cluster]\nworkers = 5000\n{ONE_CLASS}", "cluster.hosts: one takes 2000 workers at most"),
        (f"[cluster]\ncontrollers = 300\n{ONE_CLASS}", "304 processes, 200 at most"),
        (f"[timing]\nlease_s = inf\n{ONE_CLASS}", "timing.lease_s: must be above 0, is inf"),
        (f"[timing]\nlease_s = 40.0\n{ONE_CLASS}", "timing.cancel_s: must be above lease_s"),
        (ONE_CLASS + ONE_CLASS, "class: 'a' stands twice"),
        (f"{ONE_CLASS}cancelled = 2.0", "class 'a': cancelled: must be from 0 to 1, is 2.0"),
        (f"{ONE_CLASS}cpus = 90.0", "class 'a': cpus: no worker has 90.0"),
        (f"{ONE_CLASS}urgency = 'now'", "Invalid enum value 'now'"),
        (f"{ONE_CLASS}[[event]]\nat_s = 1.0\nkind = 'flood'", "event: unknown kind 'flood'"),
        (f"{ONE_CLASS}[[event]]\nat_s = 999.0\nkind = 'workers_end'", "at_s: must be from 0 to 40"),
        (f"{ONE_CLASS}[[event]]\nat_s = 1.0\nkind = 'zone_ends'\nzone = 9", "zone: must be from 0 to 2"),
        (f"{ONE_CLASS}[[event]]\nat_s = 1.0\nkind = 'reports_slow'\ncount = 101", "percent of the reports"),
        (
            f"{ONE_CLASS}[[event]]\nat_s = 1.0\nkind = 'commands_copied'\ncount = 101",
            "percent of the direct commands",
        ),
    ],
)
def test_each_fault_of_a_plan_is_reported(text, fault):
    with pytest.raises(plan.PlanError) as caught:
        plan.parse(text.encode())
    assert any(fault in line for line in caught.value.faults), caught.value.faults


def test_an_invalid_plan_is_reported_before_anything_starts(tmp_path):
    file = tmp_path / "plan.toml"
    file.write_text("[cluster]\nworkers = -1\nhosts = 0\n")
    done = subprocess.run(
        [sys.executable, ROOT / "run.py", "scale", file], capture_output=True, text=True, env=environment()
    )
    assert done.returncode == 2
    assert done.stdout == ""
    assert [line.partition(": ")[0] for line in done.stderr.splitlines()] == ["roadhead"] * 3


def test_a_workload_is_the_same_in_each_process():
    wanted = plan.load(SMALL)
    first, second = Workload(wanted), Workload(wanted)
    assert first.arrivals == second.arrivals
    assert first.arrivals[0].job["id"] == "req-000001"
    assert first.get("req-999999") is None


def test_concurrent_runs_use_separate_worker_addresses():
    (first, lock), (second, other_lock) = reserve_network(), reserve_network()
    with lock, other_lock:
        assert worker_address(first, 3000) != worker_address(second, 3000)
        assert worker_address(first, 1) == f"127.{first}.0.2:9000"


def events(text):
    """Returns the TaskEvents of lines of the form `at sign task worker`."""
    return [
        analysis.TaskEvent(float(at), sign, f"req-000001/{task}", worker)
        for at, sign, task, worker in (line.split() for line in text.splitlines())
    ]


def follow_events(text, limit=0.0):
    return analysis.replay_events(events(text), Workload(plan.parse(ONE_CLASS.encode())), limit)


def test_a_task_on_two_workers_is_noticed():
    assert follow_events("1 + 0 x\n2 - 0 x\n3 + 0 y").faults == []
    assert follow_events("1 + 0 x\n2 + 0 y").faults == ["ran_twice: req-000001/0 on y and x"]


def test_a_team_above_its_limit_is_noticed():
    assert follow_events("1 + 0 x\n2 + 1 x", limit=2.0).faults == []
    assert follow_events("1 + 0 x\n2 + 1 x", limit=1.0).faults == ["quota: team-0 uses 2 of 1 CPUs"]


def test_a_task_that_outlives_its_cancellation_is_noticed():
    job = JobResult("req-000001", "a", 2, due_at=0.0, cancelled_at=10.0, state="cancelled")
    for at, faults in ((44.0, 0), (46.0, 1)):
        history = analysis.TaskHistory()
        analysis.check_cancelled(events(f"5 + 0 x\n{at} - 0 x"), [job], 35.0, history)
        assert len(history.faults) == faults


def test_a_job_reported_done_too_early_is_noticed():
    job = JobResult("req-000001", "a", 2, due_at=0.0, over_at=9.0, state="done")
    for last, faults in ((8.0, []), (9.5, ["not_done: req-000001"])):
        history = follow_events(f"1 + 0 x\n2 = 0 -\n3 + 1 x\n{last} = 1 -")
        analysis.check_done([job], history)
        assert history.faults == faults


def test_latencies_are_measured_from_a_jobs_due_time():
    job = JobResult("req-000001", "a", 2, due_at=1.0, accepted_at=1.5, over_at=9.0, state="done")
    steps = analysis.latencies([job], follow_events("2 + 0 x\n4 + 1 x\n5 = 0 -\n8 = 1 -"))["a"]
    expected = {
        "accepted": 0.5,
        "first task started": 1.0,
        "all tasks started": 3.0,
        "told after the end": 1.0,
    }
    assert {step: round(values.summary()["max"], 2) for step, values in steps.items()} == expected


def environment():
    """Environment variables with which a child process finds the libraries of this one."""
    return {"PYTHONPATH": ":".join(path for path in sys.path if path), "PATH": "/usr/bin:/bin"}


def test_a_small_run_of_real_processes_violates_no_rule(tmp_path):
    report = tmp_path / "report.json"
    done = subprocess.run(
        [sys.executable, ROOT / "run.py", "scale", SMALL, "--report", report, "--keep", tmp_path / "run"],
        capture_output=True,
        text=True,
        env=environment(),
        timeout=150,
    )
    found = json.loads(report.read_text()) if report.exists() else {}
    assert done.returncode == 0, done.stdout[-2000:] + done.stderr[-2000:]
    assert found["faults"] == found["unended"] == []
    assert found["accepted"] == found["jobs"] == len(Workload(plan.load(SMALL)).arrivals)
    assert [text for _at_s, text in found["events"]] == [
        "commands_copied",
        "controllers_end",
        "controller_back",
        "reports_slow",
        "workers_end",
        "workers_cut",
        "workers_restart",
    ]
    logs = [path.read_text() for path in (tmp_path / "run" / "logs").glob("controller-*.log")]
    assert len(logs) == 3 and all("decision=shard_held" in log for log in logs)
    # Launch decisions are buffered, and written when the run ends.
    assert any("at=" in log and "decision=launch_sent" in log for log in logs)
    assert set(found["roles"]) == {"state", "cloud", "workers", "controller", "users"}
    assert found["worker_bytes_per_s"] > 0
    assert msgspec.json.encode(found["state_requests_per_s"]) != b"{}"
