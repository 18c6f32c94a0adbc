"""The registries that the modules of this package fill."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from ebonyhatch.fleet import rows, tails


class Context(msgspec.Struct, frozen=True, kw_only=True):
    """What is known beyond the rows.

    Attributes:
        now: The steady time, seconds.
        tails: How fillers disturb serving tasks.
        kept: Tells which targets are kept free of long-running work.
    """

    now: float
    tails: tails.TailModel
    kept: Callable[[rows.TargetRow], bool]


Predicate = Callable[[rows.StepRow, rows.TargetRow, Context], bool]
"""Tells whether a task of a step may run on a target now."""

Scorer = Callable[[rows.StepRow, rows.TargetRow, Context], float]
"""Scores a target for a task of a step; higher is better, in equivalents of free capacity shares."""

PREDICATES: dict[str, Predicate] = {}
SCORERS: dict[str, Scorer] = {}


def predicate(name: str) -> Callable[[Predicate], Predicate]:
    """Register a predicate; it is checked in the order of registration."""

    def register(function: Predicate) -> Predicate:
        PREDICATES[name] = function
        return function

    return register


def scorer(name: str) -> Callable[[Scorer], Scorer]:
    """Register a scorer; the scores of all are summed."""

    def register(function: Scorer) -> Scorer:
        SCORERS[name] = function
        return function

    return register


def failed(step: rows.StepRow, target: rows.TargetRow, context: Context) -> str:
    """Name the first predicate that forbids a target; empty when it is allowed."""
    for name, allows in PREDICATES.items():
        if not allows(step, target, context):
            return name
    return ""


def score(step: rows.StepRow, target: rows.TargetRow, context: Context) -> float:
    """Sum the scores of a target."""
    return sum(scores(step, target, context) for scores in SCORERS.values())
