"""Workers in memory, for the embedded default and for tests."""

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
"""Longest wait for the answer to a control call."""

Engines = dict[str, worker_engine.WorkerEngine]


class MemoryWorkers(workers.Workers):
    """A client of `WorkerEngine`s in this process.

    Several clients may share the engines, each with faults of its own for each worker.
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
        self._lines: dict[str, tuple[fault_switches.Faults, memory_calls.MemoryCalls]] = {}
        self._timeout_s = timeout_s
        self._closed = False

    @property
    def fenced(self) -> bool:
        """Whether workers refuse older epochs."""
        return self._fenced

    @property
    def engines(self) -> Engines:
        """The workers by id."""
        return self._engines

    def add(
        self, *, worker_id: str, capacity: resources.Resources, report_lag_s: float = 0.0
    ) -> worker_engine.WorkerEngine:
        """Add a worker."""
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
        """Faults of this client's calls to one worker."""
        return self._line(worker_id)[0]

    def start(self) -> None:
        """Make ready for calls."""
        self._closed = False
        for _, calls in self._lines.values():
            calls.start()

    def close(self) -> None:
        """End open calls, and the engines unless they were passed in."""
        self._closed = True
        for _, calls in self._lines.values():
            calls.close()
        if self._owns_engines:
            for engine in self._engines.values():
                engine.close()

    def claim(self, *, address: workers.Address, epoch: int) -> workers.ReportOutcome:
        """Present a new epoch and learn everything that the worker knows."""
        return self._call(address, lambda engine: engine.claim(epoch=epoch))

    def start_task(
        self, *, address: workers.Address, epoch: int, order: workers.TaskOrder
    ) -> workers.DoneOutcome:
        """Start an attempt under a lease."""
        return self._call(address, lambda engine: engine.start_task(epoch=epoch, order=order))

    def renew(
        self,
        *,
        address: workers.Address,
        epoch: int,
        lease_s: float,
        acknowledged: tuple[str, ...] = (),
    ) -> workers.ReportOutcome:
        """Renew the leases of all attempts on the worker, and learn its account."""

        def effect(engine: worker_engine.WorkerEngine) -> workers.WorkerReport:
            return engine.renew(epoch=epoch, lease_s=lease_s, acknowledged=acknowledged)

        return self._call(address, effect)

    def checkpoint(
        self, *, address: workers.Address, epoch: int, task_id: str
    ) -> workers.CheckpointOutcome:
        """Save an attempt's work; it goes on running."""
        return self._call(address, lambda engine: engine.checkpoint(epoch=epoch, task_id=task_id))

    def throttle(
        self, *, address: workers.Address, epoch: int, task_id: str, share: float
    ) -> workers.DoneOutcome:
        """Run an attempt at a share of its speed."""

        def effect(engine: worker_engine.WorkerEngine) -> None:
            engine.throttle(epoch=epoch, task_id=task_id, share=share)

        return self._call(address, effect)

    def stop_task(
        self, *, address: workers.Address, epoch: int, task_id: str
    ) -> workers.DoneOutcome:
        """Stop an attempt."""
        return self._call(address, lambda engine: engine.stop_task(epoch=epoch, task_id=task_id))

    def forward(
        self, *, address: workers.Address, epoch: int, request: workers.ServiceRequest
    ) -> workers.AnswerOutcome:
        """Send a request to the service on the worker and wait for the whole answer."""
        lines = header_rules.end_to_end(request.headers)
        passed = msgspec.structs.replace(request, headers=lines)

        def effect(engine: worker_engine.WorkerEngine) -> Any:
            if addresses.leaves_service(request):
                reason = f"{request.path!r} is no plain path"
                raise workers.NotRunError(worker_id=address.worker_id, reason=reason)
            return engine.serve(epoch=epoch, request=passed)

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

        return self._line(worker_id)[1].call(
            effect=run,
            refused=refused,
            unknown=lambda reason: workers.OutcomeUnknownError(worker_id=worker_id, reason=reason),
            timeout_s=self._timeout_s if timeout_s is None else timeout_s,
        )

    def _line(self, worker_id: str) -> tuple[fault_switches.Faults, memory_calls.MemoryCalls]:
        if worker_id not in self._lines:
            faults = fault_switches.Faults()
            calls = memory_calls.MemoryCalls(clock=self._clock, faults=faults)
            if self._closed:
                calls.close()
            self._lines[worker_id] = (faults, calls)
        return self._lines[worker_id]
