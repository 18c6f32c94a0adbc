"""Holds a worker's room for a job that is too large for what smaller jobs leave free."""

from __future__ import annotations

from ebonyhatch.core import capacity, rows, tables
from ebonyhatch.core.systems import batch_placement

HOLDS_SHARE = 0.05
"""Most workers that are held at once, as a share of all; at least one."""

MISSING_LIMIT = 0.25
"""Share of a worker that may be missing for a job to hold it, unless it waits very long."""

HOLD_ANYWAY_S = 600.0
"""Wait after which a job holds a worker however much is missing."""


def run(state: tables.Tables) -> None:
    """Start held jobs that fit now, and hold workers for those that wait."""
    for job_id, worker in list(state.holds.items()):
        _try(state, job_id, worker)
    limit = max(1, int(HOLDS_SHARE * len(state.workers)))
    while state.misfits and len(state.holds) < limit:
        row = state.misfits.pop()
        waits = row.task is None and not row.parked and row.job.job_id in state.jobs
        if waits and row.job.job_id not in state.holds:
            _hold(state, row)
    state.misfits.clear()


def _try(state: tables.Tables, job_id: str, worker: rows.Worker) -> None:
    row = state.jobs.get(job_id)
    waits = row is not None and row.task is None and not row.parked
    if row is None or not waits or _unfit(worker):
        _let_go(state, job_id, worker)
    elif _fits(state, row, worker):
        _let_go(state, job_id, worker)
        priority = state.priority_of(row.job.work_class)
        batch_placement.start(state, row, worker, priority=priority)


def _fits(state: tables.Tables, row: rows.Job, worker: rows.Worker) -> bool:
    demand = batch_placement.reserved(state, row)
    return capacity.fits(worker, demand) and batch_placement.allowed(state, row, worker)


def _unfit(worker: rows.Worker) -> bool:
    return worker.leaving or worker.barred or worker.reserved_for_urgent


def _hold(state: tables.Tables, row: rows.Job) -> None:
    candidates = [
        worker
        for worker in state.workers.values()
        if not (_unfit(worker) or worker.held) and row.job.demand.fits(worker.capacity)
    ]
    if not candidates:
        return
    worker = min(candidates, key=lambda entry: _missing(entry, row))
    patient = state.now - row.queued_at < HOLD_ANYWAY_S
    if patient and _missing(worker, row) > MISSING_LIMIT:
        return
    worker.held = True
    state.holds[row.job.job_id] = worker
    state.touch(worker)


def _missing(worker: rows.Worker, row: rows.Job) -> float:
    """Shares of the worker that must come free before the job fits."""
    demand = row.job.demand
    total = worker.capacity
    return (
        max(0.0, demand.cores - worker.free_cores) / max(total.cores, 1e-9)
        + max(0.0, demand.memory_gb - worker.free_memory_gb) / max(total.memory_gb, 1e-9)
        + max(0, demand.slots - worker.free_slots) / max(total.slots, 1)
        + max(0, demand.accelerators - worker.free_accelerators)
    )


def _let_go(state: tables.Tables, job_id: str, worker: rows.Worker) -> None:
    del state.holds[job_id]
    worker.held = False
    state.batch_dirty = True
    if worker.worker_id in state.workers:
        state.touch(worker)
