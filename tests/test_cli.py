"""The command line, with the real event loop and sockets on the loopback interface."""

import json
import os
import re
import shlex
import shutil
import socket
import subprocess
import sys
import threading
from pathlib import Path

import pytest
from test_wire import SETTINGS_DOCUMENT

from roadhead import cli
from roadhead.local.world import World
from roadhead.runtime.loop import Loop
from roadhead.runtime.net import Net
from roadhead.tenants import settings as hosted_settings
from roadhead.wire import http, messages

ROOT = Path(__file__).resolve().parent.parent
SUMMARY = {
    "classes": [{"class": "letters", "open": 3, "done": 7, "late": 1, "atRisk": 2}],
    "leastServed": {"class": "letters", "share": 0.7},
    "machines": 4,
    "failing": 1,
    "heard": ["a", "b"],
    "behind": ["c: not heard"],
    "troubles": ["a: stood still: once at 03:12:00, 6.0 s"],
}


@pytest.fixture
def server():
    """Serves a few paths from an event loop in another thread; yields its address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    loop = Loop()

    async def handle(request):
        if request.target == "/v1/summary":
            return 200, messages.encode(SUMMARY), None
        if request.method == "POST" and request.target == "/v1/jobs":
            return 201, messages.job_status(messages.decode(request.body)["id"], "pending"), None
        if request.target == "/v1/jobs/req-000001":
            return 200, messages.job_status("req-000001", "running", 1, 2), None
        return 404, messages.error("no such job"), None

    Net(loop).listen(address, lambda stream: loop.spawn(http.serve(loop, stream, handle, 5.0)))

    def wake_up():
        loop.call_later(0.02, wake_up)

    wake_up()
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()
    yield address
    loop.stop()
    thread.join(5)
    loop.selector.close()


def test_status_submit_and_summary(server, tmp_path, capsys):
    assert cli.main(["status", server, "req-000001"]) == 0
    assert json.loads(capsys.readouterr().out) == {
        "id": "req-000001",
        "status": "running",
        "done": 1,
        "running": 2,
    }
    job = tmp_path / "job.json"
    job.write_text('{"id": "req-000002"}')
    assert cli.main(["submit", server, str(job)]) == 0
    assert json.loads(capsys.readouterr().out)["status"] == "pending"
    assert cli.main(["summary", server]) == 0
    out = capsys.readouterr().out
    assert "least served: letters, 70% of its jobs are done" in out
    assert "letters" in out and "machines: 4, failing: 1" in out and "behind: c: not heard" in out
    assert "since start: a: stood still: once at 03:12:00, 6.0 s" in out


def test_refusals_and_an_unreachable_controller(server, capsys):
    assert cli.main(["status", server, "req-000009"]) == 1
    assert "404 no such job" in capsys.readouterr().err
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        assert cli.main(["cancel", f"127.0.0.1:{probe.getsockname()[1]}", "req-000001"]) == 1


def test_check_reports_each_fault_on_a_line(tmp_path, capsys):
    good = tmp_path / "good.json"
    good.write_text(json.dumps(SETTINGS_DOCUMENT))
    assert cli.main(["check", "--config", str(good)]) == 0
    bad = tmp_path / "bad.json"
    bad.write_text(json.dumps({**SETTINGS_DOCUMENT, "front": "here", "label": "b"}))
    tuning = tmp_path / "tuning.toml"
    tuning.write_text("[fleet]\ncolour = 1")
    assert cli.main(["check", "--config", str(bad), "--tuning", str(tuning)]) == 2
    assert len(capsys.readouterr().err.splitlines()) == 3
    assert cli.main(["check", "--config", str(tmp_path / "none.json")]) == 2


def test_each_controllers_summary_covers_all_controllers():
    world = World("at 1 submit count=4 legs=4\nat 20 submit legs=2 runS=300 dueS=30\nuntil 80")
    world.run()
    for node in world.nodes.values():
        summary = node.summary()
        assert summary["classes"] == [{"class": "c", "open": 1, "done": 4, "late": 0, "atRisk": 1}]
        assert summary["leastServed"] == {"class": "c", "share": 0.8}
        assert summary["heard"] == ["ctl-0", "ctl-1", "ctl-2"]
        assert summary["behind"] == []


def test_any_controller_lists_the_shards(capsys):
    """Any controller lists the current shards, those lost in a crash and those given back after a restart."""
    world = World("capacity 9\nat 1 submit count=4 legs=9 runS=90\nat 30 crash 1 15\nuntil 90")
    world.run()
    answers = [node.shares() for node in world.nodes.values()]
    for answer in answers:
        assert [row["label"] for row in answer["homes"]] == ["ctl-0", "ctl-1", "ctl-2"]
        assert sorted(row["shares"] for row in answer["homes"]) == [21, 21, 22]
        assert sum(row["machines"] for row in answer["homes"]) == len(world.cloud.rented)
    lost = [change for change in answers[0]["changes"] if not change["planned"]]
    assert {change["from"] for change in lost} == {"ctl-1"}
    assert sum(change["shares"] for change in lost) in (21, 22)
    back = [change for change in answers[0]["changes"] if change["planned"] and change["to"] == "ctl-1"]
    assert sum(change["shares"] for change in back[len(back) // 2 :]) > 0
    text = cli.render_shares(answers[0])
    assert "ctl-1" in text and "(lost)" in text and "(given)" in text


def test_a_controller_imports_only_what_it_needs():
    """Without a hosted file, modules for tenants and local clusters and their libraries are not imported."""
    code = (
        "import sys, run, roadhead.cli, roadhead.node, roadhead.settings; roadhead.cli._parser(False); "
        "print(*sorted(sys.modules))"
    )
    out = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    ).stdout.split()
    assert "roadhead.node" in out
    unwanted = (
        "roadhead.tenants",
        "roadhead.gateway",
        "roadhead.local",
        "blake3",
        "immutables",
        "lmdb",
        "tqdm",
    )
    assert [name for name in out if name.startswith(unwanted)] == []


def test_help_needs_no_libraries():
    out = subprocess.run(
        [sys.executable, "-S", "-c", "import roadhead.cli; roadhead.cli.main(['--help'])"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={},
    )
    assert out.returncode == 0 and "summary" in out.stdout and "shares" in out.stdout, out.stderr


def test_the_shipped_hosted_file_is_valid(tmp_path, capsys):
    assert hosted_settings.parse((ROOT / "deploy" / "hosted.toml").read_bytes()).slots == 24
    (tmp_path / "settings.json").write_text(json.dumps(SETTINGS_DOCUMENT))
    hosted = tmp_path / "hosted.toml"
    hosted.write_bytes((ROOT / "deploy" / "hosted.toml").read_bytes())
    check = ["check", "--config", str(tmp_path / "settings.json"), "--hosted", str(hosted)]
    assert cli.main(check) == 2
    assert "secret_file" in capsys.readouterr().err
    (tmp_path / "secret").write_text("s" * 48)
    assert cli.main(check) == 0
    hosted.write_text(hosted.read_text().replace("slots", "colour"))
    assert cli.main(check) == 2
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_an_unknown_log_level_is_reported_and_nothing_starts(monkeypatch, capsys, tmp_path):
    monkeypatch.setenv("LOG_LEVEL", "loud")
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS_DOCUMENT))
    assert cli.main(["--config", str(path)]) == 2
    assert capsys.readouterr().err == "roadhead: LOG_LEVEL: 'loud' is none of error, info, debug\n"


DOCUMENTED_IN = (
    "README.md",
    *(f"docs/{path.name}" for path in sorted((ROOT / "docs").glob("operations*.md"))),
)
COMMAND = re.compile(r"python3 run\.py ([^`\n)]+)|`roadhead ([^`]+)`|python3 -m roadhead ([^`\n]+)")
TABLE_COMMAND = re.compile(r"^\| `((?:--config|[a-z]+) [^`]+)` \| ", re.MULTILINE)
TENANTS_COMMAND = re.compile(r"^\| [^|]+ \| `([a-z-]+ NAME[^`]*)`", re.MULTILINE)


def documented_commands():
    """Yields (page, arguments) of the commands that the pages show, without what a table or comment adds."""
    for page in DOCUMENTED_IN:
        text = (ROOT / page).read_text()
        shown = [next(filter(None, groups)) for groups in COMMAND.findall(text)]
        shown += TABLE_COMMAND.findall(text) if page == "README.md" else ()
        shown += [f"tenants {words}" for words in TENANTS_COMMAND.findall(text)]
        for command in shown:
            command = re.sub(r"\[[^]]*\]", "", re.split(r" {2,}|;", command)[0])
            yield page, shlex.split(command.replace(" ID", " 1"))


def test_documented_commands_parse():
    """A page showed `run.py shards`, which there is not."""
    commands = [(page, words) for page, words in documented_commands() if "..." not in words]
    assert len(commands) > 30
    refused = []
    for page, words in commands:
        try:
            cli._parser(True).parse_args(words if len(words) > 1 else [*words, "--help"])
        except SystemExit as ended:
            if ended.code:
                refused.append((page, words))
    assert refused == []


@pytest.mark.parametrize("share", ["1.1", "-0.1", "nan", "half"])
def test_a_share_of_late_copies_is_from_0_to_1(share, capsys):
    with pytest.raises(SystemExit) as ended:
        cli._parser(False).parse_args(["local", f"--late-copies={share}"])
    assert ended.value.code == 2 and "not a share from 0 to 1" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("given", "expected"),
    [
        ([], "--run examples/hello.toml"),
        (["--crash", "3"], "--run examples/hello.toml --crash 3"),
        (["--keep", "DIR"], "--keep DIR"),
        (["--run", "FILE", "--crash", "1"], "--run FILE --crash 1"),
    ],
)
def test_try_takes_options_beside_its_defaults(given, expected, tmp_path):
    """`./try --crash 3` was refused."""
    shutil.copy(ROOT / "try", tmp_path)
    (tmp_path / "requirements-local.txt").touch()
    (tmp_path / "target" / "local").mkdir(parents=True)
    python = tmp_path / "python3"
    python.write_text('#!/bin/sh\necho "$@"\n')
    python.chmod(0o755)
    environment = {**os.environ, "PATH": f"{tmp_path}:{os.environ['PATH']}"}
    done = subprocess.run([tmp_path / "try", *given], capture_output=True, text=True, env=environment)
    assert done.stdout.splitlines()[-1] == f"run.py local {expected}", done.stderr
