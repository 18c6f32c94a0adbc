"""Registries of predicates and scorers, filled by the modules of this package."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from ebonyhatch.fleet import interference, rows


class Context(msgspec.Struct, frozen=True, kw_only=True):
    """State that constraints use in addition to the rows.

    Attributes:
        now: Time on the scheduler's clock, seconds.
        tails: Model of the interference of fillers with serving tasks.
        kept: Returns whether a target is reserved for short work.
    """

    now: float
    tails: interference.InterferenceModel
    kept: Callable[[rows.TargetRow], bool]


Predicate = Callable[[rows.StepRow, rows.TargetRow, Context], bool]
"""Returns whether a task of a step may run on a target now."""

Scorer = Callable[[rows.StepRow, rows.TargetRow, Context], float]
"""Returns the score of a target for a task of a step; higher is better. The unit is a target's free
capacity as a fraction of its total."""

PREDICATES: dict[str, Predicate] = {}
SCORERS: dict[str, Scorer] = {}


def predicate(name: str) -> Callable[[Predicate], Predicate]:
    """Registers a predicate; predicates are checked in the order of registration."""

    def register(function: Predicate) -> Predicate:
        PREDICATES[name] = function
        return function

    return register


def scorer(name: str) -> Callable[[Scorer], Scorer]:
    """Registers a scorer; the scores of all scorers are summed."""

    def register(function: Scorer) -> Scorer:
        SCORERS[name] = function
        return function

    return register


def failed(step: rows.StepRow, target: rows.TargetRow, context: Context) -> str:
    """Returns the name of the first predicate that rejects a target; empty if it is allowed."""
    for name, allows in PREDICATES.items():
        if not allows(step, target, context):
            return name
    return ""


def score(step: rows.StepRow, target: rows.TargetRow, context: Context) -> float:
    """Returns the sum of the scores of a target."""
    return sum(scores(step, target, context) for scores in SCORERS.values())
