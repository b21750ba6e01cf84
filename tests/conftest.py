"""Sets up import paths (roadhead, the libraries under target/deps, tests) and applies KNOWN-RED.txt.

A test in that list is known to fail for a real fault: it still runs, its failure is printed by name and does
not fail the run. The run fails if a listed test passes, if a run of the whole suite does not contain it, or
if the list is malformed or longer than three lines.
"""

import sys
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps"), str(ROOT / "tests")]

LIST_FILE = "KNOWN-RED.txt"
MAX_ENTRIES = 3
KNOWN_FAILURES = pytest.StashKey()  # {test id: KnownFailure}
OUTCOMES = pytest.StashKey()  # {id of a listed test: outcome of its report}


class KnownFailure(NamedTuple):
    """An entry of the list."""

    test: str
    cause: str
    issue: str


def known_red(text):
    """Parses the list into {test id: KnownFailure}. Raises ValueError if it is malformed.

    Each line is "test, cause, issue"; lines that start with `#` are comments.
    """
    listed = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        # Test ids and causes may contain commas: the id ends at the first ", ", the issue follows the last.
        test, _, rest = line.partition(", ")
        cause, _, issue = rest.rpartition(", ")
        known = KnownFailure(test.strip(), cause.strip(), issue.strip())
        if not all(known) or "::" not in known.test or not known.issue.isdecimal():
            raise ValueError(f"{LIST_FILE}: not 'test, cause, issue': {line!r}")
        if known.test in listed:
            raise ValueError(f"{LIST_FILE}: twice: {known.test}")
        listed[known.test] = known
    if len(listed) > MAX_ENTRIES:
        raise ValueError(f"{LIST_FILE}: {len(listed)} lines, {MAX_ENTRIES} at most")
    return listed


def pytest_configure(config):
    path = ROOT / LIST_FILE
    try:
        config.stash[KNOWN_FAILURES] = known_red(path.read_text() if path.exists() else "")
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error
    config.stash[OUTCOMES] = {}


def pytest_collection_modifyitems(config, items):
    for item in items:
        known = config.stash[KNOWN_FAILURES].get(item.nodeid)
        if known is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{known.cause}, issue {known.issue}", strict=True))


class OutcomeRecorder:
    """Records the outcomes of listed tests, also of those that ran in pytest-xdist workers."""

    def __init__(self, config):
        self._config = config

    def pytest_runtest_logreport(self, report):
        if report.nodeid in self._config.stash[KNOWN_FAILURES] and (
            report.when == "call" or not report.passed
        ):
            self._config.stash[OUTCOMES][report.nodeid] = report.outcome


def pytest_sessionstart(session):
    session.config.pluginmanager.register(OutcomeRecorder(session.config), "known-red-watcher")


def missing_tests(config):
    """Returns listed tests that a run of the whole suite did not contain; none for a run of a part of it."""
    option = config.option
    is_whole_suite = config.args_source is pytest.Config.ArgsSource.TESTPATHS and not (
        option.keyword or option.markexpr or option.collectonly or option.deselect or option.ignore
    )
    return [
        test for test in config.stash[KNOWN_FAILURES] if is_whole_suite and test not in config.stash[OUTCOMES]
    ]


def pytest_sessionfinish(session):
    is_xdist_worker = hasattr(session.config, "workerinput")  # which runs only a part of the tests
    if not is_xdist_worker and missing_tests(session.config) and session.exitstatus == pytest.ExitCode.OK:
        session.exitstatus = pytest.ExitCode.TESTS_FAILED


def pytest_terminal_summary(terminalreporter, config):
    listed = config.stash[KNOWN_FAILURES]
    if not listed:
        return
    terminalreporter.section(f"known red, {LIST_FILE}")
    absent = missing_tests(config)
    for known in listed.values():
        ended = {"skipped": "fails, as known", "failed": "PASSES: take it off the list"}.get(
            config.stash[OUTCOMES].get(known.test), "NOT FOUND" if known.test in absent else "not run"
        )
        terminalreporter.write_line(f"{known.test}: {ended} ({known.cause}, issue {known.issue})")
