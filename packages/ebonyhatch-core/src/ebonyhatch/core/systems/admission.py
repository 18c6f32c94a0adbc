"""Refuses requests that can't meet their deadline, as soon as that is known."""

from __future__ import annotations

from ebonyhatch.core import rows, tables
from ebonyhatch.core.systems import retry

MIN_QUEUE_LENGTH = 32
"""Queue length below which no request is refused on arrival: the estimate is too rough."""

MIN_SERVICE_FRACTION = 0.5
"""Least time that must remain for service, as a fraction of the mean service time."""


def run(state: tables.Tables) -> None:
    """Refuses requests that arrived since the last tick and would wait past their deadline."""
    arrived = state.new_requests
    if not arrived:
        return
    state.new_requests = []
    queued = len(state.urgent_queue)
    if queued < MIN_QUEUE_LENGTH:
        return
    wait_s = state.send_rate.estimate_wait_s(queued=queued)
    for row in arrived:
        if row.state is not rows.RequestState.QUEUED:
            continue
        if state.now + wait_s + state.demand.service_s > row.request.deadline_at:
            state.urgent_queue.discard()
            refuse(state, row, retry_after_s=wait_s)


def cannot_meet_deadline(state: tables.Tables, row: rows.Request) -> bool:
    """Returns whether too little time remains to serve a queued request."""
    return state.now + MIN_SERVICE_FRACTION * state.demand.service_s > row.request.deadline_at


def refuse(state: tables.Tables, row: rows.Request, *, retry_after_s: float) -> None:
    """Refuses a request that was already removed from the queue."""
    retry.refuse(
        state,
        row,
        outcome=retry.known_outcome(row),
        reason="deadline",
        retry_after_s=retry_after_s,
    )
