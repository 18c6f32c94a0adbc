"""Registries of predicates and scorers, filled by the modules of this package."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from ebonyhatch.fleet import interference, jobs, rows


class Context(msgspec.Struct, frozen=True, kw_only=True):
    """State that constraints use in addition to the rows.

    Attributes:
        now: Time on the scheduler's clock, seconds.
        tails: Margins of serving tasks, of which fillers take a part.
        kept: Returns whether a target is reserved for short work.
    """

    now: float
    tails: interference.MarginSource
    kept: Callable[[rows.TargetRow], bool]


Predicate = Callable[[rows.StepRow, rows.TargetRow, Context], bool]
"""Returns whether a task of a step may run on a target now."""

Scorer = Callable[[rows.StepRow, rows.TargetRow, Context], float]
"""Returns the score of a target for a task of a step; higher is better. The unit is a target's free
capacity as a fraction of its total."""

Applies = Callable[[jobs.Step], bool]
"""Returns whether a constraint concerns a step at all."""

PREDICATES: dict[str, Predicate] = {}
SCORERS: dict[str, Scorer] = {}
_APPLIES: dict[Predicate | Scorer, Applies] = {}
_CONDITIONS: list[Applies] = []
_SELECTIONS: dict[tuple[bool, ...], Selection] = {}


class Selection(msgspec.Struct, frozen=True, kw_only=True):
    """The constraints that concern a step.

    The others allow every target and add nothing to a score.
    """

    predicates: tuple[Predicate, ...]
    scorers: tuple[Scorer, ...]

    def allows(self, step: rows.StepRow, target: rows.TargetRow, context: Context) -> bool:
        """Returns whether no predicate rejects a target."""
        return all(allows(step, target, context) for allows in self.predicates)

    def allows_beyond(
        self,
        checked: frozenset[Predicate],
        step: rows.StepRow,
        target: rows.TargetRow,
        context: Context,
    ) -> bool:
        """Returns whether no predicate rejects a target that those of `checked` allow."""
        for allows in self.predicates:
            if allows not in checked and not allows(step, target, context):
                return False
        return True

    def score(self, step: rows.StepRow, target: rows.TargetRow, context: Context) -> float:
        """Returns the sum of the scores of a target."""
        total = 0.0
        for scores in self.scorers:
            total += scores(step, target, context)
        return total


def predicate(name: str, *, applies: Applies | None = None) -> Callable[[Predicate], Predicate]:
    """Registers a predicate; predicates are checked in the order of registration.

    While runs are only added to a target, a predicate may turn from true to false and not back, and
    one that rejects a step rejects all that ask for more of the same.

    Args:
        name: Its name.
        applies: Returns whether it may reject any target for a step; None if it may for all steps.
    """

    def register(function: Predicate) -> Predicate:
        PREDICATES[name] = function
        _register(function, applies)
        return function

    return register


def scorer(name: str, *, applies: Applies | None = None) -> Callable[[Scorer], Scorer]:
    """Registers a scorer; the scores of all scorers are summed.

    Args:
        name: Its name.
        applies: Returns whether its score of a step may differ from 0; None if it may for all.
    """

    def register(function: Scorer) -> Scorer:
        SCORERS[name] = function
        _register(function, applies)
        return function

    return register


def select(step: jobs.Step) -> Selection:
    """Returns the constraints that concern a step."""
    key = tuple([bool(applies(step)) for applies in _CONDITIONS])
    selection = _SELECTIONS.get(key)
    if selection is None:
        selection = _SELECTIONS[key] = Selection(
            predicates=tuple(one for one in PREDICATES.values() if _APPLIES[one](step)),
            scorers=tuple(one for one in SCORERS.values() if _APPLIES[one](step)),
        )
    return selection


def _register(function: Predicate | Scorer, applies: Applies | None) -> None:
    _APPLIES[function] = applies or _always
    if applies is not None:
        _CONDITIONS.append(applies)
    _SELECTIONS.clear()


def _always(step: jobs.Step) -> bool:
    return True


def failed(step: rows.StepRow, target: rows.TargetRow, context: Context) -> str:
    """Returns the name of the first predicate that rejects a target; empty if it is allowed."""
    for name, allows in PREDICATES.items():
        if not allows(step, target, context):
            return name
    return ""


def score(step: rows.StepRow, target: rows.TargetRow, context: Context) -> float:
    """Returns the sum of the scores of a target."""
    return sum(scores(step, target, context) for scores in SCORERS.values())
