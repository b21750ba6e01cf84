"""Runs every scenario: a whole deployment in virtual time, checked against the Rules."""

from pathlib import Path

import pytest

from roadhead.local.world import World

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path):
    world = World(path.read_text())
    assert world.expectations, "a scenario that expects nothing shows nothing"
    world.run()
    print(*world.explanation_lines(), sep="\n")  # shown if it fails
    assert world.check() == []
