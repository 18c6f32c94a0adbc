"""Chooses a worker for each queued request."""

from __future__ import annotations

from ebonyhatch.core import capacity, commands, rows, tables
from ebonyhatch.core.systems import admission

MAX_CANDIDATES = 8
"""Number of workers examined for one request.

Placement also ends after this number of requests that got no worker in a tick; these are queued
again at the end of the tick.
"""


def run(state: tables.Tables) -> None:
    """Sends queued requests by priority and deadline."""
    unplaced: list[rows.Request] = []
    while len(state.urgent_workers) and len(unplaced) < MAX_CANDIDATES:
        row = state.urgent_queue.pop()
        if row is None:
            break
        if admission.cannot_meet_deadline(state, row):
            wait_s = state.send_rate.estimate_wait_s(queued=len(state.urgent_queue))
            admission.refuse(state, row, retry_after_s=max(1.0, wait_s))
            continue
        worker = _worker_for_request(state, row)
        if worker is None:
            unplaced.append(row)
        else:
            _send(state, row, worker)
    for row in unplaced:
        state.urgent_queue.push(row)


def _worker_for_request(state: tables.Tables, row: rows.Request) -> rows.Worker | None:
    if state.probe_candidates and row.request.idempotent and not row.attempts:
        probed = _worker_to_probe(state, row)
        if probed is not None:
            return probed
    fallback = None
    for count, worker in enumerate(state.urgent_workers.by_preference()):
        if count >= MAX_CANDIDATES:
            break
        if not capacity.fits(worker, row.demand):
            continue
        if worker.worker_id != row.avoid_worker_id:
            return worker
        fallback = worker
    return fallback


def _worker_to_probe(state: tables.Tables, row: rows.Request) -> rows.Worker | None:
    """Returns a quarantined worker to probe with a request; each gets one probe at a time."""
    for worker_id, worker in list(state.probe_candidates.items()):
        del state.probe_candidates[worker_id]
        if worker.quarantined and not worker.leaving and capacity.fits(worker, row.demand):
            worker.probe_in_flight = True
            return worker
    return None


def _send(state: tables.Tables, row: rows.Request, worker: rows.Worker) -> None:
    row.state = rows.RequestState.SENT
    row.attempts += 1
    state.send_rate.record_send()
    row.sent_at = state.now
    state.reserve_request(row, worker)
    command = commands.SendRequest(
        request_id=row.request.request_id,
        attempt=row.attempts,
        worker_id=worker.worker_id,
        deadline_at=row.request.deadline_at,
    )
    state.commands.append(command)
