"""Takes slots back from batch work, the cheapest first, within a budget."""

from __future__ import annotations

import math

from ebonyhatch.core import commands, eviction_costs, rows, tables
from ebonyhatch.core.systems import health, reserve

TOLERANCE = 0.3
"""Shortage that is borne without evictions, in square roots of the need."""

CHEAP_S = 5.0
"""Work that may be lost to rid reserved workers of harmful tasks, seconds."""

PATIENCE = ((2.5, math.inf), (2.0, 90.0), (1.5, 30.0), (1.0, 15.0))
"""Waits of urgent work, in patiences, and the work that may then be lost in a task, seconds."""

DRAIN_S = 0.8
"""Time in which a queue of requests is to be worked off, seconds."""

THROTTLED = 0.5
"""Share of its speed at which a harmful task goes on until it can be saved."""


def run(state: tables.Tables) -> None:
    """Take back what urgent work needs."""
    state.budget.refill(
        now=state.now,
        limit=state.settings.eviction_budget * state.total_slots,
        refill_s=state.settings.eviction_refill_s,
    )
    _end_hung_starts(state)
    _clear_reserved(state)
    if -state.reserve.surplus > TOLERANCE * math.sqrt(state.reserve.need):
        _take_back(state)
    _relieve(state)


def _take_back(state: tables.Tables) -> None:
    """Evict what is short, less what is being evicted already."""
    running = _running(state)
    held = sum(task.demand.slots for task in running)
    slots = state.reserve.slots if state.harmful else state.total_slots
    short = int(state.reserve.need - (slots - held))
    if short > TOLERANCE * math.sqrt(state.reserve.need):
        _evict(state, running, slots=short)


def _end_hung_starts(state: tables.Tables) -> None:
    """Evict what a worker never confirmed to have started."""
    for worker in state.workers.values():
        if not worker.barred:
            continue
        for task in list(worker.tasks.values()):
            late = state.now - task.placed_at > health.START_LIMIT_S
            if task.state is rows.TaskState.STARTING and late:
                evict_task(state, task, checkpoint=False)


def _running(state: tables.Tables) -> list[rows.Task]:
    return [
        task
        for worker in reserve.usable(state)
        for task in worker.tasks.values()
        if task.state is rows.TaskState.RUNNING or task.state is rows.TaskState.STARTING
    ]


def _evict(state: tables.Tables, tasks: list[rows.Task], *, slots: int) -> None:
    limit_s = state.settings.eviction_cost_limit_s
    costs = [(eviction_costs.with_checkpoint(state, task), task) for task in tasks]
    for cost_s, task in sorted(costs, key=lambda entry: entry[0]):
        if slots <= 0 or cost_s > limit_s or not state.budget.take():
            return
        slots -= task.demand.slots
        evict_task(state, task, checkpoint=True)


def _relieve(state: tables.Tables) -> None:
    """Stop tasks unsaved when urgent work waits too long for checkpoints."""
    head = state.urgent.head()
    if head is None:
        return
    waits = (state.now - head.request.arrived_at) / state.settings.patience_s
    limit_s = next((cost_s for wait, cost_s in PATIENCE if waits > wait), 0.0)
    if not limit_s:
        return
    tasks = [
        task for task in _running(state) if eviction_costs.unsaved_s(task, now=state.now) < limit_s
    ]
    slots = int(len(state.urgent) * state.demand.service_s / DRAIN_S) - _relieved(state)
    if slots <= 0:
        return
    state.reserve.relieved.append((state.now, slots))
    for task in sorted(tasks, key=lambda entry: eviction_costs.at_once(state, entry)):
        if slots <= 0 or not state.budget.take():
            return
        slots -= task.demand.slots
        evict_task(state, task, checkpoint=False)


def _relieved(state: tables.Tables) -> int:
    """Slots that were taken back for the same queue."""
    recent = [entry for entry in state.reserve.relieved if entry[0] > state.now - DRAIN_S]
    state.reserve.relieved = recent
    return sum(slots for _, slots in recent)


def _clear_reserved(state: tables.Tables) -> None:
    """Rid reserved workers of harmful tasks: throttle, and evict when that is cheap."""
    for worker in state.reserve.workers.values():
        for task in list(worker.tasks.values()):
            if task.job.job.work_class not in state.harmful:
                continue
            if task.state is rows.TaskState.RUNNING:
                _ease(state, task)


def _ease(state: tables.Tables, task: rows.Task) -> None:
    cheap = eviction_costs.unsaved_s(task, now=state.now) < CHEAP_S
    if (cheap or eviction_costs.savable(state, task)) and state.budget.take():
        evict_task(state, task, checkpoint=True)
    elif task.share > THROTTLED:
        throttle(state, task, share=THROTTLED)


def throttle(state: tables.Tables, task: rows.Task, *, share: float) -> None:
    """Set the share of its speed at which an attempt runs."""
    eviction_costs.settle(task, now=state.now)
    task.share = share
    state.recompose(task.worker)
    command = commands.ThrottleTask(
        task_id=task.task_id, worker_id=task.worker.worker_id, share=share
    )
    state.commands.append(command)


def evict_task(state: tables.Tables, task: rows.Task, *, checkpoint: bool) -> None:
    """Evict one attempt; its work is saved first if asked and possible."""
    checkpoint = checkpoint and eviction_costs.savable(state, task)
    if checkpoint and task.share > THROTTLED and task.job.job.work_class in state.harmful:
        throttle(state, task, share=THROTTLED)
    task.state = rows.TaskState.EVICTING
    task.asked_at = state.now
    task.job.evictions += 1
    command = commands.EvictTask(
        task_id=task.task_id, worker_id=task.worker.worker_id, checkpoint=checkpoint
    )
    state.commands.append(command)
