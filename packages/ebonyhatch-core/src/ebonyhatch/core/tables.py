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

SLOWDOWN_LEVELS = (0.05, 0.15, 0.3, 0.6, 1.2, 2.4)
"""Predicted slowdowns at which the next level of workers begins; urgent work prefers low levels."""

FAILURE_SLOWDOWN = 8.0
"""Slowdown that counts as much as a worker on which every start fails."""


class Tables:
    """All rows of one cell, with the indexes and counts that the systems need."""

    __slots__ = (
        "now",
        "commands",
        "classes",
        "tenants",
        "workers",
        "jobs",
        "tasks",
        "requests",
        "urgent_queue",
        "batch_queue",
        "urgent_workers",
        "batch_workers",
        "deadlines",
        "parked",
        "batch_placement_due",
        "workers_version",
        "run_times",
        "sizes",
        "retry_budget",
        "probe_candidates",
        "class_health_records",
        "delayed_jobs",
        "reservation_releases",
        "lanes_version",
        "job_reservations",
        "reservation_candidates",
        "tenant_usage",
        "short_slots",
        "batch_slots",
        "requests_in_progress",
        "free_slots",
        "total_slots",
        "urgent_wait_s",
        "defaults",
        "settings",
        "demand",
        "reserve",
        "eviction_budget",
        "next_period_at",
        "new_requests",
        "interference",
        "interfering_classes",
        "next_fit_at",
        "send_rate",
    )

    def __init__(self, *, defaults: settings.Settings, model: interference.Interference) -> None:
        self.interference = model
        self.interfering_classes: set[str] = set()
        self.next_fit_at = 0.0
        self.defaults = defaults
        self.settings = defaults
        self.demand = demand.Demand()
        self.reserve = rows.Reserve()
        self.eviction_budget = budgets.EvictionBudget()
        self.next_period_at = 0.0
        self.new_requests: list[rows.Request] = []
        self.send_rate = drains.SendRate()
        self.now = 0.0
        self.commands: list[commands.Command] = []
        self.classes: dict[str, entities.WorkClass] = {}
        self.tenants: dict[str, entities.Tenant] = {}
        self.workers: dict[str, rows.Worker] = {}
        self.jobs: dict[str, rows.Job] = {}
        self.tasks: dict[str, rows.Task] = {}
        self.requests: dict[str, rows.Request] = {}
        self.urgent_queue = urgent_queue.UrgentQueue()
        self.batch_queue = batch_queue.BatchQueue()
        self.urgent_workers = worker_index.WorkerIndex(most_free_first=True)
        self.batch_workers = worker_index.WorkerIndex(most_free_first=False)
        self.deadlines: list[tuple[float, str]] = []
        self.parked: dict[str, rows.Job] = {}
        self.batch_placement_due = True
        self.workers_version = 0
        self.run_times = run_times.RunTimes()
        self.lanes_version = 0
        self.sizes = sizes.Sizes()
        self.retry_budget = budgets.RetryBudget()
        self.probe_candidates: dict[str, rows.Worker] = {}
        self.class_health_records: dict[str, rows.HealthRecord] = {}
        self.reservation_releases: list[tuple[float, str, str, int]] = []
        self.delayed_jobs: list[tuple[float, str]] = []
        self.job_reservations: dict[str, rows.Worker] = {}
        self.reservation_candidates: list[rows.Job] = []
        self.tenant_usage: dict[str, resources.Resources] = {}
        self.short_slots = 0
        self.batch_slots = 0
        self.requests_in_progress = 0
        self.free_slots = 0
        self.total_slots = 0
        self.urgent_wait_s = 0.0

    def priority_of(self, work_class: str) -> int:
        """Returns the priority of a class; 0 for a class that is not in force."""
        found = self.classes.get(work_class)
        return found.priority if found is not None else 0

    def class_health(self, work_class: str) -> rows.HealthRecord:
        """Returns the counts of starts and failures of a class."""
        record = self.class_health_records.get(work_class)
        if record is None:
            record = self.class_health_records[work_class] = rows.HealthRecord()
        return record

    def reindex_worker(self, worker: rows.Worker) -> None:
        """Updates the indexes and counts after a worker changed."""
        self._update_slot_counts(worker)
        if worker.leaving or worker.overloaded or worker.quarantined or worker.free_slots <= 0:
            self.urgent_workers.remove(worker)
            self.batch_workers.remove(worker)
            return
        self.urgent_workers.put(worker, level=self._urgent_level(worker))
        if worker.reserved_for_job:
            self.batch_workers.remove(worker)
        else:
            self.batch_workers.put(worker, level=int(worker.reserved_for_urgent))

    def _urgent_level(self, worker: rows.Worker) -> int:
        worker.predicted_slowdown = sum(
            count * self.interference.slowdown(name, load=worker.load)
            for name, count in worker.colocated_classes
        )
        record = worker.health_record
        failing = record.failures / record.starts if record.failures > 0.5 else 0.0
        return bisect.bisect(
            SLOWDOWN_LEVELS, worker.predicted_slowdown + FAILURE_SLOWDOWN * failing
        )

    def counts_for_urgent(self, worker: rows.Worker) -> bool:
        """Returns whether the worker's slots are counted for urgent work."""
        return worker.reserved_for_urgent or not self.interfering_classes

    def update_colocated_classes(self, worker: rows.Worker) -> None:
        """Recomputes which batch classes share a worker."""
        counts: dict[str, float] = {}
        for task in worker.tasks.values():
            name = task.job.job.work_class
            counts[name] = counts.get(name, 0.0) + task.speed_fraction
        worker.colocated_classes = tuple(sorted(counts.items()))
        self.reindex_worker(worker)

    def _update_slot_counts(self, worker: rows.Worker) -> None:
        usable = not (worker.leaving or worker.quarantined)
        total = worker.capacity.slots if usable else 0
        free = max(0, worker.free_slots) if usable and not worker.overloaded else 0
        self.total_slots += total - worker.counted_total_slots
        self.free_slots += free - worker.counted_free_slots
        worker.counted_total_slots = total
        worker.counted_free_slots = free

    def reserve_task(self, task: rows.Task) -> None:
        """Adds an attempt and its reservation."""
        self.tasks[task.task_id] = task
        task.job.task = task
        task.worker.tasks[task.task_id] = task
        self._account_task(task, sign=1)
        capacity.reserve(task.worker, task.demand)
        self.update_colocated_classes(task.worker)

    def release_task(self, task: rows.Task) -> None:
        """Removes an attempt and its reservation."""
        del self.tasks[task.task_id]
        task.job.task = None
        del task.worker.tasks[task.task_id]
        self._account_task(task, sign=-1)
        self.batch_placement_due = True
        self.update_colocated_classes(task.worker)
        self._release(task.worker, task.demand)

    def _account_task(self, task: rows.Task, *, sign: int) -> None:
        slots = sign * task.demand.slots
        task.worker.batch_slots += slots
        self.batch_slots += slots
        if task.job.lane is rows.Lane.SHORT:
            self.short_slots += slots
        if self.counts_for_urgent(task.worker):
            self.reserve.lendable_slots -= slots
        tenant = task.job.job.tenant
        used = self.tenant_usage.get(tenant, resources.NONE)
        demand = task.job.job.demand
        self.tenant_usage[tenant] = used + demand if sign > 0 else used - demand

    def reserve_request(self, row: rows.Request, worker: rows.Worker) -> None:
        """Adds the reservation of a request that is sent."""
        row.worker = worker
        row.colocated_classes = worker.colocated_classes
        worker.requests[row.request.request_id] = row
        self.requests_in_progress += 1
        capacity.reserve(worker, row.demand)
        self.reindex_worker(worker)

    def release_request(self, row: rows.Request) -> None:
        """Removes the reservation of a request, if it holds one."""
        worker = row.worker
        if worker is None:
            return
        row.worker = None
        del worker.requests[row.request.request_id]
        self.requests_in_progress -= 1
        self._release(worker, row.demand)
        if not self.counts_for_urgent(worker):
            self.batch_placement_due = True

    def queue_job(self, row: rows.Job, *, first: bool = False) -> None:
        """Queues a job for placement, in the lane of its expected run time."""
        row.lane = self.lane_of(row)
        row.queued_at = self.now
        self.batch_queue.push(row, priority=self.priority_of(row.job.work_class), first=first)
        self.batch_placement_due = True

    def lane_of(self, row: rows.Job) -> rows.Lane:
        """Returns the lane for a job's expected run time."""
        short = self.run_times.estimate_s(row.job) <= self.settings.short_run_s
        return rows.Lane.SHORT if short else rows.Lane.LONG

    def remove_job(self, row: rows.Job) -> None:
        """Removes a job that has no attempt, whether it is queued or parked."""
        self.batch_queue.remove(row, priority=self.priority_of(row.job.work_class))
        self.parked.pop(row.job.job_id, None)
        self.jobs.pop(row.job.job_id, None)

    def _release(self, worker: rows.Worker, demand: resources.Resources) -> None:
        if worker.tasks or worker.requests or worker.unresolved_reservations:
            capacity.release(worker, demand)
        else:
            capacity.recount(worker)
        self.reindex_worker(worker)
