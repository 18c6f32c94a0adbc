"""Clock, event heap and reservations common to all parts of the simulated fleet."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

from ebonyhatch.core import commands, events, resources, scheduler
from ebonyhatch.testing import fleet_rows, workloads

Callback = Callable[..., None]
UNANSWERED = -1.0
"""Latency recorded for a request that was not answered."""


class FleetBase:
    """State of one simulated run."""

    def __init__(self, *, policy: scheduler.Scheduler, workload: workloads.Workload) -> None:
        self._policy = policy
        self._workload = workload
        self._random = random.Random(f"{workload.seed}-fleet")
        self._heap: list[tuple[float, int, Callback, tuple[Any, ...]]] = []
        self._sequence = 0
        self._now = 0.0
        self._events: list[events.Event] = []
        self._next_job = workload.jobs()
        self._waiting_jobs = 0
        self.attempts = [0] * len(workload.arrivals)
        self._interference = [
            {
                batch.name: workload.interference[urgent.name, batch.name] - 1.0
                for batch in workload.deployment.batch
            }
            for urgent in workload.deployment.urgent
        ]
        self._demands = [
            workload.classes[number].demand for number in range(len(self._interference))
        ]
        self.counts = fleet_rows.Counts()
        self.workers: dict[str, fleet_rows.SimulatedWorker] = {}
        self.jobs: dict[str, fleet_rows.SimulatedJob] = {}
        self.tasks: dict[str, fleet_rows.SimulatedTask] = {}
        self.latencies = [UNANSWERED] * len(workload.arrivals)
        self.starts = [UNANSWERED] * len(workload.arrivals)
        self.refused: dict[int, commands.Outcome] = {}
        self.use_times: dict[str, list[float]] = {}

    @property
    def now(self) -> float:
        """Time of the fake clock, seconds."""
        return self._now

    def call_at(self, when: float, callback: Callback, *arguments: Any) -> None:
        """Schedules a callback at a time of the fake clock."""
        self._sequence += 1
        heapq.heappush(self._heap, (when, self._sequence, callback, arguments))

    def post_event(self, event: events.Event) -> None:
        """Queues an event for the scheduler's next tick."""
        self._events.append(event)

    def _adjust_reservations(
        self,
        worker: fleet_rows.SimulatedWorker,
        declared: resources.Resources,
        cores: float,
        *,
        sign: int = 1,
    ) -> None:
        worker.slots += sign * declared.slots
        worker.connections += sign * declared.connections
        worker.declared_cores += sign * declared.cores
        worker.declared_memory_gb += sign * declared.memory_gb
        worker.cores += sign * cores
        if sign < 0:
            return
        capacity = worker.capacity
        if (
            worker.slots > capacity.slots
            or worker.connections > capacity.connections
            or worker.declared_cores > capacity.cores + 1e-6
            or worker.declared_memory_gb > capacity.memory_gb + 1e-6
        ):
            self.counts.limits_exceeded += 1
