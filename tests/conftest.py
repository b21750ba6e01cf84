"""Lets the tests import roadhead with the libraries that the build put under target/deps; reads known reds.

A test listed there is known to fail for a real fault: it still runs, its failure is printed by name and does
not fail the run. The run fails if a listed test passes, is not found by a run of the whole suite, or if the
list is malformed or longer than three lines.
"""

import sys
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps"), str(ROOT / "tests")]

LIST = "KNOWN-RED.txt"
MOST = 3  # lines of the list
RED = pytest.StashKey()  # {test's id: its Red}
SEEN = pytest.StashKey()  # {listed test's id: how it ended}


class Red(NamedTuple):
    test: str
    cause: str
    issue: str


def known_red(text):
    """{test's id: its Red} of the list: a line each "test, cause, issue", `#` for comments. ValueError says
    what is wrong with it."""
    listed = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        # The id of a test with parameters may hold commas, a cause too: "::" and the last part part them.
        test, _, rest = line.partition(", ")
        cause, _, issue = rest.rpartition(", ")
        red = Red(test.strip(), cause.strip(), issue.strip())
        if not all(red) or "::" not in red.test or not red.issue.isdecimal():
            raise ValueError(f"{LIST}: not 'test, cause, issue': {line!r}")
        if red.test in listed:
            raise ValueError(f"{LIST}: twice: {red.test}")
        listed[red.test] = red
    if len(listed) > MOST:
        raise ValueError(f"{LIST}: {len(listed)} lines, {MOST} at most")
    return listed


def pytest_configure(config):
    path = ROOT / LIST
    try:
        config.stash[RED] = known_red(path.read_text() if path.exists() else "")
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error
    config.stash[SEEN] = {}


def pytest_collection_modifyitems(config, items):
    for item in items:
        red = config.stash[RED].get(item.nodeid)
        if red is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{red.cause}, issue {red.issue}", strict=True))


class Watcher:
    """Sees the reports of all tests, those of other processes too."""

    def __init__(self, config):
        self._config = config

    def pytest_runtest_logreport(self, report):
        if report.nodeid in self._config.stash[RED] and (report.when == "call" or not report.passed):
            self._config.stash[SEEN][report.nodeid] = report.outcome


def pytest_sessionstart(session):
    session.config.pluginmanager.register(Watcher(session.config), "known-red-watcher")


def missing(config):
    """Listed tests that a run of the whole suite did not find; of a part of it nothing can be said."""
    option = config.option
    whole = config.args_source is pytest.Config.ArgsSource.TESTPATHS and not (
        option.keyword or option.markexpr or option.collectonly or option.deselect or option.ignore
    )
    return [test for test in config.stash[RED] if whole and test not in config.stash[SEEN]]


def pytest_sessionfinish(session):
    in_a_worker = hasattr(session.config, "workerinput")  # it runs a part of the tests
    if not in_a_worker and missing(session.config) and session.exitstatus == pytest.ExitCode.OK:
        session.exitstatus = pytest.ExitCode.TESTS_FAILED


def pytest_terminal_summary(terminalreporter, config):
    listed = config.stash[RED]
    if not listed:
        return
    terminalreporter.section(f"known red, {LIST}")
    absent = missing(config)
    for red in listed.values():
        ended = {"skipped": "fails, as known", "failed": "PASSES: take it off the list"}.get(
            config.stash[SEEN].get(red.test), "NOT FOUND" if red.test in absent else "not run"
        )
        terminalreporter.write_line(f"{red.test}: {ended} ({red.cause}, issue {red.issue})")
