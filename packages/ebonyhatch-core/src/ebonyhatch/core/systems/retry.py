"""Retries of requests, and the outcome of requests that are not retried.

A send is one attempt of a request on a worker. A send without a known outcome keeps its reservation
for some time, since the worker may still be running the request.
"""

from __future__ import annotations

import heapq

from ebonyhatch.core import capacity, commands, rows, tables

MAX_ATTEMPTS = 2
"""Largest number of sends of a request in the whole system."""

RESERVATION_TIME_FACTOR = 2.0
"""Time for which a send without an outcome keeps its reservation.

In multiples of the time from arrival to deadline of the request.
"""

RETRY_AFTER_S = 1.0
"""Delay that callers are advised to wait before a retry if there is no estimate, seconds."""


def handle_not_run(state: tables.Tables, row: rows.Request) -> None:
    """Requeues a sent request that did not run, or refuses it."""
    _avoid_and_release(state, row)
    _requeue_or_refuse(state, row, may_repeat=True, reason="worker-refused")


def handle_lost(state: tables.Tables, row: rows.Request) -> None:
    """Requeues a request that may have run if it is idempotent, or refuses it as unknown."""
    row.may_have_run = True
    if row.worker is not None:
        row.avoid_worker_id = row.worker.worker_id
    keep_reservation(state, row)
    _requeue_or_refuse(state, row, may_repeat=row.request.idempotent, reason="worker-lost")


def hedge(state: tables.Tables, row: rows.Request) -> None:
    """Queues a copy of an idempotent request for another worker, if the retry budget allows it.

    The first send keeps its reservation, since it may still be answered.
    """
    worker = row.worker
    may_retry = row.request.idempotent and row.attempts < MAX_ATTEMPTS
    if worker is None or not may_retry or row.state is not rows.RequestState.SENT:
        return
    if not state.retry_budget.spend():
        return
    row.may_have_run = True
    row.avoid_worker_id = worker.worker_id
    keep_reservation(state, row)
    row.state = rows.RequestState.QUEUED
    state.urgent_queue.push(row)


def keep_reservation(state: tables.Tables, row: rows.Request) -> None:
    """Keeps the reservation of a send without a known outcome, so that the row can be sent again.

    A late outcome releases the reservation; otherwise it is released after twice the time from
    arrival to deadline. The worker may still run the request although no caller waits for it.
    """
    worker = row.worker
    if worker is None:
        return
    request = row.request
    worker.unresolved_reservations[_send_key(request.request_id, row.attempts)] = row.demand
    release_at = row.sent_at + RESERVATION_TIME_FACTOR * (request.deadline_at - request.arrived_at)
    heapq.heappush(
        state.reservation_releases, (release_at, request.request_id, worker.worker_id, row.attempts)
    )
    del worker.requests[request.request_id]
    state.requests_in_progress -= 1
    row.worker = None


def release_earliest(state: tables.Tables, request_id: str, worker_id: str) -> bool:
    """Releases the reservation of the earliest unresolved send; returns whether there was one."""
    attempts = range(1, MAX_ATTEMPTS + 1)
    return any(release_unresolved(state, request_id, worker_id, number) for number in attempts)


def release_unresolved(state: tables.Tables, request_id: str, worker_id: str, attempt: int) -> bool:
    """Releases the reservation of one unresolved send; returns whether it was still kept."""
    worker = state.workers.get(worker_id)
    key = _send_key(request_id, attempt)
    demand = worker.unresolved_reservations.pop(key, None) if worker is not None else None
    if worker is None or demand is None:
        return False
    capacity.release(worker, demand)
    state.reindex_worker(worker)
    return True


def known_outcome(row: rows.Request) -> commands.Outcome:
    """Returns the outcome as far as it is known of a request without an answer."""
    ran = row.worker is not None or row.may_have_run
    return commands.Outcome.UNKNOWN if ran else commands.Outcome.NOT_RUN


def refuse(
    state: tables.Tables,
    row: rows.Request,
    *,
    outcome: commands.Outcome,
    reason: str,
    retry_after_s: float = RETRY_AFTER_S,
) -> None:
    """Reports the final outcome of a request and removes it."""
    state.release_request(row)
    if row.state is not rows.RequestState.WITHDRAWN:
        command = commands.RefuseRequest(
            request_id=row.request.request_id,
            outcome=outcome,
            reason=reason,
            retry_after_s=retry_after_s,
        )
        state.commands.append(command)
    remove(state, row)


def remove(state: tables.Tables, row: rows.Request) -> None:
    """Removes a request that has its outcome."""
    row.state = rows.RequestState.WITHDRAWN
    del state.requests[row.request.request_id]


def _requeue_or_refuse(
    state: tables.Tables, row: rows.Request, *, may_repeat: bool, reason: str
) -> None:
    if row.state is rows.RequestState.WITHDRAWN:
        remove(state, row)
    elif may_repeat and row.attempts < MAX_ATTEMPTS and state.retry_budget.spend():
        row.state = rows.RequestState.QUEUED
        state.urgent_queue.push(row)
    else:
        refuse(state, row, outcome=known_outcome(row), reason=reason)


def _avoid_and_release(state: tables.Tables, row: rows.Request) -> None:
    if row.worker is not None:
        row.avoid_worker_id = row.worker.worker_id
    state.release_request(row)


def _send_key(request_id: str, attempt: int) -> str:
    return f"{request_id}/{attempt}"
