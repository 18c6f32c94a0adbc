"""Journal entries and events for the end of an attempt."""

from __future__ import annotations

import msgspec
from ebonyhatch.core import events, job_machine, journal_entries
from ebonyhatch.ports import workers

MAX_FAILED_ATTEMPTS = 5
"""Number of failed attempts after which a job fails."""

MAX_RESULT_BYTES = 100_000
"""Maximum size of a stored result, bytes.

A job with a larger one finishes with a reason instead.
"""


def entry_of_end(row: job_machine.JobRow, task: workers.TaskReport) -> journal_entries.AnyEntry:
    """Returns the journal entry for an attempt that has ended on its worker."""
    job_id = row.job.job_id
    if task.state == workers.TaskState.FINISHED:
        return _finished(row, task)
    if task.state == workers.TaskState.STOPPED:
        return journal_entries.AttemptEvicted(
            job_id=job_id,
            attempt=row.attempts,
            checkpoint=task.checkpoint,
            progress_s=task.progress_s,
        )
    if row.failures + 1 < MAX_FAILED_ATTEMPTS:
        return journal_entries.AttemptFailed(
            job_id=job_id, attempt=row.attempts, reason=task.reason
        )
    return journal_entries.JobFailed(job_id=job_id, attempt=row.attempts, reason=task.reason)


def event_of_end(task: workers.TaskReport) -> events.Event:
    """Returns the event for an attempt that has ended on its worker."""
    if task.state == workers.TaskState.FINISHED:
        return events.TaskFinished(task_id=task.task_id, run_s=task.run_s)
    if task.state == workers.TaskState.STOPPED:
        return events.TaskStopped(task_id=task.task_id, progress_s=task.progress_s)
    return events.TaskFailed(task_id=task.task_id, reason=task.reason, run_s=task.run_s)


def submitted(row: job_machine.JobRow) -> events.JobSubmitted:
    """Returns the event for a job that waits."""
    return events.JobSubmitted(
        job=row.job,
        attempts=row.attempts,
        evictions=row.evictions,
        progress_s=row.progress_s,
    )


def _finished(row: job_machine.JobRow, task: workers.TaskReport) -> journal_entries.JobFinished:
    entry = journal_entries.JobFinished(
        job_id=row.job.job_id, attempt=row.attempts, result=task.result
    )
    if len(task.result) <= MAX_RESULT_BYTES:
        return entry
    reason = f"the result of {len(task.result)} bytes is over {MAX_RESULT_BYTES} and not kept"
    return msgspec.structs.replace(entry, result=b"", reason=reason)
