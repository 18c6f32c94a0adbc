"""Randomized runs of several entries under randomized faults violate no invariant.

`EBONYHATCH_HISTORIES` sets the number of examples.
"""

from __future__ import annotations

import os

import hypothesis
import pytest
from ebonyhatch.testing import checker
from ebonyhatch.testing.histories import runs
from hypothesis import strategies

HISTORIES = int(os.environ.get("EBONYHATCH_HISTORIES", "12"))


@hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=HISTORIES,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(plan=runs.plans(), seed=strategies.integers(0, 5), fenced=strategies.booleans())
def test_every_line_holds_under_drawn_faults(
    plan: list[runs.Step], seed: int, fenced: bool
) -> None:
    assert checker.check(runs.carry_out(plan, seed=seed, fenced=fenced)) == []


@pytest.mark.parametrize("seed", range(2))
def test_a_seed_gives_the_same_history_again(seed: int) -> None:
    plan = runs.generate_plan(seed=seed)
    once, again = (runs.carry_out(plan, seed=seed) for _ in range(2))
    assert once.records == again.records
