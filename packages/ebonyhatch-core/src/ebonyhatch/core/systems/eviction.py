"""Evicts batch tasks to free slots for urgent work, cheapest first and within a budget."""

from __future__ import annotations

import math

from ebonyhatch.core import commands, eviction_costs, rows, tables
from ebonyhatch.core.systems import health, reserve

SHORTAGE_TOLERANCE = 0.3
"""Shortage below which nothing is evicted, in square roots of the needed slots."""

CHEAP_EVICTION_S = 5.0
"""Unsaved work of an interfering task below which it is evicted from a reserved worker, seconds."""

WAIT_COST_LIMITS = ((2.5, math.inf), (2.0, 90.0), (1.5, 30.0), (1.0, 15.0))
"""Limits of the unsaved work that a task may lose, by waiting time of urgent work.

Each pair gives a waiting time in multiples of the setting `patience_s`, and the limit above that
waiting time, seconds.
"""

QUEUE_DRAIN_S = 0.8
"""Time in which a queue of requests should be served, seconds."""

THROTTLED_FRACTION = 0.5
"""Fraction of full speed at which an interfering task runs until it can be checkpointed."""


def run(state: tables.Tables) -> None:
    """Evicts tasks where urgent work needs their slots."""
    state.eviction_budget.refill(
        now=state.now,
        limit=state.settings.eviction_budget * state.total_slots,
        refill_s=state.settings.eviction_refill_s,
    )
    _evict_unconfirmed_starts(state)
    _clear_interfering_tasks(state)
    if -state.reserve.surplus_slots > SHORTAGE_TOLERANCE * math.sqrt(state.reserve.needed_slots):
        _reclaim_shortage(state)
    _evict_for_waiting_requests(state)


def _reclaim_shortage(state: tables.Tables) -> None:
    """Evicts tasks for the missing slots that current evictions will not free."""
    running = _running(state)
    used = sum(task.demand.slots for task in running)
    slots = state.reserve.slots if state.interfering_classes else state.total_slots
    missing_slots = int(state.reserve.needed_slots - (slots - used))
    if missing_slots > SHORTAGE_TOLERANCE * math.sqrt(state.reserve.needed_slots):
        _evict(state, running, slots=missing_slots)


def _evict_unconfirmed_starts(state: tables.Tables) -> None:
    """Evicts tasks whose start a quarantined worker did not confirm in time."""
    for worker in state.workers.values():
        if not worker.quarantined:
            continue
        for task in list(worker.tasks.values()):
            timed_out = state.now - task.placed_at > health.START_TIMEOUT_S
            if task.state is rows.TaskState.STARTING and timed_out:
                evict_task(state, task, checkpoint=False)


def _running(state: tables.Tables) -> list[rows.Task]:
    return [
        task
        for worker in reserve.usable_workers(state)
        for task in worker.tasks.values()
        if task.state is rows.TaskState.RUNNING or task.state is rows.TaskState.STARTING
    ]


def _evict(state: tables.Tables, tasks: list[rows.Task], *, slots: int) -> None:
    limit_s = state.settings.eviction_cost_limit_s
    costs = [(eviction_costs.cost_with_checkpoint(state, task), task) for task in tasks]
    for cost_s, task in sorted(costs, key=lambda entry: entry[0]):
        if slots <= 0 or cost_s > limit_s or not state.eviction_budget.spend():
            return
        slots -= task.demand.slots
        evict_task(state, task, checkpoint=True)


def _evict_for_waiting_requests(state: tables.Tables) -> None:
    """Stops tasks without a checkpoint when urgent work has waited too long."""
    head = state.urgent_queue.head()
    if head is None:
        return
    wait_ratio = (state.now - head.request.arrived_at) / state.settings.patience_s
    limit_s = next(
        (cost_s for threshold, cost_s in WAIT_COST_LIMITS if wait_ratio > threshold), 0.0
    )
    if not limit_s:
        return
    tasks = [
        task for task in _running(state) if eviction_costs.unsaved_s(task, now=state.now) < limit_s
    ]
    slots = int(
        len(state.urgent_queue) * state.demand.service_s / QUEUE_DRAIN_S
    ) - _recently_reclaimed_slots(state)
    if slots <= 0:
        return
    state.reserve.reclaimed.append((state.now, slots))
    for task in sorted(
        tasks, key=lambda entry: eviction_costs.cost_without_checkpoint(state, entry)
    ):
        if slots <= 0 or not state.eviction_budget.spend():
            return
        slots -= task.demand.slots
        evict_task(state, task, checkpoint=False)


def _recently_reclaimed_slots(state: tables.Tables) -> int:
    """Returns the slots reclaimed for waiting requests in the last `QUEUE_DRAIN_S` seconds."""
    recent = [entry for entry in state.reserve.reclaimed if entry[0] > state.now - QUEUE_DRAIN_S]
    state.reserve.reclaimed = recent
    return sum(slots for _, slots in recent)


def _clear_interfering_tasks(state: tables.Tables) -> None:
    """Evicts interfering tasks from reserved workers when that is cheap, else throttles them."""
    for worker in state.reserve.workers.values():
        for task in list(worker.tasks.values()):
            if task.job.job.work_class not in state.interfering_classes:
                continue
            if task.state is rows.TaskState.RUNNING:
                _evict_or_throttle(state, task)


def _evict_or_throttle(state: tables.Tables, task: rows.Task) -> None:
    cheap = eviction_costs.unsaved_s(task, now=state.now) < CHEAP_EVICTION_S
    if (cheap or eviction_costs.can_checkpoint(state, task)) and state.eviction_budget.spend():
        evict_task(state, task, checkpoint=True)
    elif task.speed_fraction > THROTTLED_FRACTION:
        throttle(state, task, speed_fraction=THROTTLED_FRACTION)


def throttle(state: tables.Tables, task: rows.Task, *, speed_fraction: float) -> None:
    """Sets the fraction of full speed at which an attempt runs."""
    eviction_costs.update_unsaved(task, now=state.now)
    task.speed_fraction = speed_fraction
    state.update_colocated_classes(task.worker)
    command = commands.ThrottleTask(
        task_id=task.task_id, worker_id=task.worker.worker_id, share=speed_fraction
    )
    state.commands.append(command)


def evict_task(state: tables.Tables, task: rows.Task, *, checkpoint: bool) -> None:
    """Evicts one attempt.

    Its work is saved first if `checkpoint` is set and the attempt can be checkpointed.
    """
    checkpoint = checkpoint and eviction_costs.can_checkpoint(state, task)
    if (
        checkpoint
        and task.speed_fraction > THROTTLED_FRACTION
        and task.job.job.work_class in state.interfering_classes
    ):
        throttle(state, task, speed_fraction=THROTTLED_FRACTION)
    task.state = rows.TaskState.EVICTING
    task.stop_requested_at = state.now
    task.job.evictions += 1
    command = commands.EvictTask(
        task_id=task.task_id, worker_id=task.worker.worker_id, checkpoint=checkpoint
    )
    state.commands.append(command)
