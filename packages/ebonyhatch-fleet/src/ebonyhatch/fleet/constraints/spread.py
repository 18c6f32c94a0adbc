"""Limits on the tasks of one step on one target, and spreading of long-running steps."""

from __future__ import annotations

from ebonyhatch.fleet import rows
from ebonyhatch.fleet.constraints import registry

SHARED_TARGET_COST = 1.0
"""Score that each task of the same long-running step on a target costs: a whole free target."""


@registry.predicate("spread")
def is_below_limit(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> bool:
    """Tell whether a target may take one more task of the step."""
    limit = step.step.max_per_target
    return not limit or step.per_target.get(row.target_id, 0) < limit


@registry.scorer("spread")
def spread_score(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> float:
    """Prefer targets that hold none of a long-running step, so that one loss takes few."""
    if not step.step.long_running:
        return 0.0
    return -SHARED_TARGET_COST * step.per_target.get(row.target_id, 0)
