"""Clock, event heap and reservations that all parts of the fleet share."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

from ebonyhatch.core import commands, events, resources, scheduler
from ebonyhatch.testing import fleet_rows, workloads

Callback = Callable[..., None]
UNANSWERED = -1.0
"""Latency of a request without an answer."""


class FleetBase:
    """State of one run."""

    def __init__(self, *, policy: scheduler.Scheduler, draw: workloads.Draw) -> None:
        self._policy = policy
        self._draw = draw
        self._source = random.Random(f"{draw.seed}-fleet")
        self._heap: list[tuple[float, int, Callback, tuple[Any, ...]]] = []
        self._sequence = 0
        self._now = 0.0
        self._events: list[events.Event] = []
        self._next_job = draw.jobs()
        self._waiting = 0
        self.attempts = [0] * len(draw.arrivals)
        self._harm = [
            {
                batch.name: draw.harm[urgent.name, batch.name] - 1.0
                for batch in draw.deployment.batch
            }
            for urgent in draw.deployment.urgent
        ]
        self._demands = [draw.classes[number].demand for number in range(len(self._harm))]
        self.counts = fleet_rows.Counts()
        self.workers: dict[str, fleet_rows.SimulatedWorker] = {}
        self.jobs: dict[str, fleet_rows.SimulatedJob] = {}
        self.tasks: dict[str, fleet_rows.SimulatedTask] = {}
        self.latencies = [UNANSWERED] * len(draw.arrivals)
        self.starts = [UNANSWERED] * len(draw.arrivals)
        self.refused: dict[int, commands.Outcome] = {}
        self.uses: dict[str, list[float]] = {}

    @property
    def now(self) -> float:
        """The fake clock, seconds."""
        return self._now

    def at(self, when: float, callback: Callback, *arguments: Any) -> None:
        """Call back at a time of the fake clock."""
        self._sequence += 1
        heapq.heappush(self._heap, (when, self._sequence, callback, arguments))

    def tell(self, event: events.Event) -> None:
        """Hand an event to the scheduler at its next tick."""
        self._events.append(event)

    def _hold(
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
