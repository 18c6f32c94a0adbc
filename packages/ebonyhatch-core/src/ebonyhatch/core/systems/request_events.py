"""Handlers of events about requests."""

from __future__ import annotations

import heapq

from ebonyhatch.core import events, rows, tables
from ebonyhatch.core.systems import health, ingest, retry, sharing


@ingest.handler(events.RequestArrived)
def request_arrived(state: tables.Tables, event: events.RequestArrived) -> None:
    """Queues a request, unless it is already known."""
    request = event.request
    if request.request_id in state.requests:
        return
    row = rows.Request(request=request, priority=state.priority_of(request.work_class))
    row.demand = request.demand
    state.requests[request.request_id] = row
    state.demand.record_arrival()
    state.urgent_queue.push(row)
    state.new_requests.append(row)
    heapq.heappush(state.deadlines, (request.deadline_at, request.request_id))


@ingest.handler(events.RequestAnswered)
def request_answered(state: tables.Tables, event: events.RequestAnswered) -> None:
    """Removes an answered request; of a request sent twice, the first answer counts."""
    row = _sent_request(state, event.request_id, event.worker_id)
    if row is not None:
        _record_answer(state, row, event)
        state.release_request(row)
        retry.remove(state, row)
    elif retry.release_earliest(state, event.request_id, event.worker_id):
        _answered_by_earlier_send(state, event)


def _record_answer(state: tables.Tables, row: rows.Request, event: events.RequestAnswered) -> None:
    state.demand.record_service_time(state.now - row.sent_at)
    state.retry_budget.record_success()
    health.record_answer(state, row, event.service_s)
    if not event.failed:
        sharing.record_answer(state, row, event.service_s)


def _answered_by_earlier_send(state: tables.Tables, event: events.RequestAnswered) -> None:
    row = state.requests.get(event.request_id)
    if row is None:
        return
    if row.state is rows.RequestState.QUEUED:
        state.urgent_queue.discard()
        retry.remove(state, row)
    else:
        row.state = rows.RequestState.WITHDRAWN


@ingest.handler(events.RequestNotRun)
def request_not_run(state: tables.Tables, event: events.RequestNotRun) -> None:
    """Retries a request that certainly did not run."""
    row = _sent_request(state, event.request_id, event.worker_id)
    if row is None:
        retry.release_earliest(state, event.request_id, event.worker_id)
        return
    if row.worker is not None:
        health.record_failure(state, row.worker, row.request.work_class)
    retry.handle_not_run(state, row)


@ingest.handler(events.RequestLost)
def request_lost(state: tables.Tables, event: events.RequestLost) -> None:
    """Retries a request that may run twice; the outcome of any other is unknown.

    A send whose reservation is already kept keeps it: the worker may still be running it.
    """
    row = _sent_request(state, event.request_id, event.worker_id)
    if row is None:
        return
    if row.worker is not None and state.now < row.request.deadline_at:
        health.record_failure(state, row.worker, row.request.work_class)
    elif row.worker is not None:
        health.record_timeout(state, row)
    retry.handle_lost(state, row)


@ingest.handler(events.RequestWithdrawn)
def request_withdrawn(state: tables.Tables, event: events.RequestWithdrawn) -> None:
    """Removes a queued request; one that was sent keeps its reservation until it ends."""
    row = state.requests.get(event.request_id)
    if row is None:
        return
    if row.state is rows.RequestState.QUEUED:
        state.urgent_queue.discard()
        retry.remove(state, row)
    row.state = rows.RequestState.WITHDRAWN


def _sent_request(state: tables.Tables, request_id: str, worker_id: str) -> rows.Request | None:
    row = state.requests.get(request_id)
    if row is None or row.worker is None or row.worker.worker_id != worker_id:
        return None
    return row
