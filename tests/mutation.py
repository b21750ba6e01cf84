"""Helpers for mutation tests: a guard is removed on purpose, and the scenario that covers it must fail."""

from pathlib import Path

import pytest

from roadhead.local.world import World

SCENARIOS = Path(__file__).parent / "scenarios"
MAX_SEEDS = (
    60  # the seed decides where tasks run, so a fault may show only with some; at most this many are tried
)


def text_of(scenario):
    """Returns the text of a scenario under `tests/scenarios/`, by its name without the suffix."""
    return (SCENARIOS / f"{scenario}.txt").read_text()


def assert_detected(mutate, scenario):
    """Asserts that a scenario breaks a rule with the mutation and, with the same seed, none without it.

    `mutate(patch)` removes a guard with pytest's `MonkeyPatch`; its docstring says what is then missing.
    """
    text = text_of(scenario)
    for seed in range(1, MAX_SEEDS + 1):
        with pytest.MonkeyPatch.context() as patch:
            mutate(patch)
            noticed = World(f"{text}\nseed {seed}\n").run().violations
        if noticed:
            assert World(f"{text}\nseed {seed}\n").run().violations == []
            return
    raise AssertionError(f"not detected: {mutate.__doc__}")
