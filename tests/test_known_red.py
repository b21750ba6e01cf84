"""KNOWN-RED.txt: a listed failure does not fail the run; an unlisted failure or a wrong list does."""

import subprocess
import sys

import pytest
from conftest import ROOT, known_red

TESTS = """
import pytest

def test_fails():
    assert 1 == 2

def test_holds():
    assert 1 == 1

@pytest.mark.parametrize("which", ["a,b"])
def test_of_many(which):
    assert which == ""
"""
FAILING_ENTRY = "tests/test_some.py::test_fails, the sky is too low, 41"
PARAMETRIZED_ENTRY = "tests/test_some.py::test_of_many[a,b], so, and so, 7"


def run(tmp_path, lines, *args, workers=0):
    """Returns (exit code, output) of pytest on three tests, two of which fail, with `lines` as the list."""
    (tmp_path / "tests").mkdir(exist_ok=True)
    (tmp_path / "tests" / "conftest.py").write_text((ROOT / "tests" / "conftest.py").read_text())
    (tmp_path / "tests" / "test_some.py").write_text(TESTS)
    (tmp_path / "pyproject.toml").write_text("[tool.pytest.ini_options]\ntestpaths = ['tests']\n")
    (tmp_path / "KNOWN-RED.txt").write_text("# test, cause, issue\n" + "\n".join(lines))
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", f"-n{workers}", *args]
    done = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, check=False)
    return done.returncode, done.stdout + done.stderr


@pytest.mark.parametrize("workers", [0, 2])
def test_listed_failures_are_printed_and_do_not_fail_the_run(tmp_path, workers):
    code, output = run(tmp_path, [FAILING_ENTRY, PARAMETRIZED_ENTRY], workers=workers)
    assert code == 0, output
    assert "test_fails: fails, as known (the sky is too low, issue 41)" in output
    assert "test_of_many[a,b]: fails, as known (so, and so, issue 7)" in output
    assert "1 passed, 2 xfailed" in output


def test_a_failure_that_is_not_listed_fails(tmp_path):
    code, output = run(tmp_path, [FAILING_ENTRY])
    assert code == 1 and "1 failed" in output, output


@pytest.mark.parametrize("workers", [0, 2])
def test_a_listed_test_that_passes_fails(tmp_path, workers):
    code, output = run(
        tmp_path,
        [FAILING_ENTRY, PARAMETRIZED_ENTRY, "tests/test_some.py::test_holds, none, 1"],
        workers=workers,
    )
    assert code == 1 and "test_holds: PASSES" in output, output


@pytest.mark.parametrize("workers", [0, 2])
def test_a_listed_test_that_is_not_found_fails(tmp_path, workers):
    code, output = run(
        tmp_path,
        [FAILING_ENTRY, PARAMETRIZED_ENTRY, "tests/test_some.py::test_gone, none, 1"],
        workers=workers,
    )
    assert code == 1 and "test_gone: NOT FOUND" in output, output


def test_a_partial_run_does_not_require_the_other_listed_tests(tmp_path):
    code, output = run(
        tmp_path, [FAILING_ENTRY, "tests/test_other.py::test_gone, none, 1"], "-k", "test_fails"
    )
    assert code == 0 and "test_gone: not run" in output, output


@pytest.mark.parametrize(
    "line",
    [
        "tests/test_some.py::test_fails",
        "tests/test_some.py::test_fails, 41",
        "test_fails, low, 41",
        "tests/test_some.py::test_fails, low, many",
        "tests/test_some.py::test_fails, , 41",
    ],
)
def test_a_malformed_line_fails(tmp_path, line):
    with pytest.raises(ValueError, match="not 'test, cause, issue'"):
        known_red(line)
    code, output = run(tmp_path, [line])
    assert code != 0 and "KNOWN-RED" in output, output


def test_a_fourth_line_and_a_line_twice_fail():
    lines = [f"tests/t.py::test_{number}, low, {number}" for number in range(4)]
    assert len(known_red("\n".join(lines[:3]))) == 3
    with pytest.raises(ValueError, match="4 lines, 3 at most"):
        known_red("\n".join(lines))
    with pytest.raises(ValueError, match="twice"):
        known_red("\n".join([lines[0], lines[0]]))
