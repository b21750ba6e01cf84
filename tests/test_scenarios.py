"""Runs every scenario of `tests/scenarios/`: a simulated deployment, checked against the rules of
`roadhead.local.rules` and the expectations that the scenario states."""

from pathlib import Path

import pytest

from roadhead.local.world import World

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path):
    world = World(path.read_text())
    assert world.expectations, "a scenario must state at least one expectation"
    world.run()
    print(*world.explanation_lines(), sep="\n")  # pytest shows it if the test fails
    assert world.check() == []
