"""Places jobs: by priority, the short lane first, fair between tenants, within quotas."""

from __future__ import annotations

from ebonyhatch.core import batch_queue, capacity, commands, resources, rows, tables

CANDIDATES_LIMIT = 8
"""Workers that are looked at for one job."""

SCAN_LIMIT = 32
"""Jobs that are looked at in a lane before it is left for this tick."""

LEAST_CHARGE_S = 1.0

HOLD_AFTER_S = 5.0
"""Wait of the first job of a queue after which a worker is held for it."""


def run(state: tables.Tables) -> None:
    """Start queued jobs until nothing more fits."""
    if not state.batch_dirty:
        return
    state.batch_dirty = False
    for priority in state.batch.priorities():
        for lane in _lanes(state):
            _place_lane(state, priority, lane)


def _lanes(state: tables.Tables) -> tuple[rows.Lane, rows.Lane]:
    """The short lane goes first until it holds its share of the slots in use."""
    share = state.short_slots / max(1, state.batch_slots)
    if share > state.settings.short_share:
        return (rows.Lane.LONG, rows.Lane.SHORT)
    return (rows.Lane.SHORT, rows.Lane.LONG)


def _place_lane(state: tables.Tables, priority: int, lane: rows.Lane) -> None:
    waiting = state.batch.waiting(priority=priority, lane=lane)
    tenants = dict(waiting)
    left = SCAN_LIMIT
    while tenants and left > 0 and _any_room(state):
        name = min(
            tenants,
            key=lambda tenant: state.batch.served(priority=priority, lane=lane, tenant=tenant),
        )
        misses = _place_first(state, tenants[name], priority, left)
        if misses:
            left -= misses
            del tenants[name]
        elif not len(tenants[name]):
            del tenants[name]


def _any_room(state: tables.Tables) -> bool:
    if state.reserve.lendable > 0:
        return len(state.batch_workers) > 0
    return bool(state.harmful) and state.batch_workers.holds(level=0)


def _place_first(
    state: tables.Tables, queue: batch_queue.TenantQueue, priority: int, limit: int
) -> int:
    """Place the first job of a queue that fits; give the number of misses if none does."""
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
        if not misses and state.now - row.queued_at > HOLD_AFTER_S:
            state.misfits.append(row)
        misses += 1
    return max(misses, 1)


def _within_quota(state: tables.Tables, row: rows.Job) -> bool:
    tenant = state.tenants.get(row.job.tenant)
    if tenant is None or tenant.quota is None:
        return True
    held = state.tenant_use.get(row.job.tenant, resources.NONE)
    return (held + row.job.demand).fits(tenant.quota)


def _worker_for(state: tables.Tables, row: rows.Job) -> rows.Worker | None:
    harmful = row.job.work_class in state.harmful
    lendable = state.reserve.lendable >= row.job.demand.slots
    if not state.harmful and not lendable:
        return None
    demand = reserved(state, row)
    fallback = None
    for count, worker in enumerate(state.batch_workers.best()):
        if count >= CANDIDATES_LIMIT:
            break
        if worker.reserved_for_urgent and (harmful or not lendable):
            break
        if not capacity.fits(worker, demand):
            continue
        if worker.worker_id != row.avoid_worker_id:
            return worker
        fallback = worker
    return fallback


def reserved(state: tables.Tables, row: rows.Job) -> resources.Resources:
    """What is reserved for a job, within what some worker holds."""
    demand = state.sizes.reserved(row.job, quantile=state.settings.size_quantile)
    if demand is not row.job.demand and not any(
        demand.fits(worker.capacity) for worker in state.workers.values()
    ):
        return row.job.demand
    return demand


def allowed(state: tables.Tables, row: rows.Job, worker: rows.Worker) -> bool:
    """Tell whether the reserve lets a job start on a worker with room for it."""
    if not _within_quota(state, row):
        return False
    if state.counts_for_urgent(worker):
        return state.reserve.lendable >= row.job.demand.slots
    return True


def start(state: tables.Tables, row: rows.Job, worker: rows.Worker, *, priority: int) -> None:
    """Start the next attempt of a job."""
    state.batch.remove(row, priority=priority)
    tenant = state.tenants.get(row.job.tenant)
    weight = tenant.weight if tenant is not None else 1.0
    expected_s = max(LEAST_CHARGE_S, state.run_times.estimate_s(row.job) - row.progress_s)
    amount = expected_s * row.job.demand.slots / max(weight, 1e-6)
    state.batch.charge(row, priority=priority, amount=amount)
    row.attempts += 1
    row.avoid_worker_id = ""
    task = rows.Task(
        task_id=f"{row.job.job_id}/{row.attempts}",
        job=row,
        worker=worker,
        demand=reserved(state, row),
        placed_at=state.now,
        resumed_s=row.progress_s,
        saved_at=state.now,
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
    """Park a waiting job that no worker could hold; tell whether it was parked."""
    if not _impossible(state, row):
        return False
    state.batch.remove(row, priority=state.priority_of(row.job.work_class))
    row.parked = True
    state.parked[row.job.job_id] = row
    command = commands.ParkJob(job_id=row.job.job_id, reason="no-worker-can-hold-it")
    state.commands.append(command)
    return True


def _impossible(state: tables.Tables, row: rows.Job) -> bool:
    """Worked out once for each set of workers."""
    if row.judged_at == state.workers_version:
        return False
    row.judged_at = state.workers_version
    any_live = False
    for worker in state.workers.values():
        if worker.leaving:
            continue
        any_live = True
        if row.job.demand.fits(worker.capacity):
            return False
    return any_live
