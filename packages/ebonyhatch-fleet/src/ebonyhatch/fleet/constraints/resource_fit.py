"""Free capacity of targets: hard limits on reservations, and preference for the emptiest target.

Fillers are tasks that use processor time left over by others, so they reserve none.
"""

from __future__ import annotations

from ebonyhatch.fleet import rows
from ebonyhatch.fleet.constraints import registry

SERVING_LOAD_FRACTION = 0.5
"""Fraction of its reservation that a serving task is assumed to use before any measurement."""


def leftover_cpu(row: rows.TargetRow) -> float:
    """Returns the processor time that fillers could still use, thousandths of a core."""
    unused = row.free_cpu + (1 - SERVING_LOAD_FRACTION) * row.serving_cpu
    return unused - row.filler_cpu


@registry.predicate("room")
def has_capacity(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> bool:
    """Returns whether a target has free capacity for one more task of the step."""
    spec = step.step
    if spec.memory_mb > row.free_memory or spec.accelerators > row.free_accelerators:
        return False
    if spec.filler:
        return spec.cpu_millis <= leftover_cpu(row)
    return spec.cpu_millis <= row.free_cpu


@registry.scorer("room")
def capacity_score(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> float:
    """Prefers the target with the largest free fraction of its processor time."""
    total = row.target.cpu_millis or 1
    if step.step.tail_limit_s:
        return 0.0
    if step.step.filler:
        return leftover_cpu(row) / total
    return (row.free_cpu - row.filler_cpu) / total
