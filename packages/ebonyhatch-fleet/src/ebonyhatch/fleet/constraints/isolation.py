"""Targets that are reserved for short work."""

from __future__ import annotations

from ebonyhatch.fleet import rows
from ebonyhatch.fleet.constraints import registry

RESERVED_TARGET_PENALTY = 10.0
"""Penalty of a reserved target for a long-running task: above the sum of all other scores."""


@registry.scorer("kept", applies=lambda step: step.long_running)
def isolation_score(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> float:
    """Keeps long-running work off the targets that are reserved for short work."""
    return -RESERVED_TARGET_PENALTY if step.step.long_running and context.kept(row) else 0.0
