"""Refuses requests at once that can't make their deadline."""

from __future__ import annotations

from ebonyhatch.core import rows, tables
from ebonyhatch.core.systems import retry

LEAST_QUEUE = 32
"""Shorter queues are no ground for a refusal on arrival: their estimate is too rough."""

LEAST_SERVICE = 0.5
"""Time for service that must be left, in means of the service time."""


def run(state: tables.Tables) -> None:
    """Judge the requests that arrived since the last tick."""
    arrived = state.arrived
    if not arrived:
        return
    state.arrived = []
    queued = len(state.urgent)
    if queued < LEAST_QUEUE:
        return
    wait_s = state.drain.wait_s(queued=queued)
    for row in arrived:
        if row.state is not rows.RequestState.QUEUED:
            continue
        if state.now + wait_s + state.demand.service_s > row.request.deadline_at:
            state.urgent.discard()
            refuse(state, row, retry_after_s=wait_s)


def hopeless(state: tables.Tables, row: rows.Request) -> bool:
    """Tell whether too little time is left to serve a queued request."""
    return state.now + LEAST_SERVICE * state.demand.service_s > row.request.deadline_at


def refuse(state: tables.Tables, row: rows.Request, *, retry_after_s: float) -> None:
    """Refuse a request that is not queued any more."""
    retry.refuse(
        state,
        row,
        outcome=retry.truth(row),
        reason="deadline",
        retry_after_s=retry_after_s,
    )
