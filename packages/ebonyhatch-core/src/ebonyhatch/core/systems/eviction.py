"""Takes slots back from batch work, the cheapest first, within a budget."""

from __future__ import annotations

import math
from collections.abc import Callable

from ebonyhatch.core import commands, eviction_costs, rows, tables

Cost = Callable[[tables.Tables, rows.Task], float]

TOLERANCE = 0.3
"""Shortage that is borne without evictions, in square roots of the need."""


def run(state: tables.Tables) -> None:
    """Take back what urgent work needs now, then what it will need soon."""
    state.budget.refill(
        now=state.now,
        limit=state.settings.eviction_budget * state.total_slots,
        refill_s=state.settings.eviction_refill_s,
    )
    reserve = state.reserve
    running, held, leaving_now = _survey(state)
    free = reserve.slots - held
    short_now = int(reserve.need_now - free - leaving_now)
    if short_now > 0:
        evict(state, running, slots=short_now, at_once=True)
        running = [task for task in running if task.state is rows.TaskState.RUNNING]
    held = sum(task.demand.slots for task in running)
    short_soon = int(reserve.need_soon - (reserve.slots - held))
    if short_soon > TOLERANCE * math.sqrt(reserve.need_soon):
        evict(state, running, slots=short_soon, at_once=False)


def _survey(state: tables.Tables) -> tuple[list[rows.Task], int, int]:
    running: list[rows.Task] = []
    held = 0
    leaving_now = 0
    for worker in state.reserve.workers.values():
        for task in worker.tasks.values():
            held += task.demand.slots
            if task.state is rows.TaskState.RUNNING or task.state is rows.TaskState.STARTING:
                running.append(task)
            elif not task.saving:
                leaving_now += task.demand.slots
    return running, held, leaving_now


def evict(state: tables.Tables, tasks: list[rows.Task], *, slots: int, at_once: bool) -> None:
    """Evict the cheapest of `tasks` until `slots` are on their way back."""
    cost = eviction_costs.at_once if at_once else eviction_costs.with_checkpoint
    for task in sorted(tasks, key=lambda entry: cost(state, entry)):
        if slots <= 0 or not state.budget.take():
            return
        slots -= task.demand.slots
        evict_task(state, task, checkpoint=not at_once)


def evict_task(state: tables.Tables, task: rows.Task, *, checkpoint: bool) -> None:
    """Evict one attempt; its work is saved first if asked and possible."""
    checkpoint = checkpoint and eviction_costs.savable(state, task)
    task.state = rows.TaskState.EVICTING
    task.saving = checkpoint
    task.asked_at = state.now
    task.job.evictions += 1
    command = commands.EvictTask(
        task_id=task.task_id, worker_id=task.worker.worker_id, checkpoint=checkpoint
    )
    state.commands.append(command)
