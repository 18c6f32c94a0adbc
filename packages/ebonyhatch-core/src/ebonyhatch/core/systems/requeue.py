"""Queues jobs again whose attempt ended, and parked jobs when workers change."""

from __future__ import annotations

import heapq

from ebonyhatch.core import rows, tables

FIRST_WAIT_S = 0.1
LONGEST_WAIT_S = 30.0
"""Waits of a job whose starts fail."""


def attempt_ended(state: tables.Tables, task: rows.Task) -> None:
    """Drop an attempt that runs nowhere; queue its job again unless it was cancelled."""
    row = task.job
    state.release_task(task)
    if task.state is rows.TaskState.STOPPING:
        state.forget_job(row)
    else:
        state.queue_job(row, first=True)


def start_failed(state: tables.Tables, task: rows.Task) -> None:
    """Queue a job again after a wait that doubles with each start that failed in a row."""
    row = task.job
    state.release_task(task)
    if task.state is rows.TaskState.STOPPING:
        state.forget_job(row)
        return
    wait_s = min(LONGEST_WAIT_S, FIRST_WAIT_S * 2.0**row.start_failures)
    row.start_failures += 1
    heapq.heappush(state.delayed, (state.now + wait_s, row.job.job_id))


def run(state: tables.Tables) -> None:
    """Queue the jobs whose wait is over."""
    delayed = state.delayed
    while delayed and delayed[0][0] <= state.now:
        row = state.jobs.get(heapq.heappop(delayed)[1])
        if row is not None and row.task is None and not row.parked:
            state.batch.remove(row, priority=state.priority_of(row.job.work_class))
            state.queue_job(row, first=True)


def unpark(state: tables.Tables) -> None:
    """Queue all parked jobs again."""
    parked = list(state.parked.values())
    state.parked.clear()
    for row in parked:
        row.parked = False
        state.queue_job(row)
