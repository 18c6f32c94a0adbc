"""Second tries of requests, and the outcome of those that get none."""

from __future__ import annotations

import heapq

from ebonyhatch.core import capacity, commands, rows, tables

ATTEMPTS_LIMIT = 2
"""Most times that a request is sent in the whole system."""

HOLD_SHARE = 2.0
"""Time that a send without an outcome keeps its reservation, in times of the request's own."""

RETRY_AFTER_S = 1.0
"""Advice to callers when nothing better is known."""


def not_run(state: tables.Tables, row: rows.Request) -> None:
    """A sent request did not run: queue it again or refuse it."""
    _avoid_and_release(state, row)
    _again_or_refuse(state, row, may_repeat=True, reason="worker-refused")


def lost(state: tables.Tables, row: rows.Request) -> None:
    """A sent request may have run: queue it again if it is idempotent, else say so."""
    row.maybe_ran = True
    if row.worker is not None:
        row.avoid_worker_id = row.worker.worker_id
    hold(state, row)
    _again_or_refuse(state, row, may_repeat=row.request.idempotent, reason="worker-lost")


def hedge(state: tables.Tables, row: rows.Request) -> None:
    """Try an idempotent request elsewhere; the first try keeps its reservation."""
    worker = row.worker
    may = row.request.idempotent and row.attempts < ATTEMPTS_LIMIT
    if worker is None or not may or row.state is not rows.RequestState.SENT:
        return
    if not state.retries.take():
        return
    row.maybe_ran = True
    row.avoid_worker_id = worker.worker_id
    hold(state, row)
    row.state = rows.RequestState.QUEUED
    state.urgent.push(row)


def hold(state: tables.Tables, row: rows.Request) -> None:
    """Keep the reservation of a send whose end is not known, and free the row for another.

    It is released by a late outcome, else once twice the request's time has passed: the worker
    may go on with what nobody waits for any more.
    """
    worker = row.worker
    if worker is None:
        return
    request = row.request
    worker.unresolved_reservations[_send_key(request.request_id, row.attempts)] = row.demand
    release_at = row.sent_at + HOLD_SHARE * (request.deadline_at - request.arrived_at)
    heapq.heappush(state.hedges, (release_at, request.request_id, worker.worker_id, row.attempts))
    del worker.requests[request.request_id]
    state.sent -= 1
    row.worker = None


def release_former(state: tables.Tables, request_id: str, worker_id: str) -> bool:
    """Drop the reservation of the earliest send that is held; tell whether there was one."""
    attempts = range(1, ATTEMPTS_LIMIT + 1)
    return any(release_held(state, request_id, worker_id, number) for number in attempts)


def release_held(state: tables.Tables, request_id: str, worker_id: str, attempt: int) -> bool:
    """Drop the reservation of one send; tell whether it was held."""
    worker = state.workers.get(worker_id)
    key = _send_key(request_id, attempt)
    demand = worker.unresolved_reservations.pop(key, None) if worker is not None else None
    if worker is None or demand is None:
        return False
    capacity.release(worker, demand)
    state.touch(worker)
    return True


def truth(row: rows.Request) -> commands.Outcome:
    """What is known of a request that isn't answered."""
    ran = row.worker is not None or row.maybe_ran
    return commands.Outcome.UNKNOWN if ran else commands.Outcome.NOT_RUN


def refuse(
    state: tables.Tables,
    row: rows.Request,
    *,
    outcome: commands.Outcome,
    reason: str,
    retry_after_s: float = RETRY_AFTER_S,
) -> None:
    """Give a request its final outcome and drop it."""
    state.release_request(row)
    if row.state is not rows.RequestState.WITHDRAWN:
        command = commands.RefuseRequest(
            request_id=row.request.request_id,
            outcome=outcome,
            reason=reason,
            retry_after_s=retry_after_s,
        )
        state.commands.append(command)
    forget(state, row)


def forget(state: tables.Tables, row: rows.Request) -> None:
    """Drop a request that has its outcome."""
    row.state = rows.RequestState.WITHDRAWN
    del state.requests[row.request.request_id]


def _again_or_refuse(
    state: tables.Tables, row: rows.Request, *, may_repeat: bool, reason: str
) -> None:
    if row.state is rows.RequestState.WITHDRAWN:
        forget(state, row)
    elif may_repeat and row.attempts < ATTEMPTS_LIMIT and state.retries.take():
        row.state = rows.RequestState.QUEUED
        state.urgent.push(row)
    else:
        refuse(state, row, outcome=truth(row), reason=reason)


def _avoid_and_release(state: tables.Tables, row: rows.Request) -> None:
    if row.worker is not None:
        row.avoid_worker_id = row.worker.worker_id
    state.release_request(row)


def _send_key(request_id: str, attempt: int) -> str:
    return f"{request_id}/{attempt}"
