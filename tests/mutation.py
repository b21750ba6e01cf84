"""Mutation tests: a guard is taken out on purpose, and the scenario that covers it must notice."""

from pathlib import Path

import pytest

from roadhead.local.world import World

SCENARIOS = Path(__file__).parent / "scenarios"
SEEDS = 60  # luck decides where tasks run, so as many are tried at the most


def text_of(scenario):
    """The text of a scenario under `tests/scenarios/`, by its name without the suffix."""
    return (SCENARIOS / f"{scenario}.txt").read_text()


def assert_noticed(mutate, scenario):
    """Asserts that a broken rule is seen with the mutation and, with the same seed, none without it.

    `mutate(patch)` takes the guard out with pytest's `MonkeyPatch`; its docstring says what is missing.
    """
    text = text_of(scenario)
    for seed in range(1, SEEDS + 1):
        with pytest.MonkeyPatch.context() as patch:
            mutate(patch)
            noticed = World(f"{text}\nseed {seed}\n").run().violations
        if noticed:
            assert World(f"{text}\nseed {seed}\n").run().violations == []
            return
    raise AssertionError(f"not noticed: {mutate.__doc__}")
