"""The tables that the systems read and write each tick."""

from __future__ import annotations

import bisect

from ebonyhatch.core import (
    batch_queue,
    budgets,
    capacity,
    commands,
    demand,
    drains,
    entities,
    interference,
    resources,
    rows,
    run_times,
    settings,
    sizes,
    urgent_queue,
    worker_index,
)

PENALTY_LEVELS = (0.05, 0.15, 0.3, 0.6, 1.2, 2.4)
"""Predicted slowdowns that divide workers into levels for urgent work."""

FAILURE_PENALTY = 8.0
"""Slowdown that is taken to be as bad as a worker that fails all it starts."""


class Tables:
    """All rows of one cell with the indexes that the systems need."""

    __slots__ = (
        "now",
        "commands",
        "classes",
        "tenants",
        "workers",
        "jobs",
        "tasks",
        "requests",
        "urgent",
        "batch",
        "urgent_workers",
        "batch_workers",
        "deadlines",
        "parked",
        "batch_dirty",
        "workers_version",
        "run_times",
        "sizes",
        "retries",
        "probes",
        "class_standings",
        "delayed",
        "hedges",
        "lanes_version",
        "holds",
        "misfits",
        "tenant_use",
        "short_slots",
        "batch_slots",
        "sent",
        "free_slots",
        "total_slots",
        "wait_s",
        "defaults",
        "settings",
        "demand",
        "reserve",
        "budget",
        "period_at",
        "arrived",
        "interference",
        "harmful",
        "fit_at",
        "drain",
    )

    def __init__(self, *, defaults: settings.Settings, model: interference.Interference) -> None:
        self.interference = model
        self.harmful: set[str] = set()
        self.fit_at = 0.0
        self.defaults = defaults
        self.settings = defaults
        self.demand = demand.Demand()
        self.reserve = rows.Reserve()
        self.budget = budgets.EvictionBudget()
        self.period_at = 0.0
        self.arrived: list[rows.Request] = []
        self.drain = drains.Drain()
        self.now = 0.0
        self.commands: list[commands.Command] = []
        self.classes: dict[str, entities.WorkClass] = {}
        self.tenants: dict[str, entities.Tenant] = {}
        self.workers: dict[str, rows.Worker] = {}
        self.jobs: dict[str, rows.Job] = {}
        self.tasks: dict[str, rows.Task] = {}
        self.requests: dict[str, rows.Request] = {}
        self.urgent = urgent_queue.UrgentQueue()
        self.batch = batch_queue.BatchQueue()
        self.urgent_workers = worker_index.WorkerIndex(most_free_first=True)
        self.batch_workers = worker_index.WorkerIndex(most_free_first=False)
        self.deadlines: list[tuple[float, str]] = []
        self.parked: dict[str, rows.Job] = {}
        self.batch_dirty = True
        self.workers_version = 0
        self.run_times = run_times.RunTimes()
        self.lanes_version = 0
        self.sizes = sizes.Sizes()
        self.retries = budgets.RetryBudget()
        self.probes: dict[str, rows.Worker] = {}
        self.class_standings: dict[str, rows.HealthRecord] = {}
        self.hedges: list[tuple[float, str, str, int]] = []
        self.delayed: list[tuple[float, str]] = []
        self.holds: dict[str, rows.Worker] = {}
        self.misfits: list[rows.Job] = []
        self.tenant_use: dict[str, resources.Resources] = {}
        self.short_slots = 0
        self.batch_slots = 0
        self.sent = 0
        self.free_slots = 0
        self.total_slots = 0
        self.wait_s = 0.0

    def priority_of(self, work_class: str) -> int:
        """Priority of a class; 0 for one that is not in force."""
        found = self.classes.get(work_class)
        return found.priority if found is not None else 0

    def class_standing(self, work_class: str) -> rows.HealthRecord:
        """Counts of failed starts of a class."""
        standing = self.class_standings.get(work_class)
        if standing is None:
            standing = self.class_standings[work_class] = rows.HealthRecord()
        return standing

    def touch(self, worker: rows.Worker) -> None:
        """Bring the indexes and counts up to date after a worker changed."""
        self._count(worker)
        if worker.leaving or worker.overloaded or worker.barred or worker.free_slots <= 0:
            self.urgent_workers.remove(worker)
            self.batch_workers.remove(worker)
            return
        self.urgent_workers.put(worker, level=self._urgent_level(worker))
        if worker.held:
            self.batch_workers.remove(worker)
        else:
            self.batch_workers.put(worker, level=int(worker.reserved_for_urgent))

    def _urgent_level(self, worker: rows.Worker) -> int:
        worker.penalty = sum(
            count * self.interference.slowdown(name, load=worker.load)
            for name, count in worker.sharers
        )
        standing = worker.standing
        failing = standing.failures / standing.weight if standing.failures > 0.5 else 0.0
        return bisect.bisect(PENALTY_LEVELS, worker.penalty + FAILURE_PENALTY * failing)

    def counts_for_urgent(self, worker: rows.Worker) -> bool:
        """Tell whether the worker's slots are counted for urgent work."""
        return worker.reserved_for_urgent or not self.harmful

    def recompose(self, worker: rows.Worker) -> None:
        """Work out anew which batch classes share a worker."""
        counts: dict[str, float] = {}
        for task in worker.tasks.values():
            name = task.job.job.work_class
            counts[name] = counts.get(name, 0.0) + task.share
        worker.sharers = tuple(sorted(counts.items()))
        self.touch(worker)

    def _count(self, worker: rows.Worker) -> None:
        usable = not (worker.leaving or worker.barred)
        total = worker.capacity.slots if usable else 0
        free = max(0, worker.free_slots) if usable and not worker.overloaded else 0
        self.total_slots += total - worker.counted_total
        self.free_slots += free - worker.counted_free
        worker.counted_total = total
        worker.counted_free = free

    def reserve_task(self, task: rows.Task) -> None:
        """Enter an attempt and its reservation."""
        self.tasks[task.task_id] = task
        task.job.task = task
        task.worker.tasks[task.task_id] = task
        self._count_task(task, sign=1)
        capacity.reserve(task.worker, task.demand)
        self.recompose(task.worker)

    def release_task(self, task: rows.Task) -> None:
        """Drop an attempt and its reservation."""
        del self.tasks[task.task_id]
        task.job.task = None
        del task.worker.tasks[task.task_id]
        self._count_task(task, sign=-1)
        self.batch_dirty = True
        self.recompose(task.worker)
        self._release(task.worker, task.demand)

    def _count_task(self, task: rows.Task, *, sign: int) -> None:
        slots = sign * task.demand.slots
        task.worker.batch_slots += slots
        self.batch_slots += slots
        if task.job.lane is rows.Lane.SHORT:
            self.short_slots += slots
        if self.counts_for_urgent(task.worker):
            self.reserve.lendable -= slots
        tenant = task.job.job.tenant
        held = self.tenant_use.get(tenant, resources.NONE)
        demand = task.job.job.demand
        self.tenant_use[tenant] = held + demand if sign > 0 else held - demand

    def reserve_request(self, row: rows.Request, worker: rows.Worker) -> None:
        """Enter the reservation of a request that is sent."""
        row.worker = worker
        row.sharers = worker.sharers
        worker.requests[row.request.request_id] = row
        self.sent += 1
        capacity.reserve(worker, row.demand)
        self.touch(worker)

    def release_request(self, row: rows.Request) -> None:
        """Drop the reservation of a request, if it holds one."""
        worker = row.worker
        if worker is None:
            return
        row.worker = None
        del worker.requests[row.request.request_id]
        self.sent -= 1
        self._release(worker, row.demand)
        if not self.counts_for_urgent(worker):
            self.batch_dirty = True

    def queue_job(self, row: rows.Job, *, first: bool = False) -> None:
        """Queue a job for placement, in the lane of its expected run time."""
        row.lane = self.lane_of(row)
        row.queued_at = self.now
        self.batch.push(row, priority=self.priority_of(row.job.work_class), first=first)
        self.batch_dirty = True

    def lane_of(self, row: rows.Job) -> rows.Lane:
        """The lane of a job's expected run time."""
        short = self.run_times.estimate_s(row.job) <= self.settings.short_run_s
        return rows.Lane.SHORT if short else rows.Lane.LONG

    def forget_job(self, row: rows.Job) -> None:
        """Drop a job that has no attempt, wherever it waits."""
        self.batch.remove(row, priority=self.priority_of(row.job.work_class))
        self.parked.pop(row.job.job_id, None)
        self.jobs.pop(row.job.job_id, None)

    def _release(self, worker: rows.Worker, demand: resources.Resources) -> None:
        if worker.tasks or worker.requests or worker.unresolved_reservations:
            capacity.release(worker, demand)
        else:
            capacity.recount(worker)
        self.touch(worker)
