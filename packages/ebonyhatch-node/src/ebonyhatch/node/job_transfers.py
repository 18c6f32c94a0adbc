"""Passes jobs for which a cell has no capacity to another cell, without loss or duplication.

Offer, acceptance and release are each journaled: the offer keeps the job from starting here,
the other cell accepts a job once by its id, and keeps it until it is notified that the pass is
durable here. Only jobs that were never started are passed, and each at most once.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from ebonyhatch.core import entities, events, job_machine, journal_entries, resources
from ebonyhatch.node import (
    cell_workers,
    coroutines,
    journal,
    messages,
    remote_cells,
    task_entries,
    task_reports,
)
from ebonyhatch.ports import timing
from returns import result

POLL_INTERVAL_S = 1.0
"""Interval at which waiting and moving jobs are checked, seconds."""

OFFER_DELAY_S = 5.0
"""Time for which a job waits in a cell without free slots before it is offered, seconds."""

MAX_OPEN_OFFERS = 32
"""Maximum number of jobs that are offered, or passed and not settled, at one time."""


class JobTransfers:
    """Offers jobs to other cells, and accepts those that other cells offer."""

    def __init__(
        self,
        *,
        cell: str,
        journal_of_cell: journal.Journal,
        workers_of_cell: cell_workers.CellWorkers,
        clock: timing.Clock,
        group: coroutines.CoroutineGroup,
        emit: task_reports.Emit,
        remote_cells: remote_cells.RemoteCells,
        free_slots: Callable[[], int],
    ) -> None:
        self._cell = cell
        self._journal = journal_of_cell
        self._jobs = journal_of_cell.state.jobs
        self._workers = workers_of_cell
        self._clock = clock
        self._group = group
        self._emit = emit
        self._remote_cells = remote_cells
        self._free_slots = free_slots
        self._waiting_since: dict[str, float] = {}
        self._in_progress: set[str] = set()
        self._refusable: set[str] = set()

    def start(self) -> None:
        """Starts to offer jobs, and completes the transfers that an older owner started."""
        self._group.spawn(self._run())

    async def accept(self, call: messages.TransferCall) -> messages.TransferReply:
        """Accepts a job of another cell; one that is known already counts as accepted."""
        job = msgspec.msgpack.decode(call.job, type=entities.Job)
        if self._jobs.get(job.job_id) is not None:
            return messages.TransferReply(done=True)
        if not call.must and not self._has_worker_for(job.demand):
            return messages.TransferReply(done=False, reason="no worker is large enough")
        entry = journal_entries.JobSubmitted(job=job, origin=call.origin)
        written = await self._journal.append(entry, droppable=True)
        if not isinstance(written, result.Success):
            certain = not isinstance(written.failure(), journal.LostWriteError)
            return messages.TransferReply(
                done=False, certain=certain, reason=str(written.failure())
            )
        row = self._jobs.get(job.job_id)
        if row is not None and row.state is job_machine.JobState.QUEUED and not row.attempts:
            self._emit(task_entries.submitted(row))
        return messages.TransferReply(done=True)

    def _has_worker_for(self, demand: resources.Resources) -> bool:
        return bool(self._workers.count) and self._workers.could_ever_hold(demand)

    async def release(self, call: messages.ReleaseCall) -> messages.TransferReply:
        """Records that the cell which passed a job here won't ask about it again."""
        row = self._jobs.get(call.job_id)
        if row is None or not row.origin:
            return messages.TransferReply(done=True)
        entry = journal_entries.OriginReleased(job_id=call.job_id)
        written = await self._journal.append(entry, droppable=True)
        return messages.TransferReply(done=isinstance(written, result.Success))

    async def _run(self) -> None:
        while True:
            await self._group.sleep(POLL_INTERVAL_S)
            for row in self._jobs.moving():
                self._continue_transfer(row)
            self._offer_some()

    def _continue_transfer(self, row: job_machine.JobRow) -> None:
        job_id = row.job.job_id
        if job_id in self._in_progress:
            return
        self._in_progress.add(job_id)
        offered = row.state is job_machine.JobState.OFFERED
        self._group.spawn(self._request_acceptance(row) if offered else self._complete_pass(row))

    def _offer_some(self) -> None:
        waiting = self._jobs.waiting()
        waiting_ids = {row.job.job_id for row in waiting}
        self._waiting_since = {
            name: at for name, at in self._waiting_since.items() if name in waiting_ids
        }
        remaining = MAX_OPEN_OFFERS - len(self._jobs.moving())
        for row in waiting:
            if remaining <= 0:
                return
            recipient = self._choose_recipient(row) if self._may_be_offered(row) else ""
            if recipient:
                remaining -= 1
                self._in_progress.add(row.job.job_id)
                self._group.spawn(self._offer(row, recipient))

    def _choose_recipient(self, row: job_machine.JobRow) -> str:
        return self._remote_cells.choose_cell(origin=self._cell, demand=row.job.demand)

    def _may_be_offered(self, row: job_machine.JobRow) -> bool:
        """Returns whether a job can't start here at present and may be offered."""
        since = self._waiting_since.setdefault(row.job.job_id, self._clock.seconds())
        if row.attempts or row.guest or row.job.job_id in self._in_progress:
            return False
        if not self._has_worker_for(row.job.demand):
            return True
        waited = self._clock.seconds() - since >= OFFER_DELAY_S
        return waited and self._free_slots() <= 0

    async def _offer(self, row: job_machine.JobRow, recipient: str) -> None:
        job_id = row.job.job_id
        entry = journal_entries.JobOffered(job_id=job_id, cell=recipient)
        written = await self._journal.append(entry, droppable=True)
        if isinstance(written, result.Success) and row.state is job_machine.JobState.OFFERED:
            self._refusable.add(job_id)
            self._emit(events.JobCancelled(job_id=job_id))
            await self._request_acceptance(row)
        self._in_progress.discard(job_id)

    async def _request_acceptance(self, row: job_machine.JobRow) -> None:
        """Asks the other cell to accept a job, and journals the pass or the withdrawal.

        Only the first call of an offer may be refused for lack of a large enough worker, and only
        its refusal withdraws the offer. Later calls are repeated until one is accepted: an earlier
        call whose outcome is unknown, also one of an older owner, may still arrive late, so a later
        refusal doesn't prove that the job was not accepted.
        """
        job_id = row.job.job_id
        refusable = job_id in self._refusable
        self._refusable.discard(job_id)
        call = messages.TransferCall(
            cell=row.cell,
            origin=self._cell,
            job=msgspec.msgpack.encode(row.job),
            must=not refusable,
        )
        reply = await self._remote_cells.call(message=call)
        if reply.done:
            await self._journal.append(journal_entries.JobPassed(job_id=job_id))
            await self._complete_pass(row)
        elif reply.certain and refusable:
            await self._journal.append(journal_entries.OfferWithdrawn(job_id=job_id))
            if row.state is job_machine.JobState.QUEUED:
                self._waiting_since[job_id] = self._clock.seconds()
                self._emit(task_entries.submitted(row))
        self._in_progress.discard(job_id)

    async def _complete_pass(self, row: job_machine.JobRow) -> None:
        job_id = row.job.job_id
        if row.state is job_machine.JobState.PASSED:
            call = messages.ReleaseCall(cell=row.cell, job_id=job_id)
            reply = await self._remote_cells.call(message=call)
            if reply.done:
                await self._journal.append(journal_entries.PassSettled(job_id=job_id))
        self._in_progress.discard(job_id)
