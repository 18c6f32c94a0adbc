"""Capacity probes of one cell's scheduler: processor time and memory."""

from __future__ import annotations

import functools
from collections.abc import Callable

from ebonyhatch.core import commands, default_scheduler, entities, events, resources
from ebonyhatch.testing.benches import capacity_slopes

WORKER_SIZES = (83, 330, 1320)
QUICK_WORKER_SIZES = (20, 40, 80)
SLOTS = 24
TASKS_PER_WORKER = 12
CYCLES = 2_000
TICKS = 40
TENANTS = 140
MEMORY_SIZES = (20_000, 40_000, 80_000)
WORKERS_DIVISOR = 4
TENANT_SIZES = (35, 140, 560)
QUEUED_PER_TENANT = 20
TICK_S = 0.1

CAPACITY = resources.Resources(
    slots=SLOTS, connections=64, cores=32.0, memory_gb=125.0, accelerators=2
)
DEMAND = resources.Resources(slots=1, connections=1, cores=0.5, memory_gb=1.0)
URGENT = entities.WorkClass(
    name="quote", urgency=entities.Urgency.URGENT, deadline_s=1.0, demand=DEMAND, priority=10
)
BATCH = entities.WorkClass(
    name="plan", urgency=entities.Urgency.BATCH, demand=DEMAND, expected_run_s=60.0
)


class Cell:
    """One scheduler with workers, driven by its own clock."""

    def __init__(self, *, workers: int, tenants: int = TENANTS) -> None:
        self.now = 0.0
        self.scheduler = default_scheduler.DefaultScheduler(seed=1)
        self.worker_ids = [f"worker-{number:05}" for number in range(workers)]
        teams = tuple(entities.Tenant(name=f"team-{number}") for number in range(tenants))
        joined = [
            events.WorkerJoined(
                worker_id=name, failure_domain="d1", rack=name[-2:], capacity=CAPACITY
            )
            for name in self.worker_ids
        ]
        self.tick([events.ClassesChanged(classes=(URGENT, BATCH), tenants=teams), *joined])

    def tick(
        self, new_events: list[events.Event], step_s: float = TICK_S
    ) -> list[commands.Command]:
        """Advances the clock and passes events to the scheduler."""
        self.now += step_s
        return self.scheduler.tick(now=self.now, events=new_events)

    def fill(self, count: int) -> list[str]:
        """Starts up to this many batch attempts; returns their ids."""
        decisions = self.tick([_submitted(number) for number in range(count)])
        started: list[str] = []
        while decisions:
            placed = [command for command in decisions if isinstance(command, commands.StartTask)]
            started += [command.task_id for command in placed]
            decisions = self.tick([events.TaskStarted(task_id=task.task_id) for task in placed])
        return started

    def request_cycle(self, number: int) -> None:
        """Runs one request from arrival to answer."""
        decisions = self.tick([_arrived(number, self.now)], step_s=0.001)
        answered: list[events.Event] = [
            events.RequestAnswered(
                request_id=command.request_id, worker_id=command.worker_id, service_s=0.08
            )
            for command in decisions
            if isinstance(command, commands.SendRequest)
        ]
        self.tick(answered, step_s=0.001)

    def job_cycle(self, number: int) -> None:
        """Runs one job from submission to end."""
        decisions = self.tick([_submitted(number)], step_s=0.001)
        for command in decisions:
            if isinstance(command, commands.StartTask):
                task_id = command.task_id
                self.tick([events.TaskStarted(task_id=task_id)], step_s=0.001)
                self.tick([events.TaskFinished(task_id=task_id, run_s=0.1)], step_s=0.001)

    def finish(self, task_ids: list[str]) -> None:
        """Finishes attempts one by one; each frees capacity for a queued job."""
        for task_id in task_ids:
            self.tick([events.TaskFinished(task_id=task_id, run_s=1.0)], step_s=0.001)

    def reports(self) -> None:
        """Passes one usage report of each worker to the scheduler."""
        tables = self.scheduler.tables
        new_events: list[events.Event] = [
            events.UsageReported(
                worker_id=worker.worker_id,
                sampled_at=self.now - 2.0,
                usage=DEMAND,
                tasks=tuple(
                    events.TaskUsage(task_id=task_id, usage=DEMAND) for task_id in worker.tasks
                ),
            )
            for worker in tables.workers.values()
        ]
        self.tick(new_events)


def _submitted(number: int, tenants: int = TENANTS) -> events.JobSubmitted:
    job = entities.Job(
        job_id=f"job-{number}",
        work_class=BATCH.name,
        tenant=f"team-{number % tenants}",
        demand=DEMAND,
    )
    return events.JobSubmitted(job=job)


def _arrived(number: int, now: float) -> events.RequestArrived:
    request = entities.Request(
        request_id=f"request-{number}",
        service="quotes",
        work_class=URGENT.name,
        tenant=f"team-{number % TENANTS}",
        arrived_at=now,
        deadline_at=now + 1.0,
        idempotent=True,
        demand=DEMAND,
    )
    return events.RequestArrived(request=request)


def _per_cycle_us(cycle: Callable[[int], None], first: int) -> float:
    def work() -> None:
        for number in range(first, first + CYCLES):
            cycle(number)

    return capacity_slopes.cpu_s(work) / CYCLES * 1e6


@capacity_slopes.probe("scheduler time")
def scheduler_time(*, seed: int, quick: bool) -> list[capacity_slopes.Slope]:
    """Measures processor time of a tick, a report, a request and a job against a cell's workers."""
    ticks, reports, requests, jobs = [], [], [], []
    for size in QUICK_WORKER_SIZES if quick else WORKER_SIZES:
        cell = Cell(workers=size)
        cell.fill(size * TASKS_PER_WORKER)
        ticks.append((size, _tick_us(cell)))
        reports.append((size, capacity_slopes.min_cpu_s(cell.reports) / size * 1e6))
        requests.append((size, _per_cycle_us(cell.request_cycle, 0)))
        jobs.append((size, _per_cycle_us(cell.job_cycle, 10_000_000)))
    per = "workers of the cell"
    return [
        capacity_slopes.slope(name="scheduler: idle tick", unit="us", per=per, points=ticks),
        capacity_slopes.slope(name="scheduler: one report", unit="us", per=per, points=reports),
        capacity_slopes.slope(name="scheduler: one request", unit="us", per=per, points=requests),
        capacity_slopes.slope(name="scheduler: one job", unit="us", per=per, points=jobs),
    ]


@capacity_slopes.probe("scheduler tenants")
def scheduler_tenants(*, seed: int, quick: bool) -> list[capacity_slopes.Slope]:
    """Measures processor time of a job against tenants that each have work queued."""
    points = []
    for size in TENANT_SIZES:
        cell = Cell(workers=QUICK_WORKER_SIZES[0], tenants=size)
        cell.tick([_submitted(number, tenants=size) for number in range(size * QUEUED_PER_TENANT)])
        running = list(cell.scheduler.tables.tasks)
        count = min(CYCLES, len(running))
        processor_s = capacity_slopes.cpu_s(functools.partial(cell.finish, running[:count]))
        points.append((size, processor_s / count * 1e6))
    return [
        capacity_slopes.slope(
            name="scheduler: a finish and the next start", unit="us", per="tenants", points=points
        )
    ]


def _tick_us(cell: Cell) -> float:
    def work() -> None:
        for _ in range(TICKS):
            cell.tick([])

    return capacity_slopes.min_cpu_s(work) / TICKS * 1e6


@capacity_slopes.probe("scheduler memory")
def scheduler_memory(*, seed: int, quick: bool) -> list[capacity_slopes.Slope]:
    """Measures memory of the tables against queued jobs, running attempts and workers."""
    sizes = tuple(size // (20 if quick else 1) for size in MEMORY_SIZES)
    # A cell without workers only queues. All cells are retained, since memory that is freed and
    # reused would not show as growth.
    retained = [Cell(workers=0)]
    queued, running, workers = [], [], []
    for size in sizes:
        before = capacity_slopes.resident_bytes()
        retained.append(Cell(workers=size // WORKERS_DIVISOR))
        workers.append((size // WORKERS_DIVISOR, _grown_mb(before)))
        before = capacity_slopes.resident_bytes()
        retained[0].tick([_submitted(size + number) for number in range(size)])
        queued.append((size, _grown_mb(before)))
        filled = Cell(workers=size // TASKS_PER_WORKER)
        before = capacity_slopes.resident_bytes()
        started = filled.fill(size)
        running.append((len(started), _grown_mb(before)))
        retained.append(filled)
    return [
        capacity_slopes.slope(
            name="scheduler: memory of workers", unit="MB", per="workers", points=workers
        ),
        capacity_slopes.slope(
            name="scheduler: memory of queued jobs", unit="MB", per="queued jobs", points=queued
        ),
        capacity_slopes.slope(
            name="scheduler: memory of running attempts", unit="MB", per="attempts", points=running
        ),
    ]


def _grown_mb(before: int) -> float:
    return (capacity_slopes.resident_bytes() - before) / 1e6
