"""Builds the operators' view of a scheduler from the tables."""

from __future__ import annotations

from ebonyhatch.core import entities, resources, rows, tables, views


def build(state: tables.Tables) -> views.View:
    """Builds the whole view; the cost grows with the number of workers, requests and jobs."""
    return views.View(
        workers=tuple(_worker(row, state.now) for row in state.workers.values()),
        queues=_queues(state),
        parked=tuple(_parked(row) for row in state.parked.values()),
        reserve_slots=state.reserve.slots,
        crest=state.demand.surging(now=state.now),
        retries_left=state.retry_budget.tokens,
        slowdowns=_slowdowns(state),
    )


def _worker(row: rows.Worker, now: float) -> views.WorkerView:
    capacity = row.capacity
    free = resources.Resources(
        slots=row.free_slots,
        connections=row.free_connections,
        cores=row.free_cores,
        memory_gb=row.free_memory_gb,
        accelerators=row.free_accelerators,
    )
    return views.WorkerView(
        worker_id=row.worker_id,
        health=_health(row),
        capacity=capacity,
        reserved=capacity - free,
        load=row.load,
        load_age_s=now - row.load_sampled_at if row.load_sampled_at >= 0 else None,
    )


def _health(row: rows.Worker) -> str:
    if row.leaving:
        return "leaving"
    if row.quarantined:
        return "barred"
    return "overloaded" if row.overloaded else "healthy"


def _queues(state: tables.Tables) -> tuple[views.QueueView, ...]:
    waiting: dict[str, int] = {}
    oldest: dict[str, float] = {}
    for request in state.requests.values():
        if request.state is rows.RequestState.QUEUED:
            name = request.request.work_class
            waiting[name] = waiting.get(name, 0) + 1
            age_s = state.now - request.request.arrived_at
            oldest[name] = max(oldest.get(name, 0.0), age_s)
    for job in state.jobs.values():
        if job.task is None and not job.parked:
            name = job.job.work_class
            waiting[name] = waiting.get(name, 0) + 1
    return tuple(
        views.QueueView(work_class=name, waiting=count, oldest_s=oldest.get(name, 0.0))
        for name, count in sorted(waiting.items())
    )


def _parked(row: rows.Job) -> views.ParkedView:
    reason = f"no worker of the cell is large enough for {row.job.demand}"
    return views.ParkedView(job_id=row.job.job_id, reason=reason)


def _slowdowns(state: tables.Tables) -> tuple[views.SlowdownView, ...]:
    batch = [
        name for name, found in state.classes.items() if found.urgency is entities.Urgency.BATCH
    ]
    load = max((row.load for row in state.workers.values()), default=0.0)
    return tuple(
        views.SlowdownView(batch=name, slowdown=state.interference.slowdown(name, load=load))
        for name in batch
    )
