"""Runs of generated steps; the same plan and seed give the same history."""

from __future__ import annotations

import random

import msgspec
from ebonyhatch.testing import history
from ebonyhatch.testing.histories import fleet, steps
from hypothesis import strategies

JOIN_S = 12.0
"""Time before the first step, in which the entries join each other, seconds."""

QUIET_S = 70.0
"""Time after the last step, which is long enough for all work to end, seconds."""

PICKS = 36
"""Number of different values of an action's `pick`, which selects its subject."""

WAITS_S = (0.0, 0.05, 0.3, 1.0, 2.5, 8.0)
"""Possible waits after a step, seconds."""


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """One action, and the wait after it."""

    name: str
    pick: int
    wait_s: float


def plans(*, max_length: int = 40) -> strategies.SearchStrategy[list[Step]]:
    """Returns a Hypothesis strategy for plans; half of the steps are work, half are faults."""
    names = strategies.one_of(
        strategies.sampled_from(steps.WORK), strategies.sampled_from(steps.faults())
    )
    step = strategies.builds(
        Step,
        name=names,
        pick=strategies.integers(0, PICKS - 1),
        wait_s=strategies.sampled_from(WAITS_S),
    )
    return strategies.lists(step, min_size=8, max_size=max_length)


def generate_plan(*, seed: int, length: int = 30) -> list[Step]:
    """Generates a plan from a seed, without Hypothesis."""
    generator = random.Random(f"{seed}/plan")
    return [
        Step(
            name=generator.choice(generator.choice((steps.WORK, steps.faults()))),
            pick=generator.randrange(PICKS),
            wait_s=generator.choice(WAITS_S),
        )
        for _ in range(length)
    ]


def carry_out(plan: list[Step], *, seed: int = 1, fenced: bool = True) -> history.History:
    """Carries out a plan and returns its history."""
    run = fleet.Fleet(seed=seed, fenced=fenced)
    run.advance(JOIN_S)
    for step in plan:
        steps.perform(run, name=step.name, pick=step.pick)
        run.advance(step.wait_s)
    return run.finish(quiet_s=QUIET_S)
