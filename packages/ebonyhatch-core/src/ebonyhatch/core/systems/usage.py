"""Takes in usage reports, and relieves workers that are measured above a limit."""

from __future__ import annotations

from ebonyhatch.core import events, eviction_costs, rows, tables
from ebonyhatch.core.systems import eviction, ingest, sharing

SETTLE_S = 12.0
"""Reports are this late at worst; until then nothing more is taken back."""


@ingest.handler(events.UsageReported)
def usage_reported(state: tables.Tables, event: events.UsageReported) -> None:
    """Learn sizes and interference, and note whether the worker is above a limit."""
    worker = state.workers.get(event.worker_id)
    if worker is None:
        return
    for entry in event.tasks:
        task = state.tasks.get(entry.task_id)
        if task is not None:
            state.sizes.measured(task.job.job.work_class, entry.usage)
    sharing.reported(state, worker, event)
    if event.sampled_at < worker.load_at:
        return
    over = (
        event.usage.cores > worker.capacity.cores
        or event.usage.memory_gb > worker.capacity.memory_gb
    )
    if over != worker.overloaded:
        worker.overloaded = over
        state.touch(worker)


def run(state: tables.Tables) -> None:
    """Throttle, then evict, on workers that are above a limit."""
    for worker in state.workers.values():
        if worker.overloaded and state.now >= worker.relieved_at + SETTLE_S:
            _relieve(state, worker)


def _relieve(state: tables.Tables, worker: rows.Worker) -> None:
    running = [task for task in worker.tasks.values() if task.state is rows.TaskState.RUNNING]
    if not running:
        return
    worker.relieved_at = state.now
    cheapest = min(running, key=lambda task: eviction_costs.with_checkpoint(state, task))
    for task in running:
        if task is not cheapest and task.share > eviction.THROTTLED:
            eviction.throttle(state, task, share=eviction.THROTTLED)
    eviction.evict_task(state, cheapest, checkpoint=True)
