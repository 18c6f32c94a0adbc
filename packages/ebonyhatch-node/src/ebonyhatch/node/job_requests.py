"""Callers' submissions, questions and cancellations of jobs."""

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
"""Jobs that a cell holds."""

PAYLOADS_LIMIT_BYTES = 50_000_000
"""Bytes of the payloads of a cell's jobs that have not ended."""

WRITE_TIMEOUT_S = 5.0
"""Longest wait of a caller for the journal, seconds."""

ReplyOutcome = defer.Deferred[messages.JobReply]


class JobRequests:
    """Answers callers; a job is accepted or cancelled once that is durable."""

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
        """Accept a job; one that is known already is shown as it is."""
        row = self._jobs.get(job.job_id)
        if row is not None:
            return defer.succeed(_shown(row))
        if not self._could_ever_hold(job.demand):
            reason = "no worker that is known is large enough for the job's demand"
            return defer.succeed(messages.JobReply(status=422, reason=reason))
        if self._full():
            return defer.succeed(messages.JobReply(status=503, reason="the cell's queue is full"))
        written = self._journal.append(journal_entries.JobSubmitted(job=job), droppable=True)
        return self._reply(written, lambda: self._accept(job.job_id))

    def show(self, job_id: str) -> messages.JobReply:
        """Show a job."""
        row = self._jobs.get(job_id)
        if row is None:
            return messages.JobReply(status=404, reason="no such job")
        return _shown(row)

    def explain(self, job_id: str) -> str:
        """Say in a sentence what became of a job; empty when it is not known."""
        row = self._jobs.get(job_id)
        if row is None:
            return ""
        why = f": {row.reason}" if row.reason else ""
        return f"{job_id} is {row.state} after {row.attempts} attempts{why}"

    def cancel(self, job_id: str) -> ReplyOutcome:
        """Cancel a job; one that has ended stays as it is."""
        row = self._jobs.get(job_id)
        if row is None or row.state in job_machine.ENDED:
            return defer.succeed(self.show(job_id))
        if row.state is job_machine.JobState.PASSED:
            return defer.succeed(_shown(row))
        if row.state is job_machine.JobState.OFFERED:
            return defer.succeed(_refusal("job-moving", commands.Outcome.NOT_RUN))
        written = self._journal.append(journal_entries.JobCancelled(job_id=job_id), droppable=True)
        return self._reply(written, lambda: self._cancelled(row))

    def _could_ever_hold(self, demand: resources.Resources) -> bool:
        here = self._workers.could_ever_hold(demand)
        return here or self._remote_cells.could_hold(demand=demand)

    def _full(self) -> bool:
        held = sum(self._jobs.counts.values())
        return held >= JOBS_LIMIT or self._jobs.payload_bytes >= PAYLOADS_LIMIT_BYTES

    def _accept(self, job_id: str) -> messages.JobReply:
        row = self._jobs.get(job_id)
        if row is not None and row.state == job_machine.JobState.QUEUED and not row.attempts:
            self._emit(task_entries.submitted(row))
        return self.show(job_id)

    def _cancelled(self, row: job_machine.JobRow) -> messages.JobReply:
        if row.state == job_machine.JobState.CANCELLED:
            self._reports.mark_cancelled(row)
            self._emit(events.JobCancelled(job_id=row.job.job_id))
        return messages.JobReply(view=view_of(row))

    def _reply(
        self, written: journal.AppendOutcome, succeed: Callable[[], messages.JobReply]
    ) -> ReplyOutcome:
        """Reply once the entry is durable, or with what is known after a while."""
        replied: ReplyOutcome = defer.Deferred()

        def tell(reply: messages.JobReply) -> None:
            if timer.active():
                timer.cancel()
            if not replied.called:
                replied.callback(reply)

        def late() -> None:
            tell(_refusal("journal-slow", commands.Outcome.UNKNOWN))

        def done(outcome: result.Result[None, errors.EbonyhatchError]) -> None:
            if isinstance(outcome, result.Success):
                tell(succeed())
            else:
                tell(_reply_to_failure(outcome.failure()))

        timer: Any = self._clock.callLater(WRITE_TIMEOUT_S, late)
        written.addCallback(done)
        return replied


def view_of(row: job_machine.JobRow) -> messages.JobView:
    """Describe a job to callers."""
    return messages.JobView(
        job_id=row.job.job_id,
        state=row.state.value,
        attempts=row.attempts,
        evictions=row.evictions,
        progress_s=row.progress_s,
        result=row.result,
        reason=row.reason,
    )


def _shown(row: job_machine.JobRow) -> messages.JobReply:
    """Show a job, or the cell that has taken it."""
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
