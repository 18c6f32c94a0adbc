"""Keeps slots for urgent work: as many as its demand, slope and recent peak ask for.

Where no class in use does harm, any worker may carry both kinds of work and only the number
of slots counts. Otherwise whole workers are kept free of the harmful classes.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from ebonyhatch.core import eviction_costs, rows, tables

SOON_S = 1.2
"""How far ahead slots are made ready along the slope of the demand."""

SHRINK_SPREAD = 0.15
"""Slots that must be left over when a worker is given up, in square roots of the need."""

LENT_LIMIT = 8
"""Most slots of reserved workers that batch work may hold."""


def run(state: tables.Tables) -> None:
    """Work out what urgent work needs and fit the reserve to it."""
    reserve = state.reserve
    state.demand.roll(now=state.now)
    state.drain.roll(now=state.now)
    state.wait_s = state.drain.wait_s(queued=len(state.urgent))
    reserve.need = _need(state)
    _drop_unusable(state)
    if not state.harmful:
        _dissolve(state)
    else:
        reserve.held_costly = sum(_costly(state, worker) for worker in reserve.workers.values())
        _fit(state)
    _lend(state)


def usable(state: tables.Tables) -> Iterable[rows.Worker]:
    """Workers whose slots count for urgent work."""
    if state.harmful:
        return state.reserve.workers.values()
    return [worker for worker in state.workers.values() if not _unusable(worker)]


def _need(state: tables.Tables) -> float:
    demand = state.demand
    soon = demand.forecast(ahead_s=SOON_S)
    if demand.surging(now=state.now):
        soon = max(soon, demand.peak * state.settings.peak_share)
        soon *= state.settings.surge_margin
    spread = state.settings.reserve_spread
    least = math.floor(state.settings.reserve_least * state.total_slots)
    return min(float(state.total_slots), max(least, soon + spread * math.sqrt(soon)))


def _unusable(worker: rows.Worker) -> bool:
    return worker.leaving or worker.barred


def _drop_unusable(state: tables.Tables) -> None:
    for worker in list(state.reserve.workers.values()):
        if _unusable(worker) or worker.worker_id not in state.workers:
            _remove(state, worker)


def _dissolve(state: tables.Tables) -> None:
    for worker in list(state.reserve.workers.values()):
        _remove(state, worker)


def _fit(state: tables.Tables) -> None:
    reserve = state.reserve
    if reserve.slots - reserve.held_costly < reserve.need:
        _grow(state)
        reserve.enough_since = state.now
    else:
        _shrink(state)


def _grow(state: tables.Tables) -> None:
    reserve = state.reserve
    others = [
        worker
        for worker in state.workers.values()
        if not (worker.reserved_for_urgent or _unusable(worker))
    ]
    others.sort(key=lambda worker: _cost(state, worker))
    for worker in others:
        if reserve.slots - reserve.held_costly >= reserve.need:
            return
        worker.reserved_for_urgent = True
        reserve.workers[worker.worker_id] = worker
        reserve.slots += worker.capacity.slots
        reserve.held_costly += _costly(state, worker)
        state.touch(worker)


def _cost(state: tables.Tables, worker: rows.Worker) -> float:
    tasks = worker.tasks.values()
    return sum(eviction_costs.with_checkpoint(state, task) for task in tasks)


def _costly(state: tables.Tables, worker: rows.Worker) -> int:
    """Slots of a worker that harmful tasks hold and that would cost too much to take back."""
    limit_s = state.settings.eviction_cost_limit_s
    return sum(
        task.demand.slots
        for task in worker.tasks.values()
        if task.job.job.work_class in state.harmful
        and task.state is not rows.TaskState.EVICTING
        and eviction_costs.with_checkpoint(state, task) > limit_s
    )


def _shrink(state: tables.Tables) -> None:
    reserve = state.reserve
    wanted = reserve.need + SHRINK_SPREAD * math.sqrt(reserve.need) + reserve.held_costly
    while reserve.workers:
        fullest = max(reserve.workers.values(), key=lambda worker: worker.batch_slots)
        if reserve.slots - fullest.capacity.slots < wanted:
            reserve.enough_since = state.now
            return
        if state.now - reserve.enough_since < state.settings.hold_s:
            return
        _remove(state, fullest)


def _remove(state: tables.Tables, worker: rows.Worker) -> None:
    del state.reserve.workers[worker.worker_id]
    state.reserve.slots -= worker.capacity.slots
    worker.reserved_for_urgent = False
    state.touch(worker)
    state.batch_dirty = True


def _lend(state: tables.Tables) -> None:
    reserve = state.reserve
    slots = reserve.slots if state.harmful else state.total_slots
    held = sum(worker.batch_slots for worker in usable(state))
    surplus = int(slots - reserve.need) - held
    reserve.surplus = surplus
    if state.harmful:
        surplus = min(surplus, LENT_LIMIT - held)
    if surplus > 0:
        state.batch_dirty = True
    reserve.lendable = surplus
