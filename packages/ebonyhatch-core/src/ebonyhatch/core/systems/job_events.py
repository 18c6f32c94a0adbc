"""Handlers of events about jobs and their attempts."""

from __future__ import annotations

from ebonyhatch.core import commands, events, rows, tables
from ebonyhatch.core.systems import batch_placement, health, ingest, requeue, worker_events


@ingest.handler(events.JobSubmitted)
def job_submitted(state: tables.Tables, event: events.JobSubmitted) -> None:
    """Queue a job, unless it is known already."""
    if event.job.job_id in state.jobs:
        return
    row = rows.Job(
        job=event.job,
        attempts=event.attempts,
        evictions=event.evictions,
        progress_s=event.progress_s,
    )
    state.jobs[event.job.job_id] = row
    state.queue_job(row)
    batch_placement.park_if_impossible(state, row)


@ingest.handler(events.JobCancelled)
def job_cancelled(state: tables.Tables, event: events.JobCancelled) -> None:
    """Drop a waiting job, or stop its attempt."""
    row = state.jobs.get(event.job_id)
    if row is None:
        return
    task = row.task
    if task is None:
        state.forget_job(row)
        return
    if task.state is rows.TaskState.STOPPING:
        return
    task.state = rows.TaskState.STOPPING
    stop = commands.StopTask(task_id=task.task_id, worker_id=task.worker.worker_id)
    state.commands.append(stop)


@ingest.handler(events.TaskAdopted)
def task_adopted(state: tables.Tables, event: events.TaskAdopted) -> None:
    """Enter an attempt that already runs."""
    if event.task_id in state.tasks:
        return
    row = state.jobs.get(event.job.job_id)
    if row is None:
        row = rows.Job(job=event.job)
        state.jobs[event.job.job_id] = row
    elif row.task is None:
        state.forget_job(row)
        state.jobs[event.job.job_id] = row
    row.attempts = max(row.attempts, event.attempts)
    row.evictions = max(row.evictions, event.evictions)
    row.progress_s = event.progress_s
    worker = worker_events.find_or_add(state, event.worker_id)
    task = rows.Task(
        task_id=event.task_id,
        job=row,
        worker=worker,
        demand=event.job.demand,
        state=rows.TaskState.RUNNING,
        placed_at=event.started_at,
        resumed_s=event.progress_s,
        saved_at=event.started_at,
    )
    state.reserve_task(task)


@ingest.handler(events.TaskStarted)
def task_started(state: tables.Tables, event: events.TaskStarted) -> None:
    """Note that an attempt runs."""
    task = state.tasks.get(event.task_id)
    if task is not None and task.state is rows.TaskState.STARTING:
        task.state = rows.TaskState.RUNNING
        task.saved_at = state.now
        task.job.start_failures = 0
        health.good(state, task.worker, task.job.job.work_class)


@ingest.handler(events.TaskStartFailed)
def task_start_failed(state: tables.Tables, event: events.TaskStartFailed) -> None:
    """Queue the job of an attempt that never ran."""
    task = state.tasks.get(event.task_id)
    if task is not None:
        task.job.avoid_worker_id = task.worker.worker_id
        health.bad(state, task.worker, task.job.job.work_class)
        requeue.start_failed(state, task)


@ingest.handler(events.TaskFinished)
def task_finished(state: tables.Tables, event: events.TaskFinished) -> None:
    """Drop a finished job and learn its run time."""
    task = state.tasks.get(event.task_id)
    if task is not None:
        state.run_times.finished(task.job.job, run_s=task.resumed_s + event.run_s)
    _drop(state, event.task_id)


@ingest.handler(events.TaskFailed)
def task_failed(state: tables.Tables, event: events.TaskFailed) -> None:
    """Drop a job whose attempt ended badly after its start."""
    _drop(state, event.task_id)


@ingest.handler(events.TaskCheckpointed)
def task_checkpointed(state: tables.Tables, event: events.TaskCheckpointed) -> None:
    """Note the work that is kept."""
    task = state.tasks.get(event.task_id)
    if task is not None:
        task.saved_at = state.now
        task.unsaved_s = 0.0
        task.job.progress_s = event.progress_s


@ingest.handler(events.TaskStopped)
def task_stopped(state: tables.Tables, event: events.TaskStopped) -> None:
    """Queue an evicted job with the work that is kept."""
    task = state.tasks.get(event.task_id)
    if task is not None:
        task.job.progress_s = max(task.job.progress_s, event.progress_s)
        requeue.attempt_ended(state, task)


@ingest.handler(events.TaskLost)
def task_lost(state: tables.Tables, event: events.TaskLost) -> None:
    """Queue the job of an attempt that runs nowhere now."""
    task = state.tasks.get(event.task_id)
    if task is not None:
        requeue.attempt_ended(state, task)


def _drop(state: tables.Tables, task_id: str) -> None:
    task = state.tasks.get(task_id)
    if task is not None:
        state.release_task(task)
        state.forget_job(task.job)
