"""Requests on the simulated fleet: service, interference and losses."""

from __future__ import annotations

from ebonyhatch.core import commands, entities, events
from ebonyhatch.testing import fleet_base, fleet_rows, workloads

START_S = 0.005
INTERFERENCE_GROWTH_LOAD = 0.6
"""Processor load of a worker above which interference grows with the load."""


class FleetRequests(fleet_base.FleetBase):
    """Executes the scheduler's commands on requests."""

    def _arrive(self, number: int, arrival: workloads.Arrival) -> None:
        kind = self._workload.deployment.urgent[arrival.kind]
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
        arrival = self._workload.arrivals[number]
        worker = self.workers[command.worker_id]
        self.attempts[number] = command.attempt
        self.counts.sends += 1
        self.counts.second_sends += command.attempt > 1
        arguments = (number, command.attempt, worker)
        if worker.lost:
            self.call_at(command.deadline_at, self._lose_request, *arguments)
            return
        if (
            worker.start_failure_probability
            and self._random.random() < worker.start_failure_probability
        ):
            self.call_at(self._now + START_S, self._reject_request, *arguments)
            return
        self._adjust_reservations(worker, self._demands[arrival.kind], self._workload.urgent_cores)
        worker.memory_gb += self._workload.urgent_memory_gb
        worker.requests[(number, command.attempt)] = number
        if self.starts[number] < 0:
            self.starts[number] = self._now - arrival.at
        if worker.hung:
            self.call_at(command.deadline_at, self._lose_request, *arguments)
            return
        self.use_times[worker.worker_id].append(self._now)
        service_s = arrival.service_s * self._slowdown(worker, arrival.kind) / worker.speed
        service_s += 2 * workloads.NETWORK_DELAY_S
        if self._now + service_s > command.deadline_at:
            self.call_at(command.deadline_at, self._lose_request, *arguments)
            return
        self.call_at(
            self._now + service_s,
            self._complete_request,
            number,
            command.attempt,
            worker,
            service_s,
        )

    def _slowdown(self, worker: fleet_rows.SimulatedWorker, kind: int) -> float:
        interference = self._interference[kind]
        added_slowdown = 0.0
        for task in worker.tasks.values():
            added_slowdown += interference[task.job.generated.kind.name] * task.speed_fraction
        if not added_slowdown:
            return 1.0
        load = worker.cores / worker.capacity.cores
        return 1.0 + added_slowdown * (
            1.0 + max(0.0, load - INTERFERENCE_GROWTH_LOAD) / (1.0 - INTERFERENCE_GROWTH_LOAD)
        )

    def _free_request(self, number: int, attempt: int, worker: fleet_rows.SimulatedWorker) -> bool:
        if worker.requests.pop((number, attempt), None) is None:
            return False
        arrival = self._workload.arrivals[number]
        self._adjust_reservations(
            worker, self._demands[arrival.kind], self._workload.urgent_cores, sign=-1
        )
        worker.memory_gb -= self._workload.urgent_memory_gb
        return True

    def _complete_request(
        self, number: int, attempt: int, worker: fleet_rows.SimulatedWorker, service_s: float
    ) -> None:
        if not self._free_request(number, attempt, worker):
            return
        if self.latencies[number] < 0 and number not in self.refused:
            arrival = self._workload.arrivals[number]
            waited = self._now - arrival.at
            self.latencies[number] = waited + 2 * self._workload.deployment.caller_delay_s
        self.post_event(
            events.RequestAnswered(
                request_id=str(number), worker_id=worker.worker_id, service_s=service_s
            )
        )

    def _reject_request(
        self, number: int, attempt: int, worker: fleet_rows.SimulatedWorker
    ) -> None:
        self.post_event(events.RequestNotRun(request_id=str(number), worker_id=worker.worker_id))

    def _lose_request(self, number: int, attempt: int, worker: fleet_rows.SimulatedWorker) -> None:
        self._free_request(number, attempt, worker)
        self.post_event(events.RequestLost(request_id=str(number), worker_id=worker.worker_id))

    def _record_refusal(self, command: commands.RefuseRequest) -> None:
        self.refused[int(command.request_id)] = command.outcome
