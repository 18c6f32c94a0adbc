"""Gives slow targets less work."""

from __future__ import annotations

from ebonyhatch.fleet import rows
from ebonyhatch.fleet.constraints import registry

SLOWNESS_PENALTY = 2.4
"""Penalty of a target that stands still: a target at less than a sixth of the speed is worse than one
in another rack than the data, where work takes about three times as long, and a target at half the
speed is worse than any with free capacity."""


@registry.scorer("speed")
def speed_score(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> float:
    """Prefers targets with the speed of the fleet; slow ones are used when no others have capacity."""
    return -SLOWNESS_PENALTY * (1.0 - row.speed)
