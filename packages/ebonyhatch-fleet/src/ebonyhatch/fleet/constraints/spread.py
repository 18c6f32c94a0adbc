"""Limits on the tasks of one step on one target, and spreading of long-running steps."""

from __future__ import annotations

from ebonyhatch.fleet import rows
from ebonyhatch.fleet.constraints import registry

LOST_SHARE_COST = 3.0
"""Score that a target costs whose loss would take a whole long-running step: a third of one weighs
as much as the wish to put tasks of one image together."""


@registry.predicate("spread")
def is_below_limit(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> bool:
    """Tell whether a target may take one more task of the step."""
    limit = step.step.max_per_target
    return not limit or step.per_target.get(row.target_id, 0) < limit


@registry.scorer("spread")
def spread_score(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> float:
    """Prefer targets that hold little of a long-running step, so that one loss takes few."""
    if not step.step.long_running:
        return 0.0
    return -LOST_SHARE_COST * step.per_target.get(row.target_id, 0) / step.step.count
