"""Handlers of events about requests."""

from __future__ import annotations

import heapq

from ebonyhatch.core import events, rows, tables
from ebonyhatch.core.systems import ingest, retry, sharing


@ingest.handler(events.RequestArrived)
def request_arrived(state: tables.Tables, event: events.RequestArrived) -> None:
    """Queue a request, unless it is known already."""
    request = event.request
    if request.request_id in state.requests:
        return
    row = rows.Request(request=request, priority=state.priority_of(request.work_class))
    row.demand = request.demand
    state.requests[request.request_id] = row
    state.demand.arrive()
    state.urgent.push(row)
    state.arrived.append(row)
    heapq.heappush(state.deadlines, (request.deadline_at, request.request_id))


@ingest.handler(events.RequestAnswered)
def request_answered(state: tables.Tables, event: events.RequestAnswered) -> None:
    """Drop an answered request."""
    row = _sent(state, event.request_id, event.worker_id)
    if row is not None:
        state.demand.served(state.now - row.sent_at)
        if not event.failed:
            sharing.answered(state, row, event.service_s)
        state.release_request(row)
        del state.requests[event.request_id]


@ingest.handler(events.RequestNotRun)
def request_not_run(state: tables.Tables, event: events.RequestNotRun) -> None:
    """Try a request again that certainly did not run."""
    row = _sent(state, event.request_id, event.worker_id)
    if row is not None:
        retry.not_run(state, row)


@ingest.handler(events.RequestLost)
def request_lost(state: tables.Tables, event: events.RequestLost) -> None:
    """Try a request again if it may run twice; else its outcome is unknown."""
    row = _sent(state, event.request_id, event.worker_id)
    if row is not None:
        retry.lost(state, row)


@ingest.handler(events.RequestWithdrawn)
def request_withdrawn(state: tables.Tables, event: events.RequestWithdrawn) -> None:
    """Forget a queued request; one that runs keeps its reservation until it ends."""
    row = state.requests.get(event.request_id)
    if row is None:
        return
    if row.state is rows.RequestState.QUEUED:
        state.urgent.discard()
        del state.requests[event.request_id]
    row.state = rows.RequestState.WITHDRAWN


def _sent(state: tables.Tables, request_id: str, worker_id: str) -> rows.Request | None:
    row = state.requests.get(request_id)
    if row is None or row.worker is None or row.worker.worker_id != worker_id:
        return None
    return row
