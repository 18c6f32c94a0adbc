"""Keeps workers for urgent work: as many as its demand, slope and recent peak ask for."""

from __future__ import annotations

import math

from ebonyhatch.core import eviction_costs, rows, tables

SOON_S = 1.2
"""How far ahead workers are made ready along the slope of the demand."""

DRAIN_S = 0.3
"""Time in which a queue of requests is to be worked off."""


def run(state: tables.Tables) -> None:
    """Work out what urgent work needs and fit the reserve to it."""
    reserve = state.reserve
    state.demand.roll(now=state.now)
    state.drain.roll(now=state.now)
    state.wait_s = state.drain.wait_s(queued=len(state.urgent))
    _work_out_need(state)
    _drop_unusable(state)
    if reserve.slots < reserve.need_soon:
        _grow(state)
        reserve.enough_since = state.now
    else:
        _shrink(state)
    _lend(state)


def _work_out_need(state: tables.Tables) -> None:
    reserve = state.reserve
    demand = state.demand
    soon = demand.forecast(ahead_s=SOON_S)
    if demand.surging(now=state.now):
        soon = max(soon, demand.peak * state.settings.peak_share)
    spread = state.settings.reserve_spread
    least = math.floor(state.settings.reserve_least * state.total_slots)
    limit = float(state.total_slots)
    reserve.need_soon = min(limit, max(least, soon + spread * math.sqrt(soon)))
    now = state.sent + len(state.urgent) * demand.service_s / DRAIN_S
    reserve.need_now = min(now, limit) if state.urgent else 0.0


def _drop_unusable(state: tables.Tables) -> None:
    reserve = state.reserve
    for worker in list(reserve.workers.values()):
        if worker.leaving or worker.barred or worker.worker_id not in state.workers:
            _remove(state, worker)


def _grow(state: tables.Tables) -> None:
    reserve = state.reserve
    others = [
        worker
        for worker in state.workers.values()
        if not (worker.reserved_for_urgent or worker.leaving or worker.barred)
    ]
    others.sort(key=lambda worker: _cost(state, worker))
    for worker in others:
        if reserve.slots >= reserve.need_soon:
            return
        worker.reserved_for_urgent = True
        reserve.workers[worker.worker_id] = worker
        reserve.slots += worker.capacity.slots
        state.touch(worker)


def _cost(state: tables.Tables, worker: rows.Worker) -> float:
    tasks = worker.tasks.values()
    return sum(eviction_costs.with_checkpoint(state, task) for task in tasks)


def _shrink(state: tables.Tables) -> None:
    reserve = state.reserve
    while reserve.workers:
        last = next(reversed(reserve.workers.values()))
        if reserve.slots - last.capacity.slots < reserve.need_soon:
            reserve.enough_since = state.now
            return
        if state.now - reserve.enough_since < state.settings.hold_s:
            return
        _remove(state, last)


def _remove(state: tables.Tables, worker: rows.Worker) -> None:
    del state.reserve.workers[worker.worker_id]
    state.reserve.slots -= worker.capacity.slots
    worker.reserved_for_urgent = False
    worker.lent_slots = 0
    state.touch(worker)
    state.batch_dirty = True


def _lend(state: tables.Tables) -> None:
    reserve = state.reserve
    surplus = int(reserve.slots - reserve.need_soon)
    if surplus < reserve.lendable or state.now >= reserve.lend_until:
        reserve.lendable = surplus if surplus < reserve.lendable else reserve.least_surplus
        reserve.lend_until = state.now + state.settings.hold_s
        reserve.least_surplus = surplus
    reserve.least_surplus = min(reserve.least_surplus, surplus)
    left = reserve.lendable
    for worker in reversed(reserve.workers.values()):
        lent = max(0, min(left, worker.capacity.slots))
        left -= lent
        if lent != worker.lent_slots:
            worker.lent_slots = lent
            state.touch(worker)
            state.batch_dirty = True
