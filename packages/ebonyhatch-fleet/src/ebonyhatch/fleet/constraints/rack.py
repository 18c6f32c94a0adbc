"""Racks that hold a step's data."""

from __future__ import annotations

from ebonyhatch.fleet import rows
from ebonyhatch.fleet.constraints import registry

NEAR_DATA_SCORE = 2.0
"""Score of the rack that holds the data: above every score of free capacity, since the work takes a
multiple of the time on another rack."""


@registry.scorer("rack", applies=lambda step: bool(step.data_rack))
def rack_score(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> float:
    """Prefers the rack that holds the step's data."""
    if not step.step.data_rack:
        return 0.0
    return NEAR_DATA_SCORE if row.target.rack == step.step.data_rack else 0.0
