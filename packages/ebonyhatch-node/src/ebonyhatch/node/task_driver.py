"""Carries out the scheduler's commands for tasks, and turns reports into entries and events."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ebonyhatch.core import commands, events, job_machine, journal_entries
from ebonyhatch.node import coroutines, journal, worker_link
from ebonyhatch.platform import workers
from returns import result
from twisted.internet import interfaces

FAILURES_LIMIT = 5
"""Failed attempts after which a job is given up."""

Emit = Callable[[events.Event], None]
Carrier = Callable[["TaskDriver", Any], None]
_CARRIERS: dict[type, Carrier] = {}


def carries(command_type: type) -> Callable[[Carrier], Carrier]:
    """Register how a type of command is carried out."""

    def register(carrier: Carrier) -> Carrier:
        _CARRIERS[command_type] = carrier
        return carrier

    return register


class TaskDriver:
    """Starts, stops and follows attempts; every step is in the journal first."""

    def __init__(
        self,
        *,
        epoch: int,
        journal_of_cell: journal.Journal,
        workers_port: workers.Workers,
        clock: interfaces.IReactorTime,
        group: coroutines.CoroutineGroup,
        links: dict[str, worker_link.WorkerLink],
        may_act: Callable[[], bool],
        emit: Emit,
        on_stale: Callable[[workers.StaleEpochError], None],
    ) -> None:
        self._epoch = epoch
        self._journal = journal_of_cell
        self._jobs = journal_of_cell.state.jobs
        self._port = workers_port
        self._clock = clock
        self._group = group
        self._links = links
        self._may_act = may_act
        self._emit = emit
        self._on_stale = on_stale
        self._announced: set[str] = set()
        self._intending: set[str] = set()
        self._sending: set[str] = set()
        self._unsettled: dict[str, float] = {}
        self._confirmed: dict[str, float] = {}
        self._ending: set[str] = set()
        self._saving: set[str] = set()
        self._stopping: set[str] = set()
        self._stops_sent: set[str] = set()

    def carry_out(self, command: commands.Command) -> bool:
        """Carry out a command; tell whether it was one for tasks."""
        carrier = _CARRIERS.get(type(command))
        if carrier is None:
            return False
        carrier(self, command)
        return True

    def announce_waiting(self) -> None:
        """Tell the scheduler of every job that waits, after a takeover."""
        for row in self._jobs.rows():
            if row.state in job_machine.WAITING:
                self._emit(_submitted(row))

    def take_report(
        self, link: worker_link.WorkerLink, report: workers.WorkerReport, sent_at: float
    ) -> None:
        """Compare what a worker runs with what the journal names."""
        listed = {task.task_id for task in report.tasks}
        for task in report.tasks:
            self._take_task(link, task)
        for row in self._jobs.attempts_on(link.worker_id):
            if row.task_id not in listed:
                self._take_absent(row, sent_at)

    def take_lost_worker(self, worker_id: str) -> None:
        """End the attempts of a worker whose leases have run out."""
        for row in self._jobs.attempts_on(worker_id):
            if row.task_id not in self._sending:
                self._lose(row)

    def _take_task(self, link: worker_link.WorkerLink, task: workers.TaskReport) -> None:
        row = self._jobs.of_task(task.task_id)
        if row is None or row.worker_id != link.worker_id:
            self._drop(link, task)
        elif task.state == workers.TaskState.RUNNING:
            self._take_running(link, row, task)
        elif task.task_id not in self._ending:
            self._ending.add(task.task_id)
            self._group.spawn(self._end(link, row, task))

    def _drop(self, link: worker_link.WorkerLink, task: workers.TaskReport) -> None:
        """Deal with an attempt that the journal doesn't name: stop it, or forget its end."""
        if task.state == workers.TaskState.RUNNING:
            self._stop(task.task_id, link)
        else:
            link.acknowledge(task.task_id)

    def _take_running(
        self, link: worker_link.WorkerLink, row: job_machine.JobRow, task: workers.TaskReport
    ) -> None:
        if task.task_id in self._sending:
            return
        if task.task_id not in self._announced:
            self._adopt(row, task)
        if row.state == job_machine.JobState.STARTING and task.task_id not in self._confirmed:
            self._confirm(row)
        if task.checkpoint and task.progress_s > row.progress_s:
            self._save(row, checkpoint=task.checkpoint, progress_s=task.progress_s)
        if task.task_id in self._stopping:
            self._stop(task.task_id, link)

    def _adopt(self, row: job_machine.JobRow, task: workers.TaskReport) -> None:
        self._announced.add(task.task_id)
        self._emit(
            events.TaskAdopted(
                task_id=task.task_id,
                job=row.job,
                worker_id=row.worker_id,
                attempts=row.attempts,
                evictions=row.evictions,
                progress_s=row.progress_s,
                started_at=self._clock.seconds() - task.run_s,
            )
        )

    def _confirm(self, row: job_machine.JobRow) -> None:
        task_id = row.task_id
        self._unsettled.pop(task_id, None)
        self._confirmed[task_id] = self._clock.seconds()
        self._emit(events.TaskStarted(task_id=task_id))
        self._journal.append(
            journal_entries.AttemptStarted(job_id=row.job.job_id, attempt=row.attempts)
        )

    def _take_absent(self, row: job_machine.JobRow, sent_at: float) -> None:
        """Settle an attempt that the journal names and its worker doesn't know."""
        task_id = row.task_id
        if task_id in self._sending or task_id in self._ending:
            return
        if self._unsettled.get(task_id, float("-inf")) > sent_at:
            return
        if self._confirmed.get(task_id, float("-inf")) < sent_at:
            self._lose(row)

    def _lose(self, row: job_machine.JobRow) -> None:
        if row.task_id in self._ending:
            return
        self._ending.add(row.task_id)
        entry = journal_entries.AttemptLost(job_id=row.job.job_id, attempt=row.attempts)
        self._group.spawn(self._requeue(row, entry, events.TaskLost(task_id=row.task_id)))

    async def _end(
        self, link: worker_link.WorkerLink, row: job_machine.JobRow, task: workers.TaskReport
    ) -> None:
        """Journal the end of an attempt; only then may the worker forget it."""
        entry = _entry_of_end(row, task)
        if isinstance(entry, journal_entries.JobFinished | journal_entries.JobFailed):
            ended = await self._journal.append(entry)
            if isinstance(ended, result.Success):
                self._tell_end(task, entry)
        else:
            await self._requeue(row, entry, _event_of_end(task))
        self._ending.discard(task.task_id)
        if self._jobs.of_task(task.task_id) is None:
            link.acknowledge(task.task_id)

    def _tell_end(self, task: workers.TaskReport, entry: journal_entries.Entry) -> None:
        if task.task_id not in self._announced:
            return
        self._emit(_event_of_end(task))
        if isinstance(entry, journal_entries.JobFailed):
            self._emit(events.JobCancelled(job_id=task.job_id))
        self._forget(task.task_id)

    async def _requeue(
        self, row: job_machine.JobRow, entry: journal_entries.AnyEntry, event: events.Event
    ) -> None:
        task_id = row.task_id
        written = await self._journal.append(entry)
        if isinstance(written, result.Success):
            if task_id in self._announced:
                self._emit(event)
            elif row.state == job_machine.JobState.QUEUED:
                self._emit(_submitted(row))
        self._forget(task_id)

    def _forget(self, task_id: str) -> None:
        self._announced.discard(task_id)
        self._unsettled.pop(task_id, None)
        self._confirmed.pop(task_id, None)
        self._ending.discard(task_id)
        self._stopping.discard(task_id)

    def _save(self, row: job_machine.JobRow, *, checkpoint: str, progress_s: float) -> None:
        if row.task_id not in self._saving:
            self._saving.add(row.task_id)
            self._group.spawn(self._journal_checkpoint(row, checkpoint, progress_s))

    async def _journal_checkpoint(
        self, row: job_machine.JobRow, checkpoint: str, progress_s: float
    ) -> None:
        task_id = row.task_id
        entry = journal_entries.AttemptCheckpointed(
            job_id=row.job.job_id,
            attempt=row.attempts,
            checkpoint=checkpoint,
            progress_s=progress_s,
        )
        written = await self._journal.append(entry)
        self._saving.discard(task_id)
        if isinstance(written, result.Success) and self._jobs.of_task(task_id) is not None:
            self._emit(events.TaskCheckpointed(task_id=task_id, progress_s=progress_s))

    def _stop(self, task_id: str, link: worker_link.WorkerLink) -> None:
        if task_id not in self._stops_sent and self._may_act():
            self._stops_sent.add(task_id)
            self._group.spawn(self._send_stop(task_id, link))

    async def _send_stop(self, task_id: str, link: worker_link.WorkerLink) -> None:
        outcome = await self._port.stop_task(
            address=link.address, epoch=self._epoch, task_id=task_id
        )
        self._stops_sent.discard(task_id)
        if isinstance(outcome, result.Success):
            link.poke()
        else:
            self._check_stale(outcome.failure())

    def _check_stale(self, error: workers.WorkerError) -> None:
        if isinstance(error, workers.StaleEpochError):
            self._on_stale(error)

    @carries(commands.StartTask)
    def _start(self, command: commands.StartTask) -> None:
        row = self._jobs.get(command.job_id)
        waiting = row is not None and row.state in job_machine.WAITING
        if row is None or not waiting or command.job_id in self._intending:
            self._emit(events.TaskStartFailed(task_id=command.task_id, reason="not-waiting"))
            return
        self._intending.add(command.job_id)
        self._announced.add(command.task_id)
        self._sending.add(command.task_id)
        self._group.spawn(self._intend(command))

    async def _intend(self, command: commands.StartTask) -> None:
        entry = journal_entries.AttemptIntended(
            job_id=command.job_id, attempt=command.attempt, worker_id=command.worker_id
        )
        intended = await self._journal.append(entry)
        self._intending.discard(command.job_id)
        row = self._jobs.of_task(command.task_id)
        if isinstance(intended, result.Success) and row is not None:
            await self._send_start(row)
        self._sending.discard(command.task_id)

    async def _send_start(self, row: job_machine.JobRow) -> None:
        link = self._links.get(row.worker_id)
        wanted = row.task_id not in self._stopping and self._may_act()
        if link is None or not link.claimed or link.leaving or not wanted:
            await self._withdraw(row, reason="worker-leaving" if wanted else "stopped")
            return
        task_id = row.task_id
        outcome = await self._port.start_task(
            address=link.address, epoch=self._epoch, order=_order(row)
        )
        link.note_start()
        if isinstance(outcome, result.Success):
            if self._jobs.of_task(task_id) is not None:
                self._confirm(row)
            return
        error = outcome.failure()
        if isinstance(error, workers.NotRunError):
            if "leaving" in error.reason:
                link.note_refusal()
            await self._withdraw(row, reason=error.reason)
        elif isinstance(error, workers.OutcomeUnknownError):
            self._unsettled[task_id] = self._clock.seconds() + worker_link.TASK_LEASE_S
        self._check_stale(error)

    async def _withdraw(self, row: job_machine.JobRow, *, reason: str) -> None:
        entry = journal_entries.AttemptWithdrawn(
            job_id=row.job.job_id, attempt=row.attempts, reason=reason
        )
        event = events.TaskStartFailed(task_id=row.task_id, reason=reason)
        await self._requeue(row, entry, event)

    @carries(commands.StopTask)
    def _stop_for_good(self, command: commands.StopTask) -> None:
        link = self._links.get(command.worker_id)
        self._stopping.add(command.task_id)
        if link is not None:
            self._stop(command.task_id, link)

    @carries(commands.EvictTask)
    def _evict(self, command: commands.EvictTask) -> None:
        link = self._links.get(command.worker_id)
        if command.task_id in self._stopping or link is None:
            return
        self._stopping.add(command.task_id)
        if command.checkpoint and command.task_id not in self._sending:
            self._group.spawn(self._checkpoint_and_stop(command.task_id, link))
        else:
            self._stop(command.task_id, link)

    async def _checkpoint_and_stop(self, task_id: str, link: worker_link.WorkerLink) -> None:
        await self._send_checkpoint(task_id, link)
        self._stop(task_id, link)

    async def _send_checkpoint(self, task_id: str, link: worker_link.WorkerLink) -> None:
        outcome = await self._port.checkpoint(
            address=link.address, epoch=self._epoch, task_id=task_id
        )
        if not isinstance(outcome, result.Success):
            self._check_stale(outcome.failure())
            return
        saved = outcome.unwrap()
        row = self._jobs.of_task(task_id)
        if row is not None:
            self._save(row, checkpoint=saved.checkpoint, progress_s=saved.progress_s)

    @carries(commands.CheckpointTask)
    def _checkpoint(self, command: commands.CheckpointTask) -> None:
        link = self._links.get(command.worker_id)
        if link is not None:
            self._group.spawn(self._send_checkpoint(command.task_id, link))

    @carries(commands.ThrottleTask)
    def _throttle(self, command: commands.ThrottleTask) -> None:
        link = self._links.get(command.worker_id)
        if link is not None:
            self._group.spawn(self._send_throttle(command, link))

    async def _send_throttle(
        self, command: commands.ThrottleTask, link: worker_link.WorkerLink
    ) -> None:
        outcome = await self._port.throttle(
            address=link.address,
            epoch=self._epoch,
            task_id=command.task_id,
            share=command.share,
        )
        if not isinstance(outcome, result.Success):
            self._check_stale(outcome.failure())

    @carries(commands.ParkJob)
    def _park(self, command: commands.ParkJob) -> None:
        self._journal.append(
            journal_entries.JobParked(job_id=command.job_id, reason=command.reason)
        )


def _submitted(row: job_machine.JobRow) -> events.JobSubmitted:
    return events.JobSubmitted(
        job=row.job,
        attempts=row.attempts,
        evictions=row.evictions,
        progress_s=row.progress_s,
    )


def _order(row: job_machine.JobRow) -> workers.TaskOrder:
    return workers.TaskOrder(
        task_id=row.task_id,
        job_id=row.job.job_id,
        work_class=row.job.work_class,
        demand=row.job.demand,
        lease_s=worker_link.TASK_LEASE_S,
        payload=row.job.payload,
        checkpoint=row.checkpoint,
    )


def _entry_of_end(
    row: job_machine.JobRow, task: workers.TaskReport
) -> journal_entries.AnyEntry:
    job_id = row.job.job_id
    if task.state == workers.TaskState.FINISHED:
        return journal_entries.JobFinished(
            job_id=job_id, attempt=row.attempts, result=task.result
        )
    if task.state == workers.TaskState.STOPPED:
        return journal_entries.AttemptEvicted(
            job_id=job_id,
            attempt=row.attempts,
            checkpoint=task.checkpoint,
            progress_s=task.progress_s,
        )
    kind = journal_entries.AttemptFailed
    if row.failures + 1 >= FAILURES_LIMIT:
        return journal_entries.JobFailed(
            job_id=job_id, attempt=row.attempts, reason=task.reason
        )
    return kind(job_id=job_id, attempt=row.attempts, reason=task.reason)


def _event_of_end(task: workers.TaskReport) -> events.Event:
    if task.state == workers.TaskState.FINISHED:
        return events.TaskFinished(task_id=task.task_id, run_s=task.run_s)
    if task.state == workers.TaskState.STOPPED:
        return events.TaskStopped(task_id=task.task_id, progress_s=task.progress_s)
    return events.TaskFailed(task_id=task.task_id, reason=task.reason, run_s=task.run_s)
