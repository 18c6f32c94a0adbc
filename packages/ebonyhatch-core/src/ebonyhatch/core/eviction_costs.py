"""What it costs to take a slot back from an attempt."""

from __future__ import annotations

from ebonyhatch.core import rows, tables

CHECKPOINT_COST_S = 2.0
"""Slot time that saving the work takes, about."""

WEIGHT_NAME = "eviction_cost"


def unsaved_s(task: rows.Task, *, now: float) -> float:
    """Work that would be done again if the attempt were stopped now, seconds."""
    return task.unsaved_s + max(0.0, (now - task.saved_at) * task.share)


def settle(task: rows.Task, *, now: float) -> None:
    """Bring the unsaved work up to now, before the task's speed changes."""
    task.unsaved_s = unsaved_s(task, now=now)
    task.saved_at = now


def savable(state: tables.Tables, task: rows.Task) -> bool:
    """Tell whether the attempt has done enough work to be checkpointed."""
    return unsaved_s(task, now=state.now) >= state.settings.checkpoint_spacing_s


def at_once(state: tables.Tables, task: rows.Task) -> float:
    """Cost of stopping without a checkpoint; it rises with each former eviction."""
    return (unsaved_s(task, now=state.now) + 1.0) * _weight(state, task)


def with_checkpoint(state: tables.Tables, task: rows.Task) -> float:
    """Cost of stopping after a checkpoint, if one is possible."""
    unsaved = unsaved_s(task, now=state.now) + 1.0
    if savable(state, task):
        unsaved = CHECKPOINT_COST_S
    return unsaved * _weight(state, task)


def _weight(state: tables.Tables, task: rows.Task) -> float:
    work_class = state.classes.get(task.job.job.work_class)
    weight = work_class.weights.get(WEIGHT_NAME, 1.0) if work_class is not None else 1.0
    return weight * (1 + task.job.evictions) ** 2
