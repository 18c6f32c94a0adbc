"""Racks where a step's data lies."""

from __future__ import annotations

from ebonyhatch.fleet import rows
from ebonyhatch.fleet.constraints import registry

NEAR_DATA_SCORE = 2.0
"""Score of the data's own rack; above every score of free capacity, since work elsewhere takes
times as long."""


@registry.scorer("rack")
def rack_score(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> float:
    """Prefer the rack of the step's data."""
    if not step.step.data_rack:
        return 0.0
    return NEAR_DATA_SCORE if row.target.rack == step.step.data_rack else 0.0
