"""Applies usage reports, and throttles and evicts tasks on overloaded workers."""

from __future__ import annotations

from ebonyhatch.core import events, eviction_costs, rows, tables
from ebonyhatch.core.systems import eviction, ingest, sharing

RELIEF_INTERVAL_S = 12.0
"""Least time between two evictions from an overloaded worker, seconds.

It is the longest delay of a usage report, so that the reports show the effect of the first.
"""


@ingest.handler(events.UsageReported)
def usage_reported(state: tables.Tables, event: events.UsageReported) -> None:
    """Records sizes, learns interference, and records whether the worker is above a limit."""
    worker = state.workers.get(event.worker_id)
    if worker is None:
        return
    for entry in event.tasks:
        task = state.tasks.get(entry.task_id)
        if task is not None:
            state.sizes.record_usage(task.job.job.work_class, entry.usage)
    sharing.apply_report(state, worker, event)
    if event.sampled_at < worker.load_sampled_at:
        return
    overloaded = (
        event.usage.cores > worker.capacity.cores
        or event.usage.memory_gb > worker.capacity.memory_gb
    )
    if overloaded != worker.overloaded:
        worker.overloaded = overloaded
        state.reindex_worker(worker)


def run(state: tables.Tables) -> None:
    """Evicts the cheapest task of each overloaded worker and throttles the others."""
    for worker in state.workers.values():
        if worker.overloaded and state.now >= worker.overload_relieved_at + RELIEF_INTERVAL_S:
            _relieve_worker(state, worker)


def _relieve_worker(state: tables.Tables, worker: rows.Worker) -> None:
    running = [task for task in worker.tasks.values() if task.state is rows.TaskState.RUNNING]
    if not running:
        return
    worker.overload_relieved_at = state.now
    cheapest = min(running, key=lambda task: eviction_costs.cost_with_checkpoint(state, task))
    for task in running:
        if task is not cheapest and task.speed_fraction > eviction.THROTTLED_FRACTION:
            eviction.throttle(state, task, speed_fraction=eviction.THROTTLED_FRACTION)
    eviction.evict_task(state, cheapest, checkpoint=True)
