"""Queues jobs again whose attempt ended, and parked jobs when workers change."""

from __future__ import annotations

from ebonyhatch.core import rows, tables


def attempt_ended(state: tables.Tables, task: rows.Task) -> None:
    """Drop an attempt that runs nowhere; queue its job again unless it was cancelled."""
    row = task.job
    state.release_task(task)
    if task.state is rows.TaskState.STOPPING:
        state.forget_job(row)
    else:
        state.queue_job(row, first=True)


def unpark(state: tables.Tables) -> None:
    """Queue all parked jobs again."""
    parked = list(state.parked.values())
    state.parked.clear()
    for row in parked:
        row.parked = False
        state.queue_job(row)
