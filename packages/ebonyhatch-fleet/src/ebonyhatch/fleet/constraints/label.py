"""Labels that a step requires."""

from __future__ import annotations

from ebonyhatch.fleet import rows
from ebonyhatch.fleet.constraints import registry


@registry.predicate("label", applies=lambda step: bool(step.label))
def has_label(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> bool:
    """Returns whether a target has the label that the step requires."""
    return not step.step.label or step.step.label in row.target.labels
