"""Places jobs by priority, short lane first, fair between tenants and within quotas."""

from __future__ import annotations

from ebonyhatch.core import batch_queue, capacity, commands, resources, rows, tables

MAX_CANDIDATES = 8
"""Number of workers examined for one job."""

MAX_SCANNED_JOBS = 32
"""Number of jobs of a lane that may fail to be placed before the lane is skipped for this tick."""

MIN_CHARGE_S = 1.0
"""Minimum run time that is charged to the tenant of a job that is started, seconds; otherwise the
estimated remaining run time of the job is charged."""

RESERVE_AFTER_S = 5.0
"""Waiting time of the first job of a queue after which a worker is reserved for it, seconds."""


def run(state: tables.Tables) -> None:
    """Starts queued jobs until no other job fits."""
    if not state.batch_placement_due:
        return
    state.batch_placement_due = False
    for priority in state.batch_queue.priorities():
        for lane in _lanes(state):
            _place_lane(state, priority, lane)


def _lanes(state: tables.Tables) -> tuple[rows.Lane, rows.Lane]:
    """Returns the lanes in order: short first, up to its fraction of the batch slots in use."""
    fraction = state.short_slots / max(1, state.batch_slots)
    if fraction > state.settings.short_share:
        return (rows.Lane.LONG, rows.Lane.SHORT)
    return (rows.Lane.SHORT, rows.Lane.LONG)


def _place_lane(state: tables.Tables, priority: int, lane: rows.Lane) -> None:
    waiting = state.batch_queue.waiting(priority=priority, lane=lane)
    tenants = dict(waiting)
    remaining = MAX_SCANNED_JOBS
    while tenants and remaining > 0 and _has_free_capacity(state):
        name = min(
            tenants,
            key=lambda tenant: state.batch_queue.service_received(
                priority=priority, lane=lane, tenant=tenant
            ),
        )
        misses = _place_first(state, tenants[name], priority, remaining)
        if misses:
            remaining -= misses
            del tenants[name]
        elif not len(tenants[name]):
            del tenants[name]


def _has_free_capacity(state: tables.Tables) -> bool:
    if state.reserve.lendable_slots > 0:
        return len(state.batch_workers) > 0
    return bool(state.interfering_classes) and state.batch_workers.has_level(level=0)


def _place_first(
    state: tables.Tables, queue: batch_queue.TenantQueue, priority: int, limit: int
) -> int:
    """Places the first job of a queue that fits; returns the number of misses if none does."""
    misses = 0
    for row in queue.jobs():
        if misses >= limit:
            break
        worker = _worker_for(state, row) if _within_quota(state, row) else None
        if worker is not None:
            start(state, row, worker, priority=priority)
            return 0
        if park_if_impossible(state, row):
            return 0
        if not misses and state.now - row.queued_at > RESERVE_AFTER_S:
            state.reservation_candidates.append(row)
        misses += 1
    return max(misses, 1)


def _within_quota(state: tables.Tables, row: rows.Job) -> bool:
    tenant = state.tenants.get(row.job.tenant)
    if tenant is None or tenant.quota is None:
        return True
    used = state.tenant_usage.get(row.job.tenant, resources.NONE)
    return (used + row.job.demand).fits(tenant.quota)


def _worker_for(state: tables.Tables, row: rows.Job) -> rows.Worker | None:
    interferes = row.job.work_class in state.interfering_classes
    lendable = state.reserve.lendable_slots >= row.job.demand.slots
    if not state.interfering_classes and not lendable:
        return None
    demand = reservation_for(state, row)
    fallback = None
    for count, worker in enumerate(state.batch_workers.by_preference()):
        if count >= MAX_CANDIDATES:
            break
        if worker.reserved_for_urgent and (interferes or not lendable):
            break
        if not capacity.fits(worker, demand):
            continue
        if worker.worker_id != row.avoid_worker_id:
            return worker
        fallback = worker
    return fallback


def reservation_for(state: tables.Tables, row: rows.Job) -> resources.Resources:
    """Returns the learned size of a job, or its declared demand if no worker fits that size."""
    demand = state.sizes.reservation(row.job, quantile=state.settings.size_quantile)
    if demand is not row.job.demand and not any(
        demand.fits(worker.capacity) for worker in state.workers.values()
    ):
        return row.job.demand
    return demand


def may_start(state: tables.Tables, row: rows.Job, worker: rows.Worker) -> bool:
    """Returns whether quota and reserve let a job start on a worker with enough free capacity."""
    if not _within_quota(state, row):
        return False
    if state.counts_for_urgent(worker):
        return state.reserve.lendable_slots >= row.job.demand.slots
    return True


def start(state: tables.Tables, row: rows.Job, worker: rows.Worker, *, priority: int) -> None:
    """Starts the next attempt of a job."""
    state.batch_queue.remove(row, priority=priority)
    tenant = state.tenants.get(row.job.tenant)
    weight = tenant.weight if tenant is not None else 1.0
    expected_s = max(MIN_CHARGE_S, state.run_times.estimate_s(row.job) - row.progress_s)
    amount = expected_s * row.job.demand.slots / max(weight, 1e-6)
    state.batch_queue.charge(row, priority=priority, amount=amount)
    row.attempts += 1
    row.avoid_worker_id = ""
    task = rows.Task(
        task_id=f"{row.job.job_id}/{row.attempts}",
        job=row,
        worker=worker,
        demand=reservation_for(state, row),
        placed_at=state.now,
        resumed_s=row.progress_s,
        unsaved_updated_at=state.now,
    )
    state.reserve_task(task)
    command = commands.StartTask(
        task_id=task.task_id,
        job_id=row.job.job_id,
        attempt=row.attempts,
        worker_id=worker.worker_id,
    )
    state.commands.append(command)


def park_if_impossible(state: tables.Tables, row: rows.Job) -> bool:
    """Parks a waiting job that is too large for every worker; returns whether it was parked."""
    if not _fits_no_worker(state, row):
        return False
    state.batch_queue.remove(row, priority=state.priority_of(row.job.work_class))
    row.parked = True
    state.parked[row.job.job_id] = row
    command = commands.ParkJob(job_id=row.job.job_id, reason="no-worker-can-hold-it")
    state.commands.append(command)
    return True


def _fits_no_worker(state: tables.Tables, row: rows.Job) -> bool:
    """Returns whether a job is too large for every worker; checked once per set of workers."""
    if row.fit_checked_version == state.workers_version:
        return False
    row.fit_checked_version = state.workers_version
    any_live = False
    for worker in state.workers.values():
        if worker.leaving:
            continue
        any_live = True
        if row.job.demand.fits(worker.capacity):
            return False
    return any_live
