"""Durable progress of a job, and the rows that are restored from it."""

from __future__ import annotations

import msgspec
from ebonyhatch.fleet import decoding, dependencies, jobs, queues, rows


class StepProgress(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Progress of a step; keys are indexes of tasks.

    Attributes:
        done: Indexes of the tasks that are done.
        failures: Numbers of the failed runs of each task that has any.
        crashes: Number of crashes of targets under each task that has any, and number of those for
            which it is blamed.
        trials: Last run of each task that saw a crash, if its end isn't known.
        checkpoints: Last checkpoint of each task that is not done and has one.
        runs: Highest known run number of each task that is not done and had a run.
    """

    done: list[int] = []
    failures: dict[int, list[int]] = {}
    crashes: dict[int, tuple[int, int]] = {}
    trials: dict[int, rows.Trial] = {}
    checkpoints: dict[int, str] = {}
    runs: dict[int, int] = {}


class JobProgress(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Progress of a job.

    Attributes:
        state: State of the job.
        begun: Whether a task of the job has started.
        ended_at: Time of day of the job's end, seconds since 1970.
        reason: Reason of a failure.
        finished: Numbers of the completed occurrences, in records of earlier versions; they follow from
            the other fields.
        next_occurrence: Next occurrence to release.
        occurrences: Progress of the steps of each unfinished occurrence.
    """

    state: rows.JobState = rows.JobState.QUEUED
    begun: bool = False
    ended_at: float = 0.0
    reason: str = ""
    finished: list[int] = []
    next_occurrence: int = 0
    occurrences: dict[int, list[StepProgress]] = {}


class Accepted(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted job with its queue at that time, as operators may remove the queue later.

    Attributes:
        job: The job.
        queue: Its queue at the entry that accepted it.
        version: Version of the configuration that the queue is from; 0 where it is unknown.
    """

    job: jobs.Job
    queue: queues.Queue
    version: int = 0


_ENCODER = msgspec.json.Encoder()


def encode_accepted(*, job: jobs.Job, queue: queues.Queue, version: int = 0) -> bytes:
    """Returns the encoded record of an accepted job; `version` is that of the queue."""
    return _ENCODER.encode(Accepted(job=job, queue=queue, version=version))


def decode_accepted(value: bytes) -> Accepted:
    """Returns the decoded record of an accepted job; raises `decoding.UnreadableError`."""
    return decoding.decode(value, Accepted)


def encode(row: rows.JobRow) -> bytes:
    """Returns the encoded progress of a job."""
    progress = JobProgress(
        state=row.state,
        begun=row.begun,
        ended_at=row.ended_at,
        reason=row.reason,
        next_occurrence=row.next_occurrence,
    )
    if not row.ended:
        progress.occurrences = {
            number: [_step_progress(step) for step in steps]
            for number, steps in row.occurrences.items()
        }
    return _ENCODER.encode(progress)


def decode(value: bytes) -> JobProgress:
    """Returns the decoded progress of a job; raises `decoding.UnreadableError`."""
    return decoding.decode(value, JobProgress)


def restore(*, job: jobs.Job, queue: queues.Queue, progress: JobProgress | None) -> rows.JobRow:
    """Returns a job's row, restored from its durable progress; None stands for no progress."""
    row = rows.JobRow(job=job, queue=queue)
    if progress is None:
        return row
    row.state = row.visible_state = progress.state
    row.begun = progress.begun
    row.ended_at = progress.ended_at
    row.reason = progress.reason
    row.next_occurrence = progress.next_occurrence
    if not row.ended:
        for number, steps in progress.occurrences.items():
            restored = new_steps(row, number)
            for step, step_progress in zip(restored, steps, strict=False):
                _restore_step(step, step_progress)
            dependencies.open_occurrence(row, number, restored)
    return row


def new_steps(row: rows.JobRow, occurrence: int) -> list[rows.StepRow]:
    """Returns new rows for the steps of one occurrence."""
    steps = []
    for index, step in enumerate(row.job.steps):
        step_row = rows.StepRow(
            job=row, occurrence=occurrence, index=index, step=step, remaining_count=step.count
        )
        step_row.expected_s = step.estimate_s
        steps.append(step_row)
    return steps


def _step_progress(step: rows.StepRow) -> StepProgress:
    progress = StepProgress(
        done=step.tasks.done, failures={}, crashes={}, trials={}, checkpoints={}, runs={}
    )
    for task in step.tasks.known:
        if task.failed_runs:
            progress.failures[task.index] = sorted(task.failed_runs)
        if task.crashes:
            progress.crashes[task.index] = (task.crashes, task.blamed_crashes)
        if task.trial is not None:
            progress.trials[task.index] = task.trial
        if task.checkpoint:
            progress.checkpoints[task.index] = task.checkpoint
        if task.last_run:
            progress.runs[task.index] = task.last_run
    return progress


def _restore_step(step: rows.StepRow, progress: StepProgress) -> None:
    for index in progress.done:
        step.tasks.mark_done(index)
    step.remaining_count -= step.tasks.done_count
    for index, failures in progress.failures.items():
        step.tasks[index].failed_runs = set(failures)
    for index, (crashes, blamed) in progress.crashes.items():
        step.tasks[index].crashes, step.tasks[index].blamed_crashes = crashes, blamed
    for index, trial in progress.trials.items():
        step.tasks[index].trial = trial
    for index, checkpoint in progress.checkpoints.items():
        step.tasks[index].checkpoint = checkpoint
    for index, run in progress.runs.items():
        step.tasks[index].last_run = run
