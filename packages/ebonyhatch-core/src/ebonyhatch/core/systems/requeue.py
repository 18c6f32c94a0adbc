"""Queues jobs again when their attempt ended, and parked jobs when workers change."""

from __future__ import annotations

import heapq

from ebonyhatch.core import rows, tables

INITIAL_START_DELAY_S = 0.1
"""Delay of a job after its first failed start, seconds."""

MAX_START_DELAY_S = 30.0
"""Longest delay of a job whose starts fail, seconds; the delay doubles with each failure."""


def attempt_ended(state: tables.Tables, task: rows.Task) -> None:
    """Removes an attempt that no longer runs; queues its job again unless it was cancelled."""
    row = task.job
    state.release_task(task)
    if task.state is rows.TaskState.STOPPING:
        state.remove_job(row)
    else:
        state.queue_job(row, first=True)


def start_failed(state: tables.Tables, task: rows.Task) -> None:
    """Queues a job again after a delay that doubles with each start that failed in a row."""
    row = task.job
    state.release_task(task)
    if task.state is rows.TaskState.STOPPING:
        state.remove_job(row)
        return
    delay_s = min(MAX_START_DELAY_S, INITIAL_START_DELAY_S * 2.0**row.start_failures)
    row.start_failures += 1
    heapq.heappush(state.delayed_jobs, (state.now + delay_s, row.job.job_id))


def run(state: tables.Tables) -> None:
    """Queues the jobs whose delay is over."""
    delayed = state.delayed_jobs
    while delayed and delayed[0][0] <= state.now:
        row = state.jobs.get(heapq.heappop(delayed)[1])
        if row is not None and row.task is None and not row.parked:
            state.batch_queue.remove(row, priority=state.priority_of(row.job.work_class))
            state.queue_job(row, first=True)


def unpark(state: tables.Tables) -> None:
    """Queues all parked jobs again."""
    parked = list(state.parked.values())
    state.parked.clear()
    for row in parked:
        row.parked = False
        state.queue_job(row)
