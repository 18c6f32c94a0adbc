"""Small generated cases for differential tests of schedulers."""

from __future__ import annotations

import dataclasses
import heapq
from collections.abc import Sequence

from ebonyhatch.core import commands, entities, events, resources, scheduler
from hypothesis import strategies

CAPACITY = resources.Resources(slots=3, connections=4, cores=4.0, memory_gb=8.0)
DEADLINE_S = 1.0
TICK_S = 0.1
IDLE_TICK_S = 0.5
START_S = 0.01
CLASSES = (
    entities.WorkClass(
        name="quote", urgency=entities.Urgency.URGENT, priority=1, deadline_s=DEADLINE_S
    ),
    entities.WorkClass(name="plan", urgency=entities.Urgency.BATCH),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GeneratedJob:
    """A job: submission time, true run time, declared cores and number of starts that fail."""

    at: float
    run_s: float
    cores: float
    start_failures: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GeneratedRequest:
    """A request: arrival time, service time and outcome of its first attempt."""

    at: float
    service_s: float
    idempotent: bool
    first_attempt: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Case:
    """A small run: workers, jobs, requests, delay of usage reports, one worker that is lost."""

    workers: int
    jobs: tuple[GeneratedJob, ...]
    requests: tuple[GeneratedRequest, ...]
    report_delay_s: float
    worker_lost_at: float


def cases() -> strategies.SearchStrategy[Case]:
    """Returns a strategy that generates cases."""
    job = strategies.builds(
        GeneratedJob,
        at=strategies.floats(0.0, 5.0),
        run_s=strategies.floats(0.05, 20.0),
        cores=strategies.floats(0.1, 4.0),
        start_failures=strategies.integers(0, 2),
    )
    request = strategies.builds(
        GeneratedRequest,
        at=strategies.floats(0.0, 10.0),
        service_s=strategies.floats(0.01, 0.3),
        idempotent=strategies.booleans(),
        first_attempt=strategies.sampled_from(("answered", "answered", "not-run", "lost")),
    )
    return strategies.builds(
        Case,
        workers=strategies.integers(2, 4),
        jobs=strategies.lists(job, max_size=15).map(tuple),
        requests=strategies.lists(request, max_size=30).map(tuple),
        report_delay_s=strategies.floats(0.0, 10.0),
        worker_lost_at=strategies.floats(1.0, 30.0),
    )


class History:
    """Runs a case against a scheduler and records outcomes and violations (`faults`)."""

    def __init__(self, *, case: Case, policy: scheduler.Scheduler) -> None:
        self._case = case
        self._policy = policy
        self._heap: list[tuple[float, int, events.Event, str]] = []
        self._sequence = 0
        self._now = 0.0
        self._reservations: dict[str, list[tuple[str, resources.Resources]]] = {}
        self._remaining_start_failures = {
            f"j{n}": job.start_failures for n, job in enumerate(case.jobs)
        }
        self._lost_workers: set[str] = set()
        self._running: dict[str, str] = {}
        self._send_counts: dict[str, int] = {}
        self.finished: list[str] = []
        self.sent_at: dict[str, float] = {}
        self.outcomes: dict[str, str] = {}
        self.faults: list[str] = []

    def run(self, *, until: float) -> None:
        """Runs on a fake clock until all work has an outcome, at most until `until`."""
        joined = [
            events.WorkerJoined(
                worker_id=f"w{number}", failure_domain="a", rack="r", capacity=CAPACITY
            )
            for number in range(self._case.workers)
        ]
        self._tick([events.ClassesChanged(classes=CLASSES, tenants=()), *joined])
        for number, job in enumerate(self._case.jobs):
            self._schedule(job.at, events.JobSubmitted(job=self._job(number)))
        for number, request in enumerate(self._case.requests):
            self._schedule(request.at, self._arrival(number))
        self._schedule(self._case.worker_lost_at, events.WorkerGone(worker_id="w0"))
        while self._now < until and not self._is_complete():
            until_next_s = self._heap[0][0] - self._now if self._heap else IDLE_TICK_S
            self._now += min(IDLE_TICK_S, max(TICK_S, until_next_s))
            events_due: list[events.Event] = []
            while self._heap and self._heap[0][0] <= self._now:
                _, _, event, holder = heapq.heappop(self._heap)
                if not holder or self._release(holder):
                    events_due.extend(self._apply(event))
            self._tick(events_due)

    def _is_complete(self) -> bool:
        jobs = len(self.finished) == len(self._case.jobs)
        return jobs and len(self.outcomes) == len(self._case.requests) and self._now > 10.0

    def _job(self, number: int) -> entities.Job:
        generated = self._case.jobs[number]
        demand = resources.Resources(slots=1, connections=1, cores=generated.cores, memory_gb=1.0)
        return entities.Job(
            job_id=f"j{number}",
            work_class="plan",
            tenant=f"t{number % 2}",
            demand=demand,
            expected_run_s=generated.run_s,
        )

    def _arrival(self, number: int) -> events.Event:
        generated = self._case.requests[number]
        request = entities.Request(
            request_id=f"r{number}",
            service="orders",
            work_class="quote",
            tenant="t0",
            arrived_at=generated.at,
            deadline_at=generated.at + DEADLINE_S,
            idempotent=generated.idempotent,
            demand=resources.Resources(slots=1, connections=1, cores=0.5, memory_gb=0.5),
        )
        return events.RequestArrived(request=request)

    def _schedule(self, at: float, event: events.Event, holder: str = "") -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, event, holder))

    def _apply(self, event: events.Event) -> list[events.Event]:
        if isinstance(event, events.TaskFinished):
            self.finished.append(event.task_id.split("/")[0])
        if isinstance(event, events.RequestAnswered):
            if event.request_id in self.outcomes:
                return []
            self.outcomes[event.request_id] = "answered"
        if isinstance(event, events.WorkerGone):
            self._lost_workers.add(event.worker_id)
            lost = [holder for holder, _ in self._reservations.pop(event.worker_id, [])]
            for holder in lost:
                self._running.pop(holder, None)
            requests: list[events.Event] = [
                events.RequestLost(request_id=holder.split("#")[0], worker_id=event.worker_id)
                for holder in lost
                if "/" not in holder
            ]
            return [*requests, event]
        return [event]

    def _release(self, holder: str) -> bool:
        worker_id = self._running.pop(holder, None)
        if worker_id is None:
            return False
        reservations = self._reservations[worker_id]
        reservations[:] = [reservation for reservation in reservations if reservation[0] != holder]
        return True

    def _reserve(self, worker_id: str, holder: str, demand: resources.Resources) -> None:
        self._running[holder] = worker_id
        reservations = self._reservations.setdefault(worker_id, [])
        reservations.append((holder, demand))
        total = resources.NONE
        for _, reserved in reservations:
            total += reserved
        capacity_limit = resources.Resources(
            slots=3, connections=4, cores=4.0 + 1e-6, memory_gb=8.0 + 1e-6
        )
        if not total.fits(capacity_limit):
            self.faults.append(f"{worker_id} holds {total}")

    def _tick(self, events_due: Sequence[events.Event]) -> None:
        for command in self._policy.tick(now=self._now, events=events_due):
            if isinstance(command, commands.StartTask):
                self._start(command)
            elif isinstance(command, commands.SendRequest):
                self._send(command)
            elif isinstance(command, commands.RefuseRequest):
                self._refuse(command)
            elif isinstance(command, commands.EvictTask):
                stopped = events.TaskStopped(task_id=command.task_id, progress_s=0.0)
                self._schedule(self._now + START_S, stopped, command.task_id)

    def _start(self, command: commands.StartTask) -> None:
        job_id = command.job_id
        if job_id in self.finished:
            self.faults.append(f"{job_id} starts after its end")
        at = self._now + START_S
        if command.worker_id in self._lost_workers or self._remaining_start_failures[job_id] > 0:
            self._remaining_start_failures[job_id] -= 1
            failed = events.TaskStartFailed(task_id=command.task_id, reason="failed")
            self._schedule(at, failed)
            return
        number = int(job_id[1:])
        if any(task_id.split("/")[0] == job_id for task_id in self._running):
            self.faults.append(f"{job_id} runs twice")
        self._reserve(command.worker_id, command.task_id, self._job(number).demand)
        run_s = self._case.jobs[number].run_s
        self._schedule(at, events.TaskStarted(task_id=command.task_id))
        ended = events.TaskFinished(task_id=command.task_id, run_s=run_s)
        self._schedule(at + run_s, ended, command.task_id)
        usage = events.UsageReported(
            worker_id=command.worker_id,
            sampled_at=self._now,
            usage=self._job(number).demand,
            tasks=(events.TaskUsage(task_id=command.task_id, usage=self._job(number).demand),),
        )
        self._schedule(at + self._case.report_delay_s, usage)

    def _send(self, command: commands.SendRequest) -> None:
        request_id = command.request_id
        generated = self._case.requests[int(request_id[1:])]
        self._send_counts[request_id] = self._send_counts.get(request_id, 0) + 1
        if (
            self._send_counts[request_id] > 1
            and not generated.idempotent
            and generated.first_attempt == "lost"
        ):
            self.faults.append(f"{request_id} may run twice")
        self.sent_at.setdefault(request_id, self._now)
        first = command.attempt == 1
        worker_id = command.worker_id
        if first and generated.first_attempt == "not-run":
            event: events.Event = events.RequestNotRun(request_id=request_id, worker_id=worker_id)
            self._schedule(self._now + START_S, event)
            return
        demand = resources.Resources(slots=1, connections=1, cores=0.5, memory_gb=0.5)
        holder = f"{request_id}#{command.attempt}"
        self._reserve(worker_id, holder, demand)
        if first and generated.first_attempt == "lost":
            event = events.RequestLost(request_id=request_id, worker_id=worker_id)
        else:
            event = events.RequestAnswered(
                request_id=request_id, worker_id=worker_id, service_s=generated.service_s
            )
        self._schedule(self._now + generated.service_s, event, holder)

    def _refuse(self, command: commands.RefuseRequest) -> None:
        request_id = command.request_id
        generated = self._case.requests[int(request_id[1:])]
        if request_id in self.outcomes:
            self.faults.append(f"{request_id} has two outcomes")
        attempts = [holder for holder in self._running if holder.split("#")[0] == request_id]
        may_have_run = generated.first_attempt == "lost" or bool(attempts)
        ran = self._send_counts.get(request_id, 0) > 0 and may_have_run
        if command.outcome is commands.Outcome.NOT_RUN and ran:
            self.faults.append(f"{request_id} ran but was refused as not-run")
        self.outcomes[request_id] = command.outcome.value
        for holder in attempts:
            self._release(holder)
