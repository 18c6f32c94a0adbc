"""Handlers of events about jobs and their attempts."""

from __future__ import annotations

from ebonyhatch.core import commands, events, rows, tables
from ebonyhatch.core.systems import batch_placement, health, ingest, requeue, worker_events


@ingest.handler(events.JobSubmitted)
def job_submitted(state: tables.Tables, event: events.JobSubmitted) -> None:
    """Queues a job, unless it is already known."""
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
    """Removes a waiting job, or stops its attempt."""
    row = state.jobs.get(event.job_id)
    if row is None:
        return
    task = row.task
    if task is None:
        state.remove_job(row)
        return
    if task.state is rows.TaskState.STOPPING:
        return
    task.state = rows.TaskState.STOPPING
    stop = commands.StopTask(task_id=task.task_id, worker_id=task.worker.worker_id)
    state.commands.append(stop)


@ingest.handler(events.TaskAdopted)
def task_adopted(state: tables.Tables, event: events.TaskAdopted) -> None:
    """Adds an attempt that already runs."""
    if event.task_id in state.tasks:
        return
    row = state.jobs.get(event.job.job_id)
    if row is None:
        row = rows.Job(job=event.job)
        state.jobs[event.job.job_id] = row
    elif row.task is None:
        state.remove_job(row)
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
        unsaved_updated_at=event.started_at,
    )
    state.reserve_task(task)


@ingest.handler(events.TaskStarted)
def task_started(state: tables.Tables, event: events.TaskStarted) -> None:
    """Records that an attempt runs."""
    task = state.tasks.get(event.task_id)
    if task is not None and task.state is rows.TaskState.STARTING:
        task.state = rows.TaskState.RUNNING
        task.unsaved_updated_at = state.now
        task.job.start_failures = 0
        health.record_success(state, task.worker, task.job.job.work_class)


@ingest.handler(events.TaskStartFailed)
def task_start_failed(state: tables.Tables, event: events.TaskStartFailed) -> None:
    """Queues the job of an attempt that failed to start, after a delay."""
    task = state.tasks.get(event.task_id)
    if task is not None:
        task.job.avoid_worker_id = task.worker.worker_id
        health.record_failure(state, task.worker, task.job.job.work_class)
        requeue.start_failed(state, task)


@ingest.handler(events.TaskFinished)
def task_finished(state: tables.Tables, event: events.TaskFinished) -> None:
    """Removes a finished job and records its run time."""
    task = state.tasks.get(event.task_id)
    if task is not None:
        state.run_times.record_run_time(task.job.job, run_s=task.resumed_s + event.run_s)
    _remove_job(state, event.task_id)


@ingest.handler(events.TaskFailed)
def task_failed(state: tables.Tables, event: events.TaskFailed) -> None:
    """Removes a job whose attempt failed after its start."""
    _remove_job(state, event.task_id)


@ingest.handler(events.TaskCheckpointed)
def task_checkpointed(state: tables.Tables, event: events.TaskCheckpointed) -> None:
    """Records the work that a checkpoint saved."""
    task = state.tasks.get(event.task_id)
    if task is not None:
        task.unsaved_updated_at = state.now
        task.unsaved_s = 0.0
        task.job.progress_s = event.progress_s


@ingest.handler(events.TaskStopped)
def task_stopped(state: tables.Tables, event: events.TaskStopped) -> None:
    """Queues an evicted job with the work that was saved."""
    task = state.tasks.get(event.task_id)
    if task is not None:
        task.job.progress_s = max(task.job.progress_s, event.progress_s)
        requeue.attempt_ended(state, task)


@ingest.handler(events.TaskLost)
def task_lost(state: tables.Tables, event: events.TaskLost) -> None:
    """Queues the job of a lost attempt, which no longer runs on any worker."""
    task = state.tasks.get(event.task_id)
    if task is not None:
        requeue.attempt_ended(state, task)


def _remove_job(state: tables.Tables, task_id: str) -> None:
    task = state.tasks.get(task_id)
    if task is not None:
        state.release_task(task)
        state.remove_job(task.job)
