"""Targets that are kept for short work."""

from __future__ import annotations

from ebonyhatch.fleet import rows
from ebonyhatch.fleet.constraints import registry

KEPT_COST = 10.0
"""Score that a kept target costs a long-running task: more than all others together."""


@registry.scorer("kept")
def kept_score(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> float:
    """Keep long-running work off the targets that are kept for short work."""
    return -KEPT_COST if step.step.long_running and context.kept(row) else 0.0
