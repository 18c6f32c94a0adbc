"""Second tries of requests, and the outcome of those that get none."""

from __future__ import annotations

from ebonyhatch.core import commands, rows, tables

ATTEMPTS_LIMIT = 2
"""Most times that a request is sent in the whole system."""

RETRY_AFTER_S = 1.0
"""Advice to callers when nothing better is known."""


def not_run(state: tables.Tables, row: rows.Request) -> None:
    """A sent request did not run: queue it again or refuse it."""
    _avoid_and_release(state, row)
    if row.state is rows.RequestState.WITHDRAWN:
        del state.requests[row.request.request_id]
    elif row.attempts < ATTEMPTS_LIMIT:
        _queue_again(state, row)
    else:
        refuse(state, row, outcome=truth(row), reason="worker-refused")


def lost(state: tables.Tables, row: rows.Request) -> None:
    """A sent request may have run: queue it again if it is idempotent, else say so."""
    row.maybe_ran = True
    _avoid_and_release(state, row)
    if row.state is rows.RequestState.WITHDRAWN:
        del state.requests[row.request.request_id]
    elif row.request.idempotent and row.attempts < ATTEMPTS_LIMIT:
        _queue_again(state, row)
    else:
        refuse(state, row, outcome=commands.Outcome.UNKNOWN, reason="worker-lost")


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
    if row.state is rows.RequestState.WITHDRAWN:
        del state.requests[row.request.request_id]
        return
    command = commands.RefuseRequest(
        request_id=row.request.request_id,
        outcome=outcome,
        reason=reason,
        retry_after_s=retry_after_s,
    )
    state.commands.append(command)
    row.state = rows.RequestState.WITHDRAWN
    del state.requests[row.request.request_id]


def _avoid_and_release(state: tables.Tables, row: rows.Request) -> None:
    if row.worker is not None:
        row.avoid_worker_id = row.worker.worker_id
    state.release_request(row)


def _queue_again(state: tables.Tables, row: rows.Request) -> None:
    row.state = rows.RequestState.QUEUED
    state.urgent.push(row)
