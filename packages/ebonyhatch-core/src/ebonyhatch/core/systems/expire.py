"""Refuses requests whose deadline has passed, and releases reservations that are due."""

from __future__ import annotations

import heapq

from ebonyhatch.core import rows, tables
from ebonyhatch.core.systems import health, retry


def run(state: tables.Tables) -> None:
    """Releases reservations that are due, and refuses requests past their deadline."""
    _release_due_reservations(state)
    deadlines = state.deadlines
    while deadlines and deadlines[0][0] <= state.now:
        request_id = heapq.heappop(deadlines)[1]
        row = state.requests.get(request_id)
        if row is not None:
            _expire(state, row)


def _release_due_reservations(state: tables.Tables) -> None:
    """Releases reservations of sends without an outcome whose time is over."""
    while state.reservation_releases and state.reservation_releases[0][0] <= state.now:
        _, request_id, worker_id, attempt = heapq.heappop(state.reservation_releases)
        retry.release_unresolved(state, request_id, worker_id, attempt)


def _expire(state: tables.Tables, row: rows.Request) -> None:
    if row.worker is not None:
        state.demand.record_service_time(state.now - row.sent_at)
        health.record_timeout(state, row)
    if row.state is rows.RequestState.QUEUED:
        state.urgent_queue.discard()
    outcome = retry.known_outcome(row)
    retry.keep_reservation(state, row)
    retry.refuse(state, row, outcome=outcome, reason="deadline")
