"""Room on targets: hard limits of what is reserved, and which fit is best."""

from __future__ import annotations

from ebonyhatch.fleet import rows
from ebonyhatch.fleet.constraints import registry

SERVING_LOAD_SHARE = 0.5
"""Share of its reservation that a serving task is taken to use while nothing was measured."""


def leftover_cpu(row: rows.TargetRow) -> float:
    """Estimate the processor time that fillers could still take, thousandths of a core."""
    unused = row.free_cpu + (1 - SERVING_LOAD_SHARE) * row.serving_cpu
    return unused - row.filler_cpu


@registry.predicate("room")
def has_room(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> bool:
    """Tell whether a target has room for one more task of the step."""
    wanted = step.step
    if wanted.memory_mb > row.free_memory or wanted.accelerators > row.free_accelerators:
        return False
    if wanted.filler:
        return wanted.cpu_millis <= leftover_cpu(row)
    return wanted.cpu_millis <= row.free_cpu


@registry.scorer("room")
def room_score(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> float:
    """Prefer the target with the most processor time left, as a share of what it holds."""
    total = row.target.cpu_millis or 1
    if step.step.tail_limit_s:
        return 0.0
    if step.step.filler:
        return leftover_cpu(row) / total
    return (row.free_cpu - row.filler_cpu) / total
