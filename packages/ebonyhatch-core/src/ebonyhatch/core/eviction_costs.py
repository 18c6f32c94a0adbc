"""What it costs to take a slot back from an attempt."""

from __future__ import annotations

from ebonyhatch.core import rows, tables

CHECKPOINT_COST_S = 2.0
"""Slot time that saving the work takes, about."""

FULL_TOKEN_S = 10.0
"""Unsaved work from which an eviction takes a whole token from the budget."""

LEAST_TOKEN = 0.1
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


def tokens(state: tables.Tables, task: rows.Task) -> float:
    """What an eviction takes from the budget: little for one that has hardly run."""
    share = unsaved_s(task, now=state.now) / FULL_TOKEN_S
    return min(1.0, max(LEAST_TOKEN, share))


def _weight(state: tables.Tables, task: rows.Task) -> float:
    work_class = state.classes.get(task.job.job.work_class)
    weight = work_class.weights.get(WEIGHT_NAME, 1.0) if work_class is not None else 1.0
    return weight * (1 + task.job.evictions) ** 2
