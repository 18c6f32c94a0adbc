"""In-memory workers, for the embedded default and for tests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from ebonyhatch.core import resources
from ebonyhatch.ports import (
    addresses,
    fault_switches,
    header_rules,
    memory_calls,
    timing,
    worker_engine,
    workers,
)

CALL_TIMEOUT_S = 2.0
"""Time limit of a control call, seconds."""

Engines = dict[str, worker_engine.WorkerEngine]


class MemoryWorkers(workers.Workers):
    """Calls `WorkerEngine`s in this process.

    Several clients may share the engines; each has its own faults for each worker.
    """

    def __init__(
        self,
        *,
        clock: timing.Clock,
        fenced: bool = True,
        engines: Engines | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._clock = clock
        self._fenced = fenced
        self._engines = {} if engines is None else engines
        self._owns_engines = engines is None
        self._links: dict[str, tuple[fault_switches.Faults, memory_calls.MemoryCalls]] = {}
        self._timeout_s = timeout_s
        self._closed = False

    @property
    def fenced(self) -> bool:
        """Whether workers refuse epochs older than the newest that they have seen."""
        return self._fenced

    @property
    def engines(self) -> Engines:
        """Engines of the workers by worker id."""
        return self._engines

    def add(
        self, *, worker_id: str, capacity: resources.Resources, report_lag_s: float = 0.0
    ) -> worker_engine.WorkerEngine:
        """Adds a worker and returns its engine."""
        engine = worker_engine.WorkerEngine(
            clock=self._clock,
            worker_id=worker_id,
            capacity=capacity,
            fenced=self._fenced,
            report_lag_s=report_lag_s,
            faults=self.faults(worker_id),
        )
        self._engines[worker_id] = engine
        return engine

    def faults(self, worker_id: str) -> fault_switches.Faults:
        """Returns the faults that are injected into this client's calls to one worker."""
        return self._link(worker_id)[0]

    def start(self) -> None:
        """Prepares for calls."""
        self._closed = False
        for _, calls in self._links.values():
            calls.start()

    def close(self) -> None:
        """Ends open calls, and closes the engines unless they were passed in."""
        self._closed = True
        for _, calls in self._links.values():
            calls.close()
        if self._owns_engines:
            for engine in self._engines.values():
                engine.close()

    def claim(self, *, address: workers.Address, epoch: int) -> workers.ReportOutcome:
        """Presents a new epoch and returns the worker's full status report."""
        return self._call(address, lambda engine: engine.claim(epoch=epoch))

    def start_task(
        self, *, address: workers.Address, epoch: int, order: workers.TaskOrder
    ) -> workers.DoneOutcome:
        """Starts an attempt under a lease."""
        return self._call(address, lambda engine: engine.start_task(epoch=epoch, order=order))

    def renew(
        self,
        *,
        address: workers.Address,
        epoch: int,
        lease_s: float,
        acknowledged: tuple[str, ...] = (),
    ) -> workers.ReportOutcome:
        """Renews the leases of all attempts on the worker and returns its status report."""

        def effect(engine: worker_engine.WorkerEngine) -> workers.WorkerReport:
            return engine.renew(epoch=epoch, lease_s=lease_s, acknowledged=acknowledged)

        return self._call(address, effect)

    def checkpoint(
        self, *, address: workers.Address, epoch: int, task_id: str
    ) -> workers.CheckpointOutcome:
        """Checkpoints an attempt, which continues to run."""
        return self._call(address, lambda engine: engine.checkpoint(epoch=epoch, task_id=task_id))

    def throttle(
        self, *, address: workers.Address, epoch: int, task_id: str, share: float
    ) -> workers.DoneOutcome:
        """Runs an attempt at the fraction `share` of its full speed."""

        def effect(engine: worker_engine.WorkerEngine) -> None:
            engine.throttle(epoch=epoch, task_id=task_id, share=share)

        return self._call(address, effect)

    def stop_task(
        self, *, address: workers.Address, epoch: int, task_id: str
    ) -> workers.DoneOutcome:
        """Stops an attempt."""
        return self._call(address, lambda engine: engine.stop_task(epoch=epoch, task_id=task_id))

    def forward(
        self, *, address: workers.Address, epoch: int, request: workers.ServiceRequest
    ) -> workers.ResponseOutcome:
        """Sends a request to the service on the worker and returns the complete response."""
        headers = header_rules.end_to_end(request.headers)
        forwarded = msgspec.structs.replace(request, headers=headers)

        def effect(engine: worker_engine.WorkerEngine) -> Any:
            if addresses.leaves_service(request):
                reason = f"the path {request.path!r} may resolve outside the service"
                raise workers.NotRunError(worker_id=address.worker_id, reason=reason)
            return engine.serve(epoch=epoch, request=forwarded)

        return self._call(address, effect, timeout_s=request.timeout_s)

    def _call(
        self,
        address: workers.Address,
        effect: Callable[[worker_engine.WorkerEngine], Any],
        *,
        timeout_s: float | None = None,
    ) -> Any:
        worker_id = address.worker_id

        def refused(reason: str) -> workers.NotRunError:
            return workers.NotRunError(worker_id=worker_id, reason=reason)

        def run() -> Any:
            if worker_id not in self._engines:
                raise refused("connection refused")
            return effect(self._engines[worker_id])

        return self._link(worker_id)[1].call(
            effect=run,
            refused=refused,
            unknown=lambda reason: workers.OutcomeUnknownError(worker_id=worker_id, reason=reason),
            timeout_s=self._timeout_s if timeout_s is None else timeout_s,
        )

    def _link(self, worker_id: str) -> tuple[fault_switches.Faults, memory_calls.MemoryCalls]:
        if worker_id not in self._links:
            faults = fault_switches.Faults()
            calls = memory_calls.MemoryCalls(clock=self._clock, faults=faults)
            if self._closed:
                calls.close()
            self._links[worker_id] = (faults, calls)
        return self._links[worker_id]
