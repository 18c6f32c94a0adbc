"""In-memory state of one worker: tasks under leases, requests, capacity and the epoch fence."""

from __future__ import annotations

import collections
import itertools
import math

import msgspec
from ebonyhatch.core import resources
from ebonyhatch.ports import behaviour, fault_switches, reservations, task_run, timing, workers
from twisted.internet import defer

REQUEST_DEMAND = resources.Resources(slots=1, connections=1)
"""Resources that one request to the service reserves."""

MAX_ENDED_IDS = 10_000
"""Ids of ended attempts that are retained, so that a delayed start runs no attempt twice."""

WORKER_HEADER = "X-Worker-Id"
"""Response header of the service: id of the worker."""


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """One start of an attempt or of a request, for checkers of the history.

    Attributes:
        subject_id: Task id or request id.
        at: Time of the start, seconds on the engine's clock.
        epoch: Epoch that the caller presented.
    """

    subject_id: str
    at: float
    epoch: int


class History(msgspec.Struct, frozen=True, kw_only=True):
    """Every start on a worker and its highest reservations, for checkers of the history."""

    worker_id: str
    task_starts: tuple[Run, ...]
    request_starts: tuple[Run, ...]
    highest_use: resources.Resources


class WorkerEngine:
    """Runs tasks and requests within a capacity; raises refusals as typed errors."""

    def __init__(
        self,
        *,
        clock: timing.Clock,
        worker_id: str,
        capacity: resources.Resources,
        fenced: bool = True,
        report_lag_s: float = 0.0,
        faults: fault_switches.Faults | None = None,
    ) -> None:
        self._clock = clock
        self._worker_id = worker_id
        self._fenced = fenced
        self._report_lag_s = report_lag_s
        self._faults = faults
        self._reservations = reservations.Reservations(capacity=capacity)
        self._runs: dict[str, task_run.TaskRun] = {}
        self._ended_ids: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._requests: dict[str, defer.Deferred[None]] = {}
        self._request_numbers = itertools.count(1)
        self._epoch = 0
        self._leaving = False
        self._refuses = False
        self._task_starts: list[Run] = []
        self._request_starts: list[Run] = []

    @property
    def worker_id(self) -> str:
        """Id of the worker."""
        return self._worker_id

    @property
    def highest_use(self) -> resources.Resources:
        """The highest total of reservations so far, for each kind of resource separately."""
        return self._reservations.highest

    @property
    def task_starts(self) -> tuple[Run, ...]:
        """Every start of an attempt, in order."""
        return tuple(self._task_starts)

    @property
    def request_starts(self) -> tuple[Run, ...]:
        """Every start of a request, in order; a request that was run twice is listed twice."""
        return tuple(self._request_starts)

    @property
    def running_task_ids(self) -> tuple[str, ...]:
        """Ids of the running attempts."""
        return tuple(task_id for task_id, run in self._runs.items() if run.running)

    def history(self) -> History:
        """Returns every start on the worker and its highest reservations."""
        return History(
            worker_id=self._worker_id,
            task_starts=self.task_starts,
            request_starts=self.request_starts,
            highest_use=self.highest_use,
        )

    def leave(self, *, refuses: bool = False) -> None:
        """Reports the worker as leaving; with `refuses`, it also refuses new work."""
        self._leaving = True
        self._refuses = refuses

    def close(self) -> None:
        """Stops all running attempts and cancels all open requests."""
        for run in list(self._runs.values()):
            run.stop(reason="the worker was closed")
        for holder in list(self._requests.values()):
            holder.cancel()

    def report(self) -> workers.WorkerReport:
        """Returns a status report; its resource usage is `report_lag_s` old."""
        then = self._clock.seconds() - self._report_lag_s
        return workers.WorkerReport(
            worker_id=self._worker_id,
            capacity=self._reservations.capacity,
            usage=self._reservations.total_at(then=then),
            sample_age_s=self._report_lag_s,
            leaving=self._leaving,
            epoch=self._epoch,
            tasks=tuple(run.report() for run in self._runs.values()),
        )

    def claim(self, *, epoch: int) -> workers.WorkerReport:
        """Accepts `epoch` as the newest and returns a status report."""
        self._check_epoch(epoch)
        return self.report()

    def start_task(self, *, epoch: int, order: workers.TaskOrder) -> None:
        """Starts an attempt; repeating the start of a listed attempt has no effect.

        Raises:
            workers.NotRunError: If it does not fit, has ended here before, has an invalid lease,
                or the worker refuses new work.
        """
        self._check_epoch(epoch)
        if order.task_id in self._runs:
            return
        if order.task_id in self._ended_ids:
            raise self._not_run(f"{order.task_id} has already ended here")
        self._check_accepting()
        self._check_lease(order.lease_s)
        self._reserve(order.task_id, order.demand)
        self._task_starts.append(self._start_record(order.task_id, epoch))
        self._runs[order.task_id] = task_run.TaskRun(
            clock=self._clock,
            order=order,
            on_end=self._release,
            fails_at_once=self._faults is not None and self._faults.fail_tasks,
        )

    def renew(
        self, *, epoch: int, lease_s: float, acknowledged: tuple[str, ...] = ()
    ) -> workers.WorkerReport:
        """Renews the leases of all running attempts and drops acknowledged ended ones."""
        self._check_epoch(epoch)
        self._check_lease(lease_s)
        for task_id in acknowledged:
            self._acknowledge(task_id)
        for run in self._runs.values():
            run.renew(lease_s=lease_s)
        return self.report()

    def checkpoint(self, *, epoch: int, task_id: str) -> workers.Checkpoint:
        """Checkpoints a running attempt."""
        self._check_epoch(epoch)
        return self._running_task(task_id).checkpoint()

    def throttle(self, *, epoch: int, task_id: str, share: float) -> None:
        """Runs an attempt at a fraction of its full speed, between 0 and 1."""
        self._check_epoch(epoch)
        if not 0.0 <= share <= 1.0:
            raise self._not_run(f"share {share} is not between 0 and 1")
        self._running_task(task_id).throttle(fraction=share)

    def stop_task(self, *, epoch: int, task_id: str) -> None:
        """Stops an attempt; an unknown attempt is refused if its start arrives later."""
        self._check_epoch(epoch)
        if task_id in self._runs:
            self._runs[task_id].stop(reason="stopped")
        else:
            self._record_ended(task_id)

    def serve(
        self, *, epoch: int, request: workers.ServiceRequest
    ) -> defer.Deferred[workers.ServiceResponse]:
        """Runs a request: reserves a slot for the time that it requests, then echoes its body.

        Raises:
            workers.NotRunError: If it does not fit or the worker refuses new work.
        """
        self._check_epoch(epoch)
        self._check_accepting()
        holder = f"request {next(self._request_numbers)}"
        self._reserve(holder, REQUEST_DEMAND)
        self._request_starts.append(self._start_record(request.request_id, epoch))
        requested = behaviour.of_request(request)
        work: defer.Deferred[None] = defer.Deferred()
        timer = self._clock.callLater(requested.work_s, work.callback, None)
        self._requests[holder] = work
        work.addBoth(self._end_request, holder, timer)
        response = workers.ServiceResponse(
            request_id=request.request_id,
            status=requested.status,
            headers=(
                workers.Header(name="Content-Type", value="application/octet-stream"),
                workers.Header(name=WORKER_HEADER, value=self._worker_id),
            ),
            body=request.body,
        )
        return work.addCallback(lambda _: response)

    def _end_request(self, outcome: object, holder: str, timer: timing.Timer) -> object:
        del self._requests[holder]
        if timer.active():
            timer.cancel()
        self._reservations.release(holder=holder, now=self._clock.seconds())
        return outcome

    def _check_epoch(self, epoch: int) -> None:
        if self._fenced and epoch < self._epoch:
            raise workers.StaleEpochError(
                worker_id=self._worker_id, epoch=epoch, newest_epoch=self._epoch
            )
        self._epoch = max(epoch, self._epoch)

    def _check_accepting(self) -> None:
        if self._refuses:
            raise self._not_run("the worker is leaving")

    def _check_lease(self, lease_s: float) -> None:
        if not (math.isfinite(lease_s) and lease_s > 0):
            raise self._not_run(f"lease_s {lease_s} is not positive and finite")

    def _reserve(self, holder: str, amount: resources.Resources) -> None:
        if not self._reservations.reserve(holder=holder, amount=amount, now=self._clock.seconds()):
            raise self._not_run(f"{amount} does not fit in addition to {self._reservations.total}")

    def _release(self, run: task_run.TaskRun) -> None:
        self._reservations.release(holder=run.order.task_id, now=self._clock.seconds())

    def _running_task(self, task_id: str) -> task_run.TaskRun:
        run = self._runs.get(task_id)
        if run is None or not run.running:
            raise self._not_run(f"{task_id} is not running here")
        return run

    def _acknowledge(self, task_id: str) -> None:
        run = self._runs.get(task_id)
        if run is not None and not run.running:
            del self._runs[task_id]
            self._record_ended(task_id)

    def _record_ended(self, task_id: str) -> None:
        self._ended_ids[task_id] = None
        if len(self._ended_ids) > MAX_ENDED_IDS:
            self._ended_ids.popitem(last=False)

    def _start_record(self, subject_id: str, epoch: int) -> Run:
        return Run(subject_id=subject_id, at=self._clock.seconds(), epoch=epoch)

    def _not_run(self, reason: str) -> workers.NotRunError:
        return workers.NotRunError(worker_id=self._worker_id, reason=reason)
