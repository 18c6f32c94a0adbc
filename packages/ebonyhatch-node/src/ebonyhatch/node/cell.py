"""One cell under one owner: takeover, scheduling and hand-over.

A cell is a group of workers with one scheduler and one journal. The entry (an instance that runs
the daemon) that owns it acts under an epoch, a number that grows with each change of owner.
"""

from __future__ import annotations

import http
import random
from collections.abc import Callable, Sequence
from typing import Any, Protocol

import msgspec
from ebonyhatch.core import (
    commands,
    configuration,
    entities,
    errors,
    events,
    scheduler,
    views,
)
from ebonyhatch.node import (
    cell_status,
    cell_workers,
    coroutines,
    job_requests,
    job_transfers,
    journal,
    keyed_driver,
    messages,
    remote_cells,
    request_driver,
    snapshots,
    task_driver,
    worker_link,
)
from ebonyhatch.ports import instances, store, timing, workers
from returns import result
from twisted.internet import defer

TICK_S = 0.1
"""Maximum time between two ticks of the scheduler, seconds."""

CLOSE_TIMEOUT_S = 10.0
"""Maximum wait for requests in progress and for the journal on closing, seconds."""

CLOSE_POLL_S = 0.05
"""Interval at which requests in progress and the journal are polled on closing, seconds."""

UNFENCED_WAIT_S = worker_link.TASK_LEASE_S + worker_link.LEASE_MARGIN_S
"""Wait of a new owner for the task leases of the older one to run out, seconds.

It applies where workers don't fence, that is, don't refuse commands of older epochs.
"""

StartOutcome = defer.Deferred[result.Result[None, errors.EbonyhatchError]]


def _ignore_event(
    *, now: float, received: Sequence[events.Event], decided: Sequence[commands.Command]
) -> None:
    """Ignores the events and commands of a tick."""


class Observer(Protocol):
    """Receives the events and commands of each tick."""

    def __call__(
        self, *, now: float, received: Sequence[events.Event], decided: Sequence[commands.Command]
    ) -> None:
        """Records the events that a tick received and the commands that it decided."""


def _ignore_log_event(kind: str, fields: dict[str, Any]) -> None:
    """Ignores an event that would be logged."""


class Cell:
    """Owner of the workers, jobs and keyed requests of one cell under one epoch."""

    def __init__(
        self,
        *,
        name: str,
        epoch: int,
        entry_id: str,
        store: store.Store,
        workers_port: workers.Workers,
        scheduler: scheduler.Scheduler,
        clock: timing.Clock,
        may_act: Callable[[], bool],
        on_event: Callable[[str, dict[str, Any]], None] = _ignore_log_event,
        observe: Observer = _ignore_event,
        others: remote_cells.RemoteCells = remote_cells.NO_REMOTE_CELLS,
        seed: int,
    ) -> None:
        self._name = name
        self._epoch = epoch
        self._port = workers_port
        self._scheduler = scheduler
        self._clock = clock
        self._lease_valid = may_act
        self._on_event = on_event
        self._observe = observe
        self._phase = cell_status.CellPhase.NEW
        self._fault: errors.EbonyhatchError | None = None
        self._classes: dict[str, entities.WorkClass] = {}
        self._events: list[events.Event] = []
        self._requests_since_tick = 0
        self._tick_timer: Any = None
        self._tick_scheduled = False
        self._group = coroutines.CoroutineGroup(clock=clock)
        self._links: dict[str, worker_link.WorkerLink] = {}
        self._journal = journal.Journal(
            cell=name,
            epoch=epoch,
            writer=entry_id,
            store_port=store,
            clock=clock,
            seed=seed,
            on_fault=self._stop_on_error,
        )
        self._workers = cell_workers.CellWorkers(
            epoch=epoch,
            workers_port=workers_port,
            clock=clock,
            group=self._group,
            generator=random.Random(f"{seed}/{entry_id}/{name}"),
            links=self._links,
            may_act=self._may_act,
            emit=self._emit,
            on_stale=self._stop_on_error,
        )
        self._tasks = task_driver.TaskDriver(
            epoch=epoch,
            journal_of_cell=self._journal,
            workers_port=workers_port,
            clock=clock,
            group=self._group,
            links=self._links,
            may_act=self._may_act,
            emit=self._emit,
            on_stale=self._stop_on_error,
        )
        self._requests = request_driver.RequestDriver(
            epoch=epoch,
            workers_port=workers_port,
            clock=clock,
            group=self._group,
            links=self._links,
            may_act=self._may_act,
            emit=self._emit,
            room=self.room,
            on_stale=self._stop_on_error,
        )
        self._keyed = keyed_driver.KeyedDriver(
            journal_of_cell=self._journal,
            clock=clock,
            group=self._group,
            serve=self._serve,
            refusal=self._refusal,
        )
        self._jobs = job_requests.JobRequests(
            journal_of_cell=self._journal,
            workers_of_cell=self._workers,
            clock=clock,
            reports=self._tasks.reports,
            emit=self._emit,
            remote_cells=others,
        )
        self._transfers = job_transfers.JobTransfers(
            cell=name,
            journal_of_cell=self._journal,
            workers_of_cell=self._workers,
            clock=clock,
            group=self._group,
            emit=self._emit,
            remote_cells=others,
            free_slots=lambda: self.room().room.free_slots,
        )

    @property
    def name(self) -> str:
        """Name of the cell."""
        return self._name

    @property
    def epoch(self) -> int:
        """Epoch of this owner."""
        return self._epoch

    def start(self) -> StartOutcome:
        """Takes the cell over: fences older owners off, replays the journal, claims the workers."""
        self._phase = cell_status.CellPhase.TAKING_OVER
        return defer.Deferred.fromCoroutine(self._take_over())

    def close(self) -> defer.Deferred[None]:
        """Refuses new work, finishes requests in progress, writes pending entries, and stops."""
        return defer.Deferred.fromCoroutine(self._close())

    def set_workers(self, *, instances: tuple[instances.Instance, ...]) -> None:
        """Applies the list of the cell's workers."""
        if self._phase != cell_status.CellPhase.CLOSED:
            self._workers.set_listed(instances)

    def set_configuration(self, *, in_force: configuration.InForce) -> None:
        """Applies the configuration in force."""
        self._classes = {entry.name: entry for entry in in_force.classes}
        self._emit(events.ClassesChanged(classes=in_force.classes, tenants=in_force.tenants))

    def request(self, *, call: messages.RequestCall) -> request_driver.ReplyOutcome:
        """Serves a request; fires with the answer or with what is known of its outcome."""
        known_reply = self._requests.find_reply(call)
        if known_reply is not None:
            return known_reply
        keyed = bool(call.idempotency_key) and not call.idempotent
        reason = self._rejection_reason()
        if reason and not (keyed and self._keyed.is_running(call)):
            served = defer.succeed(self._refusal(call, reason))
        else:
            served = self._keyed.request(call) if keyed else self._serve(call)
        return served.addCallback(self._requests.cache_reply)

    def submit(self, *, job: entities.Job) -> job_requests.ReplyOutcome:
        """Accepts a job; fires once it is durable, or refused."""
        reason = self._rejection_reason()
        if reason:
            return defer.succeed(messages.JobReply(status=503, reason=reason))
        return self._jobs.submit(job)

    def show(self, *, job_id: str) -> messages.JobReply:
        """Returns the state of a job.

        An owner without a lease may be superseded and lack newer jobs, so it answers 503 rather
        than 404 for a job that it doesn't know.
        """
        if self._phase not in (cell_status.CellPhase.ACTIVE, cell_status.CellPhase.CLOSING):
            return messages.JobReply(status=503, reason=self._rejection_reason())
        reply = self._jobs.show(job_id)
        if reply.status == http.HTTPStatus.NOT_FOUND and not self._lease_valid():
            return messages.JobReply(status=503, reason="lease-lapsed")
        return reply

    def cancel(self, *, job_id: str) -> job_requests.ReplyOutcome:
        """Cancels a job; fires once that is durable."""
        reason = self._rejection_reason()
        if reason:
            return defer.succeed(messages.JobReply(status=503, reason=reason))
        return self._jobs.cancel(job_id)

    def transfer(
        self, *, call: messages.TransferCall | messages.ReleaseCall
    ) -> defer.Deferred[messages.TransferReply]:
        """Accepts a job from another cell, or that cell's report that the transfer is durable."""
        reason = self._rejection_reason()
        if reason:
            return defer.succeed(messages.TransferReply(done=False, reason=reason))
        if isinstance(call, messages.TransferCall):
            return defer.Deferred.fromCoroutine(self._transfers.accept(call))
        return defer.Deferred.fromCoroutine(self._transfers.release(call))

    def room(self) -> messages.CellRoom:
        """Summarizes the free capacity; requests since the last tick count as queued."""
        summary = self._scheduler.room(now=self._clock.seconds())
        if self._requests_since_tick:
            queued = summary.queued_urgent + self._requests_since_tick
            summary = msgspec.structs.replace(summary, queued_urgent=queued)
        return messages.CellRoom(
            cell=self._name, epoch=self._epoch, room=summary, largest=self._workers.largest
        )

    def explain(self, *, subject_id: str) -> str:
        """Returns why a job or a request waits, or where it is; empty when it is not known."""
        return self._scheduler.explain(subject_id=subject_id) or self._jobs.explain(subject_id)

    def view(self) -> views.View:
        """Returns the workers, queues and reserve for operators."""
        return self._scheduler.view()

    def status(self) -> cell_status.CellStatus:
        """Returns the state of the cell for operators."""
        jobs = self._journal.state.jobs.counts
        return cell_status.CellStatus(
            name=self._name,
            epoch=self._epoch,
            state=self._phase,
            workers=self._workers.count,
            jobs=jobs,
            queued=jobs.get("queued", 0) + jobs.get("parked", 0),
            journal_seq=self._journal.seq,
            fault="" if self._fault is None else str(self._fault),
        )

    async def _take_over(self) -> result.Result[None, errors.EbonyhatchError]:
        try:
            await self._journal.recover()
        except errors.EbonyhatchError as error:
            self._stop_on_error(error)
            return result.Failure(error)
        if not self._port.fenced:
            await self._group.sleep(UNFENCED_WAIT_S)
        if self._phase != cell_status.CellPhase.TAKING_OVER:
            return result.Failure(self._fault or _superseded(self._name, self._epoch))
        self._phase = cell_status.CellPhase.ACTIVE
        self._keyed.resolve_inherited()
        self._tasks.announce_waiting()
        self._workers.start(reports=self._tasks.reports)
        self._transfers.start()
        self._tick_later()
        self._on_event("cell.active", {"cell": self._name, "epoch": self._epoch})
        return result.Success(None)

    async def _close(self) -> None:
        if self._phase == cell_status.CellPhase.ACTIVE:
            self._phase = cell_status.CellPhase.CLOSING
            await self._drain()
        if self._phase == cell_status.CellPhase.CLOSED:
            return
        self._phase = cell_status.CellPhase.CLOSED
        if self._tick_timer is not None and self._tick_timer.active():
            self._tick_timer.cancel()
        self._requests.refuse_all(reason="closed")
        self._keyed.refuse_all(reason="closed")
        self._group.close()
        self._journal.close()

    async def _drain(self) -> None:
        deadline = self._clock.seconds() + CLOSE_TIMEOUT_S
        while self._in_progress() and self._clock.seconds() < deadline:
            await self._group.sleep(CLOSE_POLL_S)
        flushed = self._journal.flushed()
        while not flushed.called and self._clock.seconds() < deadline:
            await self._group.sleep(CLOSE_POLL_S)

    def _in_progress(self) -> bool:
        return bool(self._requests.in_flight or self._keyed.in_flight)

    def _may_act(self) -> bool:
        """Returns whether commands may be sent to workers: fencing or the lease keeps them safe."""
        if self._phase not in (cell_status.CellPhase.ACTIVE, cell_status.CellPhase.CLOSING):
            return False
        return self._port.fenced or self._lease_valid()

    def _rejection_reason(self) -> str:
        if self._phase != cell_status.CellPhase.ACTIVE:
            return f"cell-{self._phase.value}"
        return "" if self._may_act() else "lease-lapsed"

    def _serve(self, call: messages.RequestCall) -> request_driver.ReplyOutcome:
        work_class = self._classes.get(call.work_class)
        if work_class is None:
            return defer.succeed(self._refusal(call, "unknown-class"))
        return self._requests.serve(call, work_class=work_class)

    def _refusal(self, call: messages.RequestCall, reason: str) -> messages.RequestReply:
        return self._requests.refusal(call, reason=reason)

    def _stop_on_error(self, error: errors.EbonyhatchError) -> None:
        """Stops acting for the cell: a newer owner exists, or its journal can't be read."""
        if self._fault is not None:
            return
        self._fault = error
        superseded = isinstance(error, snapshots.SupersededError | workers.StaleEpochError)
        self._phase = cell_status.CellPhase.FAULTED
        if superseded:
            self._phase = cell_status.CellPhase.SUPERSEDED
        self._on_event(f"cell.{self._phase.value}", {"cell": self._name, "reason": str(error)})
        self._requests.refuse_unsent(reason=f"cell-{self._phase.value}")

    def _emit(self, event: events.Event) -> None:
        self._events.append(event)
        self._requests_since_tick += isinstance(event, events.RequestArrived)
        if not self._tick_scheduled and self._phase in _TICKING_PHASES:
            self._tick_scheduled = True
            self._clock.callLater(0, self._tick)

    def _tick_later(self) -> None:
        """Schedules the next tick before this one, so that a failed tick doesn't end the series."""
        if self._phase in _TICKING_PHASES:
            self._tick_timer = self._clock.callLater(TICK_S, self._tick_later)
            self._tick()

    def _tick(self) -> None:
        self._tick_scheduled = False
        if self._phase not in _TICKING_PHASES:
            return
        self._requests.sweep()
        batch, self._events = self._events, []
        self._requests_since_tick = 0
        now = self._clock.seconds()
        decided = self._scheduler.tick(now=now, events=batch)
        self._observe(now=now, received=batch, decided=decided)
        for command in decided:
            self._execute(command)

    def _execute(self, command: commands.Command) -> None:
        if isinstance(command, commands.SendRequest):
            self._requests.send(command)
        elif isinstance(command, commands.RefuseRequest):
            self._requests.refuse(command)
        else:
            self._tasks.execute(command)


_TICKING_PHASES = (cell_status.CellPhase.ACTIVE, cell_status.CellPhase.CLOSING)


def _superseded(cell: str, epoch: int) -> snapshots.SupersededError:
    return snapshots.SupersededError(cell=cell, epoch=epoch, newest_epoch=epoch)
