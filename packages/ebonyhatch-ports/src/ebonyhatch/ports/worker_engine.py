"""State of one worker in memory: tasks under leases, requests, capacity and the epoch fence."""

from __future__ import annotations

import collections
import itertools
import math

import msgspec
from ebonyhatch.core import resources
from ebonyhatch.ports import behaviour, fault_switches, holdings, task_run, timing, workers
from twisted.internet import defer

REQUEST_DEMAND = resources.Resources(slots=1, connections=1)
"""What one request to the service holds."""

FORGOTTEN_LENGTH = 10_000
"""Ids of ended attempts that are remembered, so that a late start runs nothing twice."""

WORKER_HEADER = "X-Worker-Id"
"""Names the worker in the answers of its service."""


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """One start of an attempt or of a request, for checks of the history.

    Attributes:
        subject_id: Task id or request id.
        at: Time of the start, seconds on the engine's clock.
        epoch: Epoch that the caller presented.
    """

    subject_id: str
    at: float
    epoch: int


class History(msgspec.Struct, frozen=True, kw_only=True):
    """What a worker ever did, for checks of the history."""

    worker_id: str
    task_starts: tuple[Run, ...]
    request_starts: tuple[Run, ...]
    highest_use: resources.Resources


class WorkerEngine:
    """Runs tasks and requests within a capacity; refusals are raised as typed errors."""

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
        self._holdings = holdings.Holdings(capacity=capacity)
        self._runs: dict[str, task_run.TaskRun] = {}
        self._forgotten: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._requests: dict[str, defer.Deferred[None]] = {}
        self._request_numbers = itertools.count(1)
        self._epoch = 0
        self._leaving = False
        self._refuses = False
        self._task_starts: list[Run] = []
        self._request_starts: list[Run] = []

    @property
    def worker_id(self) -> str:
        """The worker."""
        return self._worker_id

    @property
    def highest_use(self) -> resources.Resources:
        """The highest use ever, in each kind by itself."""
        return self._holdings.highest

    @property
    def task_starts(self) -> tuple[Run, ...]:
        """Every start of an attempt, in order."""
        return tuple(self._task_starts)

    @property
    def request_starts(self) -> tuple[Run, ...]:
        """Every request that was run, in order; one that was run twice is there twice."""
        return tuple(self._request_starts)

    @property
    def running_task_ids(self) -> tuple[str, ...]:
        """Attempts that run now."""
        return tuple(task_id for task_id, run in self._runs.items() if run.running)

    def history(self) -> History:
        """Tell what the worker ever did."""
        return History(
            worker_id=self._worker_id,
            task_starts=self.task_starts,
            request_starts=self.request_starts,
            highest_use=self.highest_use,
        )

    def leave(self, *, refuses: bool = False) -> None:
        """Say that nothing new is wanted; with `refuses`, also refuse it."""
        self._leaving = True
        self._refuses = refuses

    def close(self) -> None:
        """End everything that runs."""
        for run in list(self._runs.values()):
            run.stop(reason="the worker was closed")
        for holder in list(self._requests.values()):
            holder.cancel()

    def report(self) -> workers.WorkerReport:
        """Describe the worker; its measured use is late."""
        then = self._clock.seconds() - self._report_lag_s
        return workers.WorkerReport(
            worker_id=self._worker_id,
            capacity=self._holdings.capacity,
            usage=self._holdings.total_at(then=then),
            sample_age_s=self._report_lag_s,
            leaving=self._leaving,
            epoch=self._epoch,
            tasks=tuple(run.report() for run in self._runs.values()),
        )

    def claim(self, *, epoch: int) -> workers.WorkerReport:
        """Obey `epoch` from now on."""
        self._check_epoch(epoch)
        return self.report()

    def start_task(self, *, epoch: int, order: workers.TaskOrder) -> None:
        """Start an attempt; a repeat of a listed one changes nothing.

        Raises:
            workers.NotRunError: When it doesn't fit or isn't wanted.
        """
        self._check_epoch(epoch)
        if order.task_id in self._runs:
            return
        if order.task_id in self._forgotten:
            raise self._not_run(f"{order.task_id} has ended here before")
        self._check_open()
        self._check_lease(order.lease_s)
        self._take(order.task_id, order.demand)
        self._task_starts.append(self._started(order.task_id, epoch))
        self._runs[order.task_id] = task_run.TaskRun(
            clock=self._clock,
            order=order,
            ended=self._free,
            fails_at_once=self._faults is not None and self._faults.fail_tasks,
        )

    def renew(
        self, *, epoch: int, lease_s: float, acknowledged: tuple[str, ...] = ()
    ) -> workers.WorkerReport:
        """Renew the leases of all running attempts and forget acknowledged ended ones."""
        self._check_epoch(epoch)
        self._check_lease(lease_s)
        for task_id in acknowledged:
            self._acknowledge(task_id)
        for run in self._runs.values():
            run.renew(lease_s=lease_s)
        return self.report()

    def checkpoint(self, *, epoch: int, task_id: str) -> workers.Checkpoint:
        """Save a running attempt's work."""
        self._check_epoch(epoch)
        return self._running(task_id).checkpoint()

    def throttle(self, *, epoch: int, task_id: str, share: float) -> None:
        """Run an attempt at a share of its speed, between 0 and 1."""
        self._check_epoch(epoch)
        if not 0.0 <= share <= 1.0:
            raise self._not_run(f"share {share} is not between 0 and 1")
        self._running(task_id).throttle(share=share)

    def stop_task(self, *, epoch: int, task_id: str) -> None:
        """Stop an attempt; an unknown one is refused should its start arrive later."""
        self._check_epoch(epoch)
        if task_id in self._runs:
            self._runs[task_id].stop(reason="stopped")
        else:
            self._remember(task_id)

    def serve(
        self, *, epoch: int, request: workers.ServiceRequest
    ) -> defer.Deferred[workers.ServiceAnswer]:
        """Run a request: hold a slot for as long as it asks, then echo its body.

        Raises:
            workers.NotRunError: When there is no room or nothing new is wanted.
        """
        self._check_epoch(epoch)
        self._check_open()
        holder = f"request {next(self._request_numbers)}"
        self._take(holder, REQUEST_DEMAND)
        self._request_starts.append(self._started(request.request_id, epoch))
        asked = behaviour.of_request(request)
        work: defer.Deferred[None] = defer.Deferred()
        timer = self._clock.callLater(asked.work_s, work.callback, None)
        self._requests[holder] = work
        work.addBoth(self._end_request, holder, timer)
        answer = workers.ServiceAnswer(
            request_id=request.request_id,
            status=asked.status,
            headers=(
                workers.Header(name="Content-Type", value="application/octet-stream"),
                workers.Header(name=WORKER_HEADER, value=self._worker_id),
            ),
            body=request.body,
        )
        return work.addCallback(lambda _: answer)

    def _end_request(self, passed: object, holder: str, timer: timing.Timer) -> object:
        del self._requests[holder]
        if timer.active():
            timer.cancel()
        self._holdings.free(holder=holder, now=self._clock.seconds())
        return passed

    def _check_epoch(self, epoch: int) -> None:
        if self._fenced and epoch < self._epoch:
            raise workers.StaleEpochError(
                worker_id=self._worker_id, epoch=epoch, newest_epoch=self._epoch
            )
        self._epoch = max(epoch, self._epoch)

    def _check_open(self) -> None:
        if self._refuses:
            raise self._not_run("the worker is leaving")

    def _check_lease(self, lease_s: float) -> None:
        if not (math.isfinite(lease_s) and lease_s > 0):
            raise self._not_run(f"lease_s {lease_s} is not positive")

    def _take(self, holder: str, amount: resources.Resources) -> None:
        if not self._holdings.take(holder=holder, amount=amount, now=self._clock.seconds()):
            raise self._not_run(f"{amount} does not fit beside {self._holdings.total}")

    def _free(self, run: task_run.TaskRun) -> None:
        self._holdings.free(holder=run.order.task_id, now=self._clock.seconds())

    def _running(self, task_id: str) -> task_run.TaskRun:
        run = self._runs.get(task_id)
        if run is None or not run.running:
            raise self._not_run(f"{task_id} does not run here")
        return run

    def _acknowledge(self, task_id: str) -> None:
        run = self._runs.get(task_id)
        if run is not None and not run.running:
            del self._runs[task_id]
            self._remember(task_id)

    def _remember(self, task_id: str) -> None:
        self._forgotten[task_id] = None
        if len(self._forgotten) > FORGOTTEN_LENGTH:
            self._forgotten.popitem(last=False)

    def _started(self, subject_id: str, epoch: int) -> Run:
        return Run(subject_id=subject_id, at=self._clock.seconds(), epoch=epoch)

    def _not_run(self, reason: str) -> workers.NotRunError:
        return workers.NotRunError(worker_id=self._worker_id, reason=reason)
