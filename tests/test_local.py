"""A local cluster of real processes and sockets. Waits have a generous bound; nothing depends on speed."""

import json
import os
import sys
import time
from pathlib import Path

import pytest

from roadhead import cli
from roadhead.gateway import commands
from roadhead.gateway.types import Submission
from roadhead.local import cluster as local

ROOT = Path(__file__).resolve().parent.parent
PROGRAM = [str(ROOT / "run.py")]
TIMEOUT_S = 60


@pytest.fixture(scope="module")
def directory(tmp_path_factory):
    # The child processes import the same libraries as this interpreter.
    os.environ["PYTHONPATH"] = os.pathsep.join([str(ROOT), *sys.path])
    return tmp_path_factory.mktemp("cluster")


def wait_until(check):
    deadline = time.monotonic() + TIMEOUT_S
    while not check():
        assert time.monotonic() < deadline, "the condition did not hold within the timeout"
        time.sleep(0.1)


def job(own, command, **fields):
    return Submission(id=own, team=local.TEAM, klass="c", **fields), ["sh", "-c", command]


def done(cluster, own):
    status, answer = cluster.ask("GET", f"/v1/jobs/{own}")
    return status == 200 and answer["status"] == "done"


def test_jobs_survive_crashes_and_failed_tasks_are_reported(directory, tmp_path, capfd):
    jobs = tmp_path / "jobs.toml"
    jobs.write_text("""
[[job]]
id = "slow"
tasks = 6
command = ["sh", "-c", "sleep 2; echo slept $ROADHEAD_TASK"]
[[job]]
id = "faulty"
command = ["sh", "-c", "echo no luck; exit 3"]
""")
    cluster = local.Cluster(directory / "crashes", PROGRAM, late_copies=0.6)
    try:
        cluster.start()
        assert local.run(cluster, str(jobs), crashes=2, timeout_s=TIMEOUT_S) == 1
    finally:
        cluster.stop()
    out = capfd.readouterr().out
    assert all(f"slow/{index}: slept {index}" in out for index in range(6))
    assert "faulty/0 failed 3 times, exit codes 3 3 3\nno luck" in out
    assert "6 of 7 tasks done" in out


def test_accepted_jobs_survive_a_kill_of_all_processes(directory, monkeypatch, capsys):
    cluster = local.Cluster(directory / "kept", PROGRAM)
    try:
        cluster.start()
        cluster.tenant()
        cluster.submit(*job("quick", "echo done"))
        wait_until(lambda: done(cluster, "quick"))
        for number in range(5):
            cluster.submit(*job(f"later{number}", "sleep 1; echo later", tasks=2))
        cluster.stop()  # kill -9 (SIGKILL) of every process
        again = local.Cluster(directory / "kept", PROGRAM)
        assert again.plan == cluster.plan
        cluster = again
        cluster.start()
        assert cluster.tenant()
        assert done(cluster, "quick")
        wait_until(lambda: all(done(cluster, f"later{number}") for number in range(5)))
        _check_tenants_command(cluster, monkeypatch, capsys)
    finally:
        cluster.stop()


def _check_tenants_command(cluster, monkeypatch, capsys):
    """Runs the subcommands of `roadhead tenants` against the cluster's gateway."""
    hosted = str(cluster.directory / "hosted.toml")
    assert cli.main(["tenants", "root-key", "--hosted", hosted]) == 0
    monkeypatch.setenv(commands.KEY_VARIABLE, capsys.readouterr().out.strip())
    address = ["--address", cluster.plan["administration"]]
    assert (
        cli.main(
            ["tenants", "create", "kestrel", *address, "--team", "crew:cpus=2:weight=3", "--open-jobs", "7"]
        )
        == 0
    )
    assert cli.main(["tenants", "change", "kestrel", *address, "--cpus", "4"]) == 0
    capsys.readouterr()
    assert cli.main(["tenants", "show", "kestrel", *address, "--json"]) == 0
    shown = json.loads(capsys.readouterr().out)
    assert (shown["version"], shown["limits"]["cpus"], shown["limits"]["open_jobs"]) == (2, 4.0, 7)
    assert cli.main(["tenants", "create", "kestrel", *address]) == 1
    assert "409 the name is taken" in capsys.readouterr().err
    assert cli.main(["tenants", "create", "xx", *address, "--team", "a:speed=2"]) == 2
    assert cli.main(["tenants", "list", *address]) == 0
    assert "kestrel" in capsys.readouterr().out
    assert cli.main(["tenants", "remove", "kestrel", *address]) == 0
    front = cluster.plan["fronts"][0]
    assert cli.main(["summary", front]) == 1  # without the secret file nothing is shown
    assert cli.main(["summary", front, "--hosted", hosted]) == 0
    assert "controllers heard: controller-0" in capsys.readouterr().out


def test_a_flood_of_one_tenant_does_not_affect_another(directory):
    """Beside the flood no job of the other tenant is refused and all are done; most of the flood gets 429."""
    cluster = local.Cluster(directory / "flood", PROGRAM)
    try:
        cluster.start()
        cluster.tenant()
        headers = [("Authorization", f"Bearer {cluster._secrets.root_key()}")]
        address = cluster.plan["administration"]
        cluster._request_until_final(
            address,
            "POST",
            "/admin/v1/tenants",
            {
                "name": "loud",
                "teams": [{"name": "crew"}],
                "limits": {"submissions": 2, "open_jobs": 10},
            },
            headers=headers,
        )
        _status, answer = cluster._request_until_final(
            address, "POST", "/admin/v1/tenants/loud/keys", {"scopes": ["submit", "read"]}, headers=headers
        )
        loud = [("Authorization", f"Bearer {answer['key']}")]
        statuses = []
        for number in range(150):
            body = {"id": f"f{number}", "team": "crew", "class": "c", "tasks": 1 if number % 9 else 50_000}
            statuses.append(cluster._request(cluster.plan["tenants"], "POST", "/v1/jobs", body, loud)[0])
            if number % 15 == 0:
                assert cluster.submit(*job(f"q{number}", "true", priority="low"))
        assert statuses.count(429) >= 100 and set(statuses) <= {201, 429, 503}
        wait_until(lambda: all(done(cluster, f"q{number}") for number in range(0, 150, 15)))
        _status, page = cluster.ask("GET", "/v1/jobs?limit=500")
        assert {row["id"] for row in page["jobs"]} == {f"q{number}" for number in range(0, 150, 15)}
    finally:
        cluster.stop()


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[[job]]\nid = 'a'",
        "[[job]]\nid = 'a'\ncommand = 'x'",
        "[[job]]\nid = 'A'\ncommand = ['x']",
        "[[job]]\nid = 'a'\ncommand = ['x']\ntasks = 0",
        "[[job]]\nid = 'a'\ncommand = ['x']\ncolour = 1",
        "[[",
        "[[job]]\nid = 'a'\ncommand = ['x']\n[[job]]\nid = 'a'\ncommand = ['x']",
    ],
)
def test_invalid_job_files_are_reported_before_anything_starts(text, tmp_path, capsys):
    file = tmp_path / "jobs.toml"
    file.write_text(text)
    assert cli.main(["local", "--run", str(file)]) == 2
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_local_requires_a_file_or_a_directory(capsys):
    assert cli.main(["local"]) == 2
    assert "--run FILE or --keep DIR" in capsys.readouterr().err
