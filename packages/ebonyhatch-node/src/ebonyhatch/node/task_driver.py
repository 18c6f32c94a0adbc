"""Executes the scheduler's commands for tasks; the intent of a start is made durable first."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ebonyhatch.core import commands, events, job_machine, journal_entries
from ebonyhatch.node import attempts, coroutines, journal, task_entries, task_reports, worker_link
from ebonyhatch.ports import timing, workers
from returns import result

LEAVING_REASON = "leaving"
"""Word in a worker's refusal which means that it accepts no new work."""

REFUSED_START_DELAY_S = 0.1
"""Delay before the scheduler is notified that a start was not allowed, seconds."""

Executor = Callable[["TaskDriver", Any], None]
_EXECUTORS: dict[type, Executor] = {}


def executes(command_type: type) -> Callable[[Executor], Executor]:
    """Registers the method that executes a type of command."""

    def register(executor: Executor) -> Executor:
        _EXECUTORS[command_type] = executor
        return executor

    return register


class TaskDriver:
    """Starts, checkpoints, throttles and stops attempts."""

    def __init__(
        self,
        *,
        epoch: int,
        journal_of_cell: journal.Journal,
        workers_port: workers.Workers,
        clock: timing.Clock,
        group: coroutines.CoroutineGroup,
        links: dict[str, worker_link.WorkerLink],
        may_act: Callable[[], bool],
        emit: task_reports.Emit,
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
        self._table = attempts.AttemptTable()
        self._intending: set[str] = set()
        self._reports = task_reports.TaskReports(
            journal_of_cell=journal_of_cell,
            table=self._table,
            clock=clock,
            group=group,
            emit=emit,
            stop=self._stop,
        )

    @property
    def reports(self) -> task_reports.TaskReports:
        """Component that reconciles the workers' reports with the journal."""
        return self._reports

    def execute(self, command: commands.Command) -> bool:
        """Executes a command; returns whether it was one for tasks."""
        executor = _EXECUTORS.get(type(command))
        if executor is None:
            return False
        executor(self, command)
        return True

    def announce_waiting(self) -> None:
        """Reports every waiting job to the scheduler after a takeover."""
        for row in self._jobs.rows():
            if row.state in job_machine.WAITING:
                self._emit(task_entries.submitted(row))

    @executes(commands.StartTask)
    def _start(self, command: commands.StartTask) -> None:
        row = self._jobs.get(command.job_id)
        waiting = row is not None and row.state in job_machine.WAITING
        if not waiting or command.job_id in self._intending:
            self._group.spawn(self._refuse_start(command))
            return
        self._intending.add(command.job_id)
        attempt = self._table.find_or_add(command.task_id, command.worker_id)
        attempt.announced = True
        attempt.sending = True
        self._group.spawn(self._intend(command, attempt))

    async def _refuse_start(self, command: commands.StartTask) -> None:
        """Refuses a start after a delay, so that a scheduler which retries doesn't spin."""
        await self._group.sleep(REFUSED_START_DELAY_S)
        self._emit(events.TaskStartFailed(task_id=command.task_id, reason="not-waiting"))

    async def _intend(self, command: commands.StartTask, attempt: attempts.Attempt) -> None:
        intended = await self._journal.append(
            journal_entries.AttemptIntended(
                job_id=command.job_id, attempt=command.attempt, worker_id=command.worker_id
            )
        )
        self._intending.discard(command.job_id)
        if not isinstance(intended, result.Success):
            return
        row = self._jobs.of_task(command.task_id)
        if row is not None:
            await self._send_start(row, attempt)
            attempt.sending = False
            return
        self._table.remove(command.task_id)
        self._emit(events.TaskStartFailed(task_id=command.task_id, reason="not-waiting"))

    async def _send_start(self, row: job_machine.JobRow, attempt: attempts.Attempt) -> None:
        link = self._links.get(row.worker_id)
        if attempt.stopping:
            stopped = events.TaskStopped(task_id=row.task_id, progress_s=row.progress_s)
            await self._reports.withdraw(row, reason="stopped", event=stopped)
            return
        if not self._may_act():
            await self._reports.withdraw(row, reason="lease-lapsed")
            return
        if link is None or not link.accepts_work:
            await self._reports.withdraw(row, reason="worker-leaving")
            return
        outcome = await self._port.start_task(
            address=link.address, epoch=self._epoch, order=_order(row)
        )
        link.record_start()
        if isinstance(outcome, result.Success):
            self._handle_started(row, attempt)
            return
        error = outcome.failure()
        self._check_stale(error)
        if isinstance(error, workers.NotRunError):
            await self._handle_refused(row, attempt, link, error)
        else:
            attempt.uncertain_until = self._clock.seconds() + worker_link.TASK_LEASE_S

    def _handle_started(self, row: job_machine.JobRow, attempt: attempts.Attempt) -> None:
        if self._jobs.of_task(attempt.task_id) is None:
            attempt.confirmed_at = self._clock.seconds()
        else:
            self._reports.confirm(row)

    async def _handle_refused(
        self,
        row: job_machine.JobRow,
        attempt: attempts.Attempt,
        link: worker_link.WorkerLink,
        error: workers.NotRunError,
    ) -> None:
        if LEAVING_REASON in error.reason:
            link.record_refusal()
        if self._jobs.of_task(attempt.task_id) is not None:
            await self._reports.withdraw(row, reason=error.reason)

    def _stop(self, attempt: attempts.Attempt, link: worker_link.WorkerLink) -> None:
        if not attempt.stop_sent and self._may_act():
            attempt.stop_sent = True
            self._group.spawn(self._send_stop(attempt, link))

    async def _send_stop(self, attempt: attempts.Attempt, link: worker_link.WorkerLink) -> None:
        outcome = await self._port.stop_task(
            address=link.address, epoch=self._epoch, task_id=attempt.task_id
        )
        attempt.stop_sent = False
        if isinstance(outcome, result.Success):
            link.renew_now()
        else:
            self._check_stale(outcome.failure())

    @executes(commands.StopTask)
    def _stop_task(self, command: commands.StopTask) -> None:
        self._stop_until_unlisted(command.task_id, command.worker_id)

    @executes(commands.EvictTask)
    def _evict(self, command: commands.EvictTask) -> None:
        link = self._links.get(command.worker_id)
        attempt = self._table.get(command.task_id)
        if link is None or attempt is None or attempt.stopping:
            return
        if command.checkpoint and not attempt.sending:
            attempt.stopping = True
            self._group.spawn(self._checkpoint_and_stop(attempt, link))
        else:
            self._stop_until_unlisted(command.task_id, command.worker_id)

    def _stop_until_unlisted(self, task_id: str, worker_id: str) -> None:
        """Stops an attempt now, and again after each report that still lists it."""
        link = self._links.get(worker_id)
        attempt = self._table.get(task_id)
        if attempt is None:
            return
        attempt.stopping = True
        if link is not None and not attempt.sending:
            self._stop(attempt, link)

    async def _checkpoint_and_stop(
        self, attempt: attempts.Attempt, link: worker_link.WorkerLink
    ) -> None:
        await self._send_checkpoint(attempt.task_id, link)
        self._stop(attempt, link)

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
            self._reports.save(row, checkpoint=saved.checkpoint, progress_s=saved.progress_s)

    @executes(commands.CheckpointTask)
    def _checkpoint(self, command: commands.CheckpointTask) -> None:
        link = self._links.get(command.worker_id)
        if link is not None:
            self._group.spawn(self._send_checkpoint(command.task_id, link))

    @executes(commands.ThrottleTask)
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

    @executes(commands.ParkJob)
    def _park(self, command: commands.ParkJob) -> None:
        self._journal.append(
            journal_entries.JobParked(job_id=command.job_id, reason=command.reason)
        )

    def _check_stale(self, error: workers.WorkerError) -> None:
        if isinstance(error, workers.StaleEpochError):
            self._on_stale(error)


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
