"""Costs of evicting an attempt, in seconds of work."""

from __future__ import annotations

from ebonyhatch.core import rows, tables

CHECKPOINT_COST_S = 2.0
"""Approximate time for which a checkpoint occupies the slot of a task, seconds."""

WEIGHT_NAME = "eviction_cost"
"""Name of the weight in a class's record by which the costs of evicting its tasks are multiplied; 1
if absent."""


def unsaved_s(task: rows.Task, *, now: float) -> float:
    """Returns the work that would be lost if the attempt were stopped now, seconds."""
    return task.unsaved_s + max(0.0, (now - task.unsaved_updated_at) * task.speed_fraction)


def update_unsaved(task: rows.Task, *, now: float) -> None:
    """Updates the unsaved work to `now`; must be called before the speed of the task changes."""
    task.unsaved_s = unsaved_s(task, now=now)
    task.unsaved_updated_at = now


def can_checkpoint(state: tables.Tables, task: rows.Task) -> bool:
    """Returns whether the attempt has done enough work since the last checkpoint for another."""
    return unsaved_s(task, now=state.now) >= state.settings.checkpoint_spacing_s


def cost_without_checkpoint(state: tables.Tables, task: rows.Task) -> float:
    """Returns the cost of stopping without a checkpoint; it rises with each earlier eviction."""
    return (unsaved_s(task, now=state.now) + 1.0) * _weight(state, task)


def cost_with_checkpoint(state: tables.Tables, task: rows.Task) -> float:
    """Returns the cost of stopping after a checkpoint, or without one if none can be saved yet."""
    unsaved = unsaved_s(task, now=state.now) + 1.0
    if can_checkpoint(state, task):
        unsaved = CHECKPOINT_COST_S
    return unsaved * _weight(state, task)


def _weight(state: tables.Tables, task: rows.Task) -> float:
    work_class = state.classes.get(task.job.job.work_class)
    weight = work_class.weights.get(WEIGHT_NAME, 1.0) if work_class is not None else 1.0
    return weight * (1 + task.job.evictions) ** 2
