"""Requests on the fleet: service, interference, losses."""

from __future__ import annotations

from ebonyhatch.core import commands, entities, events
from ebonyhatch.testing import fleet_base, fleet_rows, workloads

START_S = 0.005
CALM_LOAD = 0.6
"""Processor load above which interference grows."""


class FleetRequests(fleet_base.FleetBase):
    """Carries out what is decided on requests."""

    def _arrive(self, number: int, arrival: workloads.Arrival) -> None:
        kind = self._draw.deployment.urgent[arrival.kind]
        request = entities.Request(
            request_id=str(number),
            service="orders",
            work_class=kind.name,
            tenant="t1",
            arrived_at=arrival.at,
            deadline_at=arrival.at + kind.deadline_s,
            idempotent=kind.idempotent,
            demand=self._demands[arrival.kind],
        )
        self._events.append(events.RequestArrived(request=request))

    def _send(self, command: commands.SendRequest) -> None:
        number = int(command.request_id)
        arrival = self._draw.arrivals[number]
        worker = self.workers[command.worker_id]
        self.attempts[number] = command.attempt
        self.counts.sends += 1
        self.counts.second_sends += command.attempt > 1
        arguments = (number, command.attempt, worker)
        if worker.gone:
            self.at(command.deadline_at, self._lose_request, *arguments)
            return
        if worker.fails_starts and self._source.random() < worker.fails_starts:
            self.at(self._now + START_S, self._refuse_request, *arguments)
            return
        self._hold(worker, self._demands[arrival.kind], self._draw.urgent_cores)
        worker.memory_gb += self._draw.urgent_memory_gb
        worker.requests[(number, command.attempt)] = number
        if self.starts[number] < 0:
            self.starts[number] = self._now - arrival.at
        if worker.hangs:
            self.at(command.deadline_at, self._lose_request, *arguments)
            return
        self.uses[worker.worker_id].append(self._now)
        service_s = arrival.service_s * self._slowdown(worker, arrival.kind) / worker.speed
        service_s += 2 * workloads.NETWORK_S
        if self._now + service_s > command.deadline_at:
            self.at(command.deadline_at, self._lose_request, *arguments)
            return
        self.at(self._now + service_s, self._answer, number, command.attempt, worker, service_s)

    def _slowdown(self, worker: fleet_rows.SimulatedWorker, kind: int) -> float:
        harm = self._harm[kind]
        extra = 0.0
        for task in worker.tasks.values():
            extra += harm[task.job.drawn.kind.name] * task.share
        if not extra:
            return 1.0
        load = worker.cores / worker.capacity.cores
        return 1.0 + extra * (1.0 + max(0.0, load - CALM_LOAD) / (1.0 - CALM_LOAD))

    def _free_request(self, number: int, attempt: int, worker: fleet_rows.SimulatedWorker) -> bool:
        if worker.requests.pop((number, attempt), None) is None:
            return False
        arrival = self._draw.arrivals[number]
        self._hold(worker, self._demands[arrival.kind], self._draw.urgent_cores, sign=-1)
        worker.memory_gb -= self._draw.urgent_memory_gb
        return True

    def _answer(
        self, number: int, attempt: int, worker: fleet_rows.SimulatedWorker, service_s: float
    ) -> None:
        if not self._free_request(number, attempt, worker):
            return
        if self.latencies[number] < 0 and number not in self.refused:
            arrival = self._draw.arrivals[number]
            waited = self._now - arrival.at
            self.latencies[number] = waited + 2 * self._draw.deployment.caller_s
        self.tell(
            events.RequestAnswered(
                request_id=str(number), worker_id=worker.worker_id, service_s=service_s
            )
        )

    def _refuse_request(
        self, number: int, attempt: int, worker: fleet_rows.SimulatedWorker
    ) -> None:
        self.tell(events.RequestNotRun(request_id=str(number), worker_id=worker.worker_id))

    def _lose_request(self, number: int, attempt: int, worker: fleet_rows.SimulatedWorker) -> None:
        self._free_request(number, attempt, worker)
        self.tell(events.RequestLost(request_id=str(number), worker_id=worker.worker_id))

    def _refused(self, command: commands.RefuseRequest) -> None:
        self.refused[int(command.request_id)] = command.outcome
