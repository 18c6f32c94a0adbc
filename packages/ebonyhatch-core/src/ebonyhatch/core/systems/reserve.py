"""Reserves slots for urgent work according to the level, slope and recent peak of its demand.

If no batch class interferes with urgent work, any worker may run both and only the number of
slots counts. Otherwise whole workers are kept free of the interfering classes.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from ebonyhatch.core import eviction_costs, rows, tables

FORECAST_S = 1.2
"""How far ahead the demand is forecast, so that slots are free when it arrives, seconds."""

SHRINK_MARGIN = 0.15
"""Slots that must remain in excess when a worker is released, in square roots of the need."""

MAX_LENT_SLOTS = 8
"""Largest number of slots of reserved workers that batch work may hold."""


def run(state: tables.Tables) -> None:
    """Computes the slots that urgent work needs and resizes the reserve accordingly."""
    reserve = state.reserve
    state.demand.close_bin(now=state.now)
    state.send_rate.update(now=state.now)
    state.urgent_wait_s = state.send_rate.estimate_wait_s(queued=len(state.urgent_queue))
    reserve.needed_slots = _needed_slots(state)
    _drop_unusable(state)
    if not state.interfering_classes:
        _release_all(state)
    else:
        reserve.costly_slots = sum(
            _costly_slots(state, worker) for worker in reserve.workers.values()
        )
        _resize(state)
    _update_lendable_slots(state)


def usable_workers(state: tables.Tables) -> Iterable[rows.Worker]:
    """Returns the workers whose slots count for urgent work."""
    if state.interfering_classes:
        return state.reserve.workers.values()
    return [worker for worker in state.workers.values() if not _unusable(worker)]


def _needed_slots(state: tables.Tables) -> float:
    demand = state.demand
    expected = demand.forecast(ahead_s=FORECAST_S)
    if demand.surging(now=state.now):
        expected = max(expected, demand.peak * state.settings.peak_share)
        expected *= state.settings.surge_margin
    spread = state.settings.reserve_spread
    minimum = math.floor(state.settings.reserve_least * state.total_slots)
    return min(float(state.total_slots), max(minimum, expected + spread * math.sqrt(expected)))


def _unusable(worker: rows.Worker) -> bool:
    return worker.leaving or worker.quarantined


def _drop_unusable(state: tables.Tables) -> None:
    for worker in list(state.reserve.workers.values()):
        if _unusable(worker) or worker.worker_id not in state.workers:
            _remove_worker(state, worker)


def _release_all(state: tables.Tables) -> None:
    for worker in list(state.reserve.workers.values()):
        _remove_worker(state, worker)


def _resize(state: tables.Tables) -> None:
    reserve = state.reserve
    if reserve.slots - reserve.costly_slots < reserve.needed_slots:
        _grow(state)
        reserve.last_fully_needed_at = state.now
    else:
        _shrink(state)


def _grow(state: tables.Tables) -> None:
    reserve = state.reserve
    others = [
        worker
        for worker in state.workers.values()
        if not (worker.reserved_for_urgent or _unusable(worker))
    ]
    others.sort(key=lambda worker: _eviction_cost(state, worker))
    for worker in others:
        if reserve.slots - reserve.costly_slots >= reserve.needed_slots:
            return
        worker.reserved_for_urgent = True
        reserve.workers[worker.worker_id] = worker
        reserve.slots += worker.capacity.slots
        reserve.costly_slots += _costly_slots(state, worker)
        state.reindex_worker(worker)


def _eviction_cost(state: tables.Tables, worker: rows.Worker) -> float:
    tasks = worker.tasks.values()
    return sum(eviction_costs.cost_with_checkpoint(state, task) for task in tasks)


def _costly_slots(state: tables.Tables, worker: rows.Worker) -> int:
    """Returns the slots of a worker whose interfering tasks would cost too much to evict."""
    limit_s = state.settings.eviction_cost_limit_s
    return sum(
        task.demand.slots
        for task in worker.tasks.values()
        if task.job.job.work_class in state.interfering_classes
        and task.state is not rows.TaskState.EVICTING
        and eviction_costs.cost_with_checkpoint(state, task) > limit_s
    )


def _shrink(state: tables.Tables) -> None:
    reserve = state.reserve
    required_slots = (
        reserve.needed_slots
        + SHRINK_MARGIN * math.sqrt(reserve.needed_slots)
        + reserve.costly_slots
    )
    while reserve.workers:
        fullest = max(reserve.workers.values(), key=lambda worker: worker.batch_slots)
        if reserve.slots - fullest.capacity.slots < required_slots:
            reserve.last_fully_needed_at = state.now
            return
        if state.now - reserve.last_fully_needed_at < state.settings.hold_s:
            return
        _remove_worker(state, fullest)


def _remove_worker(state: tables.Tables, worker: rows.Worker) -> None:
    del state.reserve.workers[worker.worker_id]
    state.reserve.slots -= worker.capacity.slots
    worker.reserved_for_urgent = False
    state.reindex_worker(worker)
    state.batch_placement_due = True


def _update_lendable_slots(state: tables.Tables) -> None:
    reserve = state.reserve
    slots = reserve.slots if state.interfering_classes else state.total_slots
    used = sum(worker.batch_slots for worker in usable_workers(state))
    surplus = int(slots - reserve.needed_slots) - used
    reserve.surplus_slots = surplus
    if state.interfering_classes:
        surplus = min(surplus, MAX_LENT_SLOTS - used)
    if surplus > 0:
        state.batch_placement_due = True
    reserve.lendable_slots = surplus
