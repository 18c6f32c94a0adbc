"""Reserves free capacity of a worker for a large job that smaller jobs would keep from starting."""

from __future__ import annotations

from ebonyhatch.core import capacity, rows, tables
from ebonyhatch.core.systems import batch_placement

MAX_RESERVED_FRACTION = 0.05
"""Largest fraction of the workers that may be reserved at the same time; at least one may."""

MAX_MISSING_FRACTION = 0.25
"""Largest missing capacity at which a job may reserve a worker.

In fractions of the worker's capacity, summed over the kinds of resources; each missing
accelerator counts as 1.

The limit does not apply to a job that has waited for `RESERVE_ANYWAY_S`.
"""

RESERVE_ANYWAY_S = 600.0
"""Waiting time after which a job may reserve a worker whatever is missing, seconds."""


def run(state: tables.Tables) -> None:
    """Starts jobs that fit on their reserved worker now, and reserves workers for waiting jobs."""
    for job_id, worker in list(state.job_reservations.items()):
        _start_or_release(state, job_id, worker)
    limit = max(1, int(MAX_RESERVED_FRACTION * len(state.workers)))
    while state.reservation_candidates and len(state.job_reservations) < limit:
        row = state.reservation_candidates.pop()
        waits = row.task is None and not row.parked and row.job.job_id in state.jobs
        if waits and row.job.job_id not in state.job_reservations:
            _reserve_worker(state, row)
    state.reservation_candidates.clear()


def _start_or_release(state: tables.Tables, job_id: str, worker: rows.Worker) -> None:
    row = state.jobs.get(job_id)
    waits = row is not None and row.task is None and not row.parked
    if row is None or not waits or _unusable(worker):
        _release_worker(state, job_id, worker)
    elif _fits(state, row, worker):
        _release_worker(state, job_id, worker)
        priority = state.priority_of(row.job.work_class)
        batch_placement.start(state, row, worker, priority=priority)


def _fits(state: tables.Tables, row: rows.Job, worker: rows.Worker) -> bool:
    demand = batch_placement.reservation_for(state, row)
    return capacity.fits(worker, demand) and batch_placement.may_start(state, row, worker)


def _unusable(worker: rows.Worker) -> bool:
    return worker.leaving or worker.quarantined or worker.reserved_for_urgent


def _reserve_worker(state: tables.Tables, row: rows.Job) -> None:
    candidates = [
        worker
        for worker in state.workers.values()
        if not (_unusable(worker) or worker.reserved_for_job)
        and row.job.demand.fits(worker.capacity)
    ]
    if not candidates:
        return
    worker = min(candidates, key=lambda entry: _missing_fractions(entry, row))
    below_wait_limit = state.now - row.queued_at < RESERVE_ANYWAY_S
    if below_wait_limit and _missing_fractions(worker, row) > MAX_MISSING_FRACTION:
        return
    worker.reserved_for_job = True
    state.job_reservations[row.job.job_id] = worker
    state.reindex_worker(worker)


def _missing_fractions(worker: rows.Worker, row: rows.Job) -> float:
    """Returns the fractions of the worker that must become free before the job fits, summed.

    Missing accelerators are counted, not divided by those of the worker.
    """
    demand = row.job.demand
    total = worker.capacity
    return (
        max(0.0, demand.cores - worker.free_cores) / max(total.cores, 1e-9)
        + max(0.0, demand.memory_gb - worker.free_memory_gb) / max(total.memory_gb, 1e-9)
        + max(0, demand.slots - worker.free_slots) / max(total.slots, 1)
        + max(0, demand.accelerators - worker.free_accelerators)
    )


def _release_worker(state: tables.Tables, job_id: str, worker: rows.Worker) -> None:
    del state.job_reservations[job_id]
    worker.reserved_for_job = False
    state.batch_placement_due = True
    if worker.worker_id in state.workers:
        state.reindex_worker(worker)
