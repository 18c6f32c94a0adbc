"""Handlers of events about workers and configuration."""

from __future__ import annotations

from ebonyhatch.core import capacity, events, resources, rows, settings, tables
from ebonyhatch.core.systems import ingest, requeue


@ingest.handler(events.ClassesChanged)
def classes_changed(state: tables.Tables, event: events.ClassesChanged) -> None:
    """Replaces classes and tenants; queued jobs move to the priorities now in force."""
    waiting = [row for row in state.jobs.values() if row.task is None and not row.parked]
    for row in waiting:
        state.batch_queue.remove(row, priority=state.priority_of(row.job.work_class))
    state.classes = {entry.name: entry for entry in event.classes}
    state.tenants = {entry.name: entry for entry in event.tenants}
    state.settings = settings.from_classes(event.classes, defaults=state.defaults)
    for row in waiting:
        state.queue_job(row)


@ingest.handler(events.WorkerJoined)
def worker_joined(state: tables.Tables, event: events.WorkerJoined) -> None:
    """Adds a worker, or updates its capacity and resets its health."""
    worker = find_or_add(state, event.worker_id)
    worker.failure_domain = event.failure_domain
    worker.rack = event.rack
    if worker.reserved_for_urgent:
        state.reserve.slots += event.capacity.slots - worker.capacity.slots
    worker.capacity = event.capacity
    worker.leaving = False
    worker.quarantined = False
    worker.health_record = rows.HealthRecord()
    capacity.recount(worker)
    state.reindex_worker(worker)
    state.workers_version += 1
    requeue.unpark(state)
    state.next_period_at = state.now
    state.batch_placement_due = True


@ingest.handler(events.WorkerLeaving)
def worker_leaving(state: tables.Tables, event: events.WorkerLeaving) -> None:
    """Records that a worker gets no new work."""
    worker = state.workers.get(event.worker_id)
    if worker is not None:
        worker.leaving = True
        state.workers_version += 1
        state.reindex_worker(worker)


@ingest.handler(events.WorkerGone)
def worker_gone(state: tables.Tables, event: events.WorkerGone) -> None:
    """Removes a worker; its attempts have ended, and its requests wait for their outcome."""
    worker = state.workers.pop(event.worker_id, None)
    if worker is None:
        return
    worker.leaving = True
    state.workers_version += 1
    for task in list(worker.tasks.values()):
        requeue.attempt_ended(state, task)
    state.reindex_worker(worker)


def find_or_add(state: tables.Tables, worker_id: str) -> rows.Worker:
    """Returns a worker; an unknown one is added without capacity."""
    worker = state.workers.get(worker_id)
    if worker is None:
        worker = rows.Worker(
            worker_id=worker_id,
            failure_domain="",
            rack="",
            capacity=resources.NONE,
            leaving=True,
        )
        state.workers[worker_id] = worker
    return worker
