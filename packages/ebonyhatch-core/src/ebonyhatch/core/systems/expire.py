"""Gives requests whose deadline passed their outcome."""

from __future__ import annotations

import heapq

from ebonyhatch.core import rows, tables
from ebonyhatch.core.systems import health, retry


def run(state: tables.Tables) -> None:
    """Refuse what is past its deadline."""
    _expire_hedges(state)
    deadlines = state.deadlines
    while deadlines and deadlines[0][0] <= state.now:
        request_id = heapq.heappop(deadlines)[1]
        row = state.requests.get(request_id)
        if row is not None:
            _expire(state, row)


def _expire_hedges(state: tables.Tables) -> None:
    """At its deadline the first try of a hedged request has ended too."""
    while state.hedges and state.hedges[0][0] <= state.now:
        _, request_id, worker_id = heapq.heappop(state.hedges)
        retry.release_former(state, request_id, worker_id)


def _expire(state: tables.Tables, row: rows.Request) -> None:
    if row.worker is not None:
        state.demand.served(state.now - row.sent_at)
        health.timed_out(state, row)
    if row.state is rows.RequestState.QUEUED:
        state.urgent.discard()
    retry.refuse(state, row, outcome=retry.truth(row), reason="deadline")
