"""Reconciles the tasks that workers report with the attempts in the journal.

An attempt is one try to run a job on a worker; the worker calls it a task.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ebonyhatch.core import events, job_machine, journal_entries
from ebonyhatch.node import attempts, coroutines, journal, task_entries, worker_link
from ebonyhatch.ports import timing, workers
from returns import result
from twisted.internet import defer

Emit = Callable[[events.Event], None]
Stop = Callable[[attempts.Attempt, worker_link.WorkerLink], None]


class TaskReports:
    """Turns reports into journal entries, and durable entries into events."""

    def __init__(
        self,
        *,
        journal_of_cell: journal.Journal,
        table: attempts.AttemptTable,
        clock: timing.Clock,
        group: coroutines.CoroutineGroup,
        emit: Emit,
        stop: Stop,
    ) -> None:
        self._journal = journal_of_cell
        self._jobs = journal_of_cell.state.jobs
        self._table = table
        self._clock = clock
        self._group = group
        self._emit = emit
        self._stop = stop

    def handle_report(
        self, link: worker_link.WorkerLink, report: workers.WorkerReport, sent_at: float
    ) -> None:
        """Applies the report that was requested at `sent_at`."""
        listed = {task.task_id for task in report.tasks}
        for task in report.tasks:
            self._handle_task(link, task)
        for row in self._jobs.attempts_on(link.worker_id):
            if row.task_id not in listed and self._attempt(row).absent(sent_at=sent_at):
                self._record_lost(row)
        for attempt in self._table.cancelled_on(link.worker_id):
            if attempt.task_id not in listed and attempt.absent(sent_at=sent_at):
                self._announce_end(
                    attempt, events.TaskStopped(task_id=attempt.task_id, progress_s=0)
                )

    def handle_lost_worker(self, worker_id: str) -> defer.Deferred[Any]:
        """Ends the attempts of a worker whose leases have run out; fires once that is durable."""
        waiting = [
            self._record_lost(row)
            for row in self._jobs.attempts_on(worker_id)
            if not self._attempt(row).sending and not self._attempt(row).ending
        ]
        for attempt in self._table.cancelled_on(worker_id):
            self._announce_end(attempt, events.TaskLost(task_id=attempt.task_id))
        return defer.DeferredList(waiting)

    def mark_cancelled(self, row: job_machine.JobRow) -> None:
        """Records that an attempt's job was cancelled, so that the attempt is stopped."""
        attempt = self._table.get(row.task_id)
        if attempt is not None:
            attempt.cancelled = True
            attempt.stopping = True

    def confirm(self, row: job_machine.JobRow) -> None:
        """Records that an attempt runs."""
        attempt = self._attempt(row)
        attempt.uncertain_until = attempts.NEVER
        attempt.confirmed_at = self._clock.seconds()
        self._emit(events.TaskStarted(task_id=row.task_id))
        self._journal.append(
            journal_entries.AttemptStarted(job_id=row.job.job_id, attempt=row.attempts)
        )

    def save(self, row: job_machine.JobRow, *, checkpoint: str, progress_s: float) -> None:
        """Journals a newer checkpoint of an attempt."""
        attempt = self._attempt(row)
        if not attempt.saving and progress_s > row.progress_s:
            attempt.saving = True
            self._group.spawn(self._journal_checkpoint(row, checkpoint, progress_s))

    def withdraw(
        self, row: job_machine.JobRow, *, reason: str, event: events.Event | None = None
    ) -> defer.Deferred[None]:
        """Ends an attempt that certainly never ran."""
        entry = journal_entries.AttemptWithdrawn(
            job_id=row.job.job_id, attempt=row.attempts, reason=reason
        )
        failed = events.TaskStartFailed(task_id=row.task_id, reason=reason)
        return self._requeue(row, entry, event or failed)

    def _attempt(self, row: job_machine.JobRow) -> attempts.Attempt:
        return self._table.find_or_add(row.task_id, row.worker_id)

    def _handle_task(self, link: worker_link.WorkerLink, task: workers.TaskReport) -> None:
        row = self._jobs.of_task(task.task_id)
        if row is None and task.state == workers.TaskState.FINISHED:
            row = self._jobs.waiting_after(task.task_id)
        if row is None or row.worker_id != link.worker_id:
            self._handle_unknown(link, task)
            return
        attempt = self._attempt(row)
        if attempt.sending or attempt.ending:
            return
        if task.state == workers.TaskState.RUNNING:
            self._handle_running(link, row, task)
        else:
            attempt.ending = True
            self._end(link, row, task)

    def _handle_unknown(self, link: worker_link.WorkerLink, task: workers.TaskReport) -> None:
        """Stops an attempt that the journal doesn't name, or acknowledges that it has ended."""
        if task.state == workers.TaskState.RUNNING:
            unknown = self._table.find_or_add(task.task_id, link.worker_id)
            unknown.cancelled = True
            self._stop(unknown, link)
            return
        link.acknowledge(task.task_id)
        attempt = self._table.get(task.task_id)
        if attempt is not None and not attempt.ending:
            self._announce_end(attempt, task_entries.event_of_end(task))

    def _announce_end(self, attempt: attempts.Attempt, event: events.Event) -> None:
        if attempt.announced:
            self._emit(event)
        self._table.remove(attempt.task_id)

    def _handle_running(
        self, link: worker_link.WorkerLink, row: job_machine.JobRow, task: workers.TaskReport
    ) -> None:
        attempt = self._attempt(row)
        if not attempt.announced:
            self._adopt(row, attempt, task)
        unconfirmed = attempt.confirmed_at == attempts.NEVER
        if row.state == job_machine.JobState.STARTING and unconfirmed:
            self.confirm(row)
        if task.checkpoint:
            self.save(row, checkpoint=task.checkpoint, progress_s=task.progress_s)
        if attempt.stopping:
            self._stop(attempt, link)

    def _adopt(
        self, row: job_machine.JobRow, attempt: attempts.Attempt, task: workers.TaskReport
    ) -> None:
        attempt.announced = True
        self._emit(
            events.TaskAdopted(
                task_id=row.task_id,
                job=row.job,
                worker_id=row.worker_id,
                attempts=row.attempts,
                evictions=row.evictions,
                progress_s=row.progress_s,
                started_at=self._clock.seconds() - task.run_s,
            )
        )

    def _record_lost(self, row: job_machine.JobRow) -> defer.Deferred[None]:
        self._attempt(row).ending = True
        entry = journal_entries.AttemptLost(job_id=row.job.job_id, attempt=row.attempts)
        return self._requeue(row, entry, events.TaskLost(task_id=row.task_id))

    def _end(
        self, link: worker_link.WorkerLink, row: job_machine.JobRow, task: workers.TaskReport
    ) -> None:
        """Journals the end of an attempt; only then may the worker discard it."""
        entry = task_entries.entry_of_end(row, task)
        written = self._requeue(row, entry, task_entries.event_of_end(task))
        written.addCallback(lambda _: self._acknowledge(link, task.task_id))

    def _acknowledge(self, link: worker_link.WorkerLink, task_id: str) -> None:
        if self._jobs.of_task(task_id) is None:
            link.acknowledge(task_id)

    def _requeue(
        self, row: job_machine.JobRow, entry: journal_entries.AnyEntry, event: events.Event
    ) -> defer.Deferred[None]:
        """Journals the end of an attempt, then notifies the scheduler."""
        task_id = row.task_id
        written = self._journal.append(entry)
        return written.addCallback(self._announce_requeued, row, task_id, event)

    def _announce_requeued(
        self,
        written: result.Result[None, object],
        row: job_machine.JobRow,
        task_id: str,
        event: events.Event,
    ) -> None:
        attempt = self._table.get(task_id)
        if attempt is None or not isinstance(written, result.Success):
            return
        self._announce_end(attempt, event)
        if row.state in job_machine.ENDED:
            self._emit(events.JobCancelled(job_id=row.job.job_id))
        if row.state == job_machine.JobState.QUEUED and not _requeues(event, attempt):
            self._emit(task_entries.submitted(row))

    async def _journal_checkpoint(
        self, row: job_machine.JobRow, checkpoint: str, progress_s: float
    ) -> None:
        task_id = row.task_id
        written = await self._journal.append(
            journal_entries.AttemptCheckpointed(
                job_id=row.job.job_id,
                attempt=row.attempts,
                checkpoint=checkpoint,
                progress_s=progress_s,
            )
        )
        attempt = self._table.get(task_id)
        if attempt is None:
            return
        attempt.saving = False
        if isinstance(written, result.Success) and self._jobs.of_task(task_id) is not None:
            self._emit(events.TaskCheckpointed(task_id=task_id, progress_s=progress_s))


def _requeues(event: events.Event, attempt: attempts.Attempt) -> bool:
    """Returns whether the scheduler itself queues the job again on this event."""
    return attempt.announced and not isinstance(event, events.TaskFailed)
