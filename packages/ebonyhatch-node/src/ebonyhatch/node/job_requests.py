"""Handles callers' submissions, queries and cancellations of jobs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ebonyhatch.core import (
    commands,
    entities,
    errors,
    events,
    job_machine,
    journal_entries,
    resources,
)
from ebonyhatch.node import (
    cell_workers,
    journal,
    messages,
    remote_cells,
    task_entries,
    task_reports,
)
from ebonyhatch.ports import timing
from returns import result
from twisted.internet import defer

JOBS_LIMIT = 50_000
"""Maximum jobs that a cell holds."""

PAYLOADS_LIMIT_BYTES = 50_000_000
"""Maximum total payload bytes of a cell's jobs that have not ended."""

WRITE_TIMEOUT_S = 5.0
"""Maximum time that a caller waits for the journal, seconds."""

ReplyOutcome = defer.Deferred[messages.JobReply]


class JobRequests:
    """Answers callers; a submission or cancellation is confirmed once it is durable."""

    def __init__(
        self,
        *,
        journal_of_cell: journal.Journal,
        workers_of_cell: cell_workers.CellWorkers,
        clock: timing.Clock,
        reports: task_reports.TaskReports,
        emit: task_reports.Emit,
        remote_cells: remote_cells.RemoteCells,
    ) -> None:
        self._journal = journal_of_cell
        self._jobs = journal_of_cell.state.jobs
        self._workers = workers_of_cell
        self._clock = clock
        self._reports = reports
        self._emit = emit
        self._remote_cells = remote_cells

    def submit(self, job: entities.Job) -> ReplyOutcome:
        """Accepts a job; if the job is already known, replies with its state."""
        row = self._jobs.get(job.job_id)
        if row is not None:
            return defer.succeed(_current_reply(row))
        if not self._can_ever_run(job.demand):
            reason = "no worker that is known is large enough for the job's demand"
            return defer.succeed(messages.JobReply(status=422, reason=reason))
        if self._is_full():
            return defer.succeed(messages.JobReply(status=503, reason="the cell's queue is full"))
        written = self._journal.append(journal_entries.JobSubmitted(job=job), droppable=True)
        return self._reply(written, lambda: self._finish_submit(job.job_id))

    def show(self, job_id: str) -> messages.JobReply:
        """Returns the state of a job."""
        row = self._jobs.get(job_id)
        if row is None:
            return messages.JobReply(status=404, reason="no such job")
        return _current_reply(row)

    def explain(self, job_id: str) -> str:
        """Returns one sentence on the state of a job; empty if the job is unknown."""
        row = self._jobs.get(job_id)
        if row is None:
            return ""
        suffix = f": {row.reason}" if row.reason else ""
        return f"{job_id} is {row.state} after {row.attempts} attempts{suffix}"

    def cancel(self, job_id: str) -> ReplyOutcome:
        """Cancels a job; an ended job is not changed."""
        row = self._jobs.get(job_id)
        if row is None or row.state in job_machine.ENDED:
            return defer.succeed(self.show(job_id))
        if row.state is job_machine.JobState.PASSED:
            return defer.succeed(_current_reply(row))
        if row.state is job_machine.JobState.OFFERED:
            return defer.succeed(_refusal("job-moving", commands.Outcome.NOT_RUN))
        written = self._journal.append(journal_entries.JobCancelled(job_id=job_id), droppable=True)
        return self._reply(written, lambda: self._finish_cancel(row))

    def _can_ever_run(self, demand: resources.Resources) -> bool:
        fits_locally = self._workers.could_ever_hold(demand)
        return fits_locally or self._remote_cells.could_hold(demand=demand)

    def _is_full(self) -> bool:
        job_count = sum(self._jobs.counts.values())
        return job_count >= JOBS_LIMIT or self._jobs.payload_bytes >= PAYLOADS_LIMIT_BYTES

    def _finish_submit(self, job_id: str) -> messages.JobReply:
        row = self._jobs.get(job_id)
        if row is not None and row.state == job_machine.JobState.QUEUED and not row.attempts:
            self._emit(task_entries.submitted(row))
        return self.show(job_id)

    def _finish_cancel(self, row: job_machine.JobRow) -> messages.JobReply:
        if row.state == job_machine.JobState.CANCELLED:
            self._reports.mark_cancelled(row)
            self._emit(events.JobCancelled(job_id=row.job.job_id))
        return messages.JobReply(view=view_of(row))

    def _reply(
        self, written: journal.AppendOutcome, make_reply: Callable[[], messages.JobReply]
    ) -> ReplyOutcome:
        """Replies once the entry is durable, or with `unknown` after `WRITE_TIMEOUT_S`."""
        reply_outcome: ReplyOutcome = defer.Deferred()

        def finish(reply: messages.JobReply) -> None:
            if timer.active():
                timer.cancel()
            if not reply_outcome.called:
                reply_outcome.callback(reply)

        def time_out() -> None:
            finish(_refusal("journal-slow", commands.Outcome.UNKNOWN))

        def on_written(outcome: result.Result[None, errors.EbonyhatchError]) -> None:
            if isinstance(outcome, result.Success):
                finish(make_reply())
            else:
                finish(_reply_to_failure(outcome.failure()))

        timer: Any = self._clock.callLater(WRITE_TIMEOUT_S, time_out)
        written.addCallback(on_written)
        return reply_outcome


def view_of(row: job_machine.JobRow) -> messages.JobView:
    """Returns the view of a job that callers get."""
    return messages.JobView(
        job_id=row.job.job_id,
        state=row.state.value,
        attempts=row.attempts,
        evictions=row.evictions,
        progress_s=row.progress_s,
        result=row.result,
        reason=row.reason,
    )


def _current_reply(row: job_machine.JobRow) -> messages.JobReply:
    """Returns the state of a job, or the cell to which it was transferred."""
    if row.state is job_machine.JobState.PASSED:
        return messages.JobReply(moved_to=row.cell, reason="moved")
    return messages.JobReply(view=view_of(row))


def _reply_to_failure(error: errors.EbonyhatchError) -> messages.JobReply:
    if isinstance(error, journal.EntryTooLargeError):
        return messages.JobReply(status=413, reason=str(error))
    if isinstance(error, journal.LostWriteError):
        return _refusal(str(error), commands.Outcome.UNKNOWN)
    return _refusal(str(error), commands.Outcome.NOT_RUN)


def _refusal(reason: str, outcome: commands.Outcome) -> messages.JobReply:
    return messages.JobReply(status=503, reason=reason, outcome=outcome)
