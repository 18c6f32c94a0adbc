"""Gives requests whose deadline passed their outcome."""

from __future__ import annotations

import heapq

from ebonyhatch.core import rows, tables
from ebonyhatch.core.systems import health, retry


def run(state: tables.Tables) -> None:
    """Refuse what is past its deadline."""
    _release_held(state)
    deadlines = state.deadlines
    while deadlines and deadlines[0][0] <= state.now:
        request_id = heapq.heappop(deadlines)[1]
        row = state.requests.get(request_id)
        if row is not None:
            _expire(state, row)


def _release_held(state: tables.Tables) -> None:
    """Free what sends without an outcome have kept for long enough."""
    while state.hedges and state.hedges[0][0] <= state.now:
        _, request_id, worker_id, attempt = heapq.heappop(state.hedges)
        retry.release_held(state, request_id, worker_id, attempt)


def _expire(state: tables.Tables, row: rows.Request) -> None:
    if row.worker is not None:
        state.demand.served(state.now - row.sent_at)
        health.timed_out(state, row)
    if row.state is rows.RequestState.QUEUED:
        state.urgent.discard()
    outcome = retry.truth(row)
    retry.hold(state, row)
    retry.refuse(state, row, outcome=outcome, reason="deadline")
