"""Places requests on workers."""

from __future__ import annotations

from ebonyhatch.core import capacity, commands, rows, tables
from ebonyhatch.core.systems import admission

CANDIDATES_LIMIT = 8
"""Workers that are looked at for one request before it is set aside."""


def run(state: tables.Tables) -> None:
    """Send queued requests by priority and deadline."""
    set_aside: list[rows.Request] = []
    while len(state.urgent_workers) and len(set_aside) < CANDIDATES_LIMIT:
        row = state.urgent.pop()
        if row is None:
            break
        if admission.hopeless(state, row):
            wait_s = state.drain.wait_s(queued=len(state.urgent))
            admission.refuse(state, row, retry_after_s=max(1.0, wait_s))
            continue
        worker = _worker_for_request(state, row)
        if worker is None:
            set_aside.append(row)
        else:
            _send(state, row, worker)
    for row in set_aside:
        state.urgent.push(row)


def _worker_for_request(state: tables.Tables, row: rows.Request) -> rows.Worker | None:
    if state.probes and row.request.idempotent and not row.attempts:
        probed = _probe(state, row)
        if probed is not None:
            return probed
    fallback = None
    for count, worker in enumerate(state.urgent_workers.best()):
        if count >= CANDIDATES_LIMIT:
            break
        if not capacity.fits(worker, row.demand):
            continue
        if worker.worker_id != row.avoid_worker_id:
            return worker
        fallback = worker
    return fallback


def _probe(state: tables.Tables, row: rows.Request) -> rows.Worker | None:
    """Give a request to a worker on probation, one at a time."""
    for worker_id, worker in list(state.probes.items()):
        del state.probes[worker_id]
        if worker.barred and not worker.leaving and capacity.fits(worker, row.demand):
            worker.probing = True
            return worker
    return None


def _send(state: tables.Tables, row: rows.Request, worker: rows.Worker) -> None:
    row.state = rows.RequestState.SENT
    row.attempts += 1
    state.drain.sent()
    row.sent_at = state.now
    state.reserve_request(row, worker)
    command = commands.SendRequest(
        request_id=row.request.request_id,
        attempt=row.attempts,
        worker_id=worker.worker_id,
        deadline_at=row.request.deadline_at,
    )
    state.commands.append(command)
