"""Limits the tasks of one step on one target, and spreads long-running steps."""

from __future__ import annotations

from ebonyhatch.fleet import rows
from ebonyhatch.fleet.constraints import registry

LOSS_PENALTY = 3.0
"""Penalty of a target whose loss would take a whole long-running step: a third of a step weighs as
much as placing tasks of one image together."""


@registry.predicate("spread", applies=lambda step: step.max_per_target > 0)
def is_below_limit(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> bool:
    """Returns whether a target may take one more task of the step."""
    limit = step.step.max_per_target
    return not limit or step.per_target.get(row.target_id, 0) < limit


@registry.scorer("spread", applies=lambda step: step.long_running)
def spread_score(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> float:
    """Prefers targets with few tasks of a long-running step, so that the loss of one takes few."""
    if not step.step.long_running:
        return 0.0
    return -LOSS_PENALTY * step.per_target.get(row.target_id, 0) / step.step.count
