"""Standing of workers: failures against peers, hangs, slowness; probation and return."""

from __future__ import annotations

import math
import statistics

from ebonyhatch.core import rows, tables
from ebonyhatch.core.systems import retry

MEMORY_EVENTS = 20.0
"""Events over which failure rates are averaged."""

FORGET = 0.993
"""Share of the failures that still counts after a period without starts."""

LEAST_FAILURES = 3.0
FAILING_RATE = 0.5
"""Rate of failed starts from which a worker or a class is at fault."""

PEER_RATIO = 2.0
"""A failing worker is barred only when it fails this much more than its peers."""

CLASS_WORKERS = 3
"""A class that fails on so many workers is at fault itself."""

SLOW_RATIO = 4.0
SLOW_ANSWERS = 10
HANG_SERVICES = 6.0
"""A worker hangs when nothing is answered for so many mean service times."""

HANG_LEAST_S = 0.3
HANG_REQUESTS = 2
HANG_HISTORY = 10
"""Answers that must be known before a silence is judged."""

BARRED_SHARE = 0.34
"""Most workers that are barred at once, as a share of all."""

PROBE_FIRST_S = 2.0
PROBE_LONGEST_S = 15.0
PROBES_TO_RETURN = 3
PROBE_PATIENCE_S = 15.0
"""Without a request to probe with, a worker returns after this time."""

START_LIMIT_S = 15.0
"""Time in which a start must be confirmed."""


def good(state: tables.Tables, worker: rows.Worker, work_class: str) -> None:
    """Count a start that went well."""
    _count(worker.standing, failed=0.0)
    _count(state.class_standing(work_class), failed=0.0)
    if worker.barred and worker.probing:
        _probe_passed(state, worker)


def bad(state: tables.Tables, worker: rows.Worker, work_class: str) -> None:
    """Count a failed start; the worker is not blamed for a class that fails everywhere."""
    standing = state.class_standing(work_class)
    _count(standing, failed=1.0)
    standing.workers[worker.worker_id] = state.now
    if at_fault(state, work_class):
        return
    _count(worker.standing, failed=1.0)
    if worker.barred:
        _probe_failed(state, worker)
    elif _fails(worker.standing) and _worse_than_peers(state, worker):
        _bar(state, worker)


def served(state: tables.Tables, row: rows.Request, service_s: float) -> None:
    """Take in an answer: a worker far slower than expected is barred."""
    worker = row.worker
    if worker is None:
        return
    expected_s = state.demand.service_s * (1.0 + worker.penalty)
    ratio = service_s / max(expected_s, 1e-6)
    standing = worker.standing
    standing.answers += 1
    weight = max(1.0 / MEMORY_EVENTS, 1.0 / standing.answers)
    standing.slowness += weight * (ratio - standing.slowness)
    worker.answered_at = state.now
    if worker.barred and ratio > SLOW_RATIO:
        _probe_failed(state, worker)
        return
    good(state, worker, row.request.work_class)
    if not worker.barred and _slow(standing) and _slower_than_peers(state, worker):
        _bar(state, worker)


def timed_out(state: tables.Tables, row: rows.Request) -> None:
    """Count a request that its worker kept past the deadline.

    A worker that answered others meanwhile is only slow, or got the request late.
    """
    worker = row.worker
    if worker is not None and worker.answered_at < row.sent_at:
        bad(state, worker, row.request.work_class)


def at_fault(state: tables.Tables, work_class: str) -> bool:
    """Tell whether a class fails on most workers where it is tried."""
    standing = state.class_standing(work_class)
    return _fails(standing) and len(standing.workers) >= CLASS_WORKERS


def run(state: tables.Tables) -> None:
    """Look for hangs, and let workers on probation be probed when it is time."""
    for worker in state.workers.values():
        if worker.standing.failures > 0.01:
            worker.standing.failures *= FORGET
            state.touch(worker)
        if worker.requests:
            _look_for_hang(state, worker)
        if worker.barred and state.now >= worker.probe_at and not worker.probing:
            state.probes[worker.worker_id] = worker
            if state.now >= worker.probe_at + PROBE_PATIENCE_S:
                _return(state, worker)
    for standing in state.class_standings.values():
        _forget(standing, before=state.now - state.settings.class_memory_s)


def _count(standing: rows.HealthRecord, *, failed: float) -> None:
    keep = 1.0 - 1.0 / MEMORY_EVENTS
    standing.weight = standing.weight * keep + 1.0
    standing.failures = standing.failures * keep + failed


def _fails(standing: rows.HealthRecord) -> bool:
    if standing.failures < LEAST_FAILURES * (1.0 - 1.0 / MEMORY_EVENTS) ** 2:
        return False
    return standing.failures >= FAILING_RATE * standing.weight


def _forget(standing: rows.HealthRecord, *, before: float) -> None:
    for worker_id in [key for key, at in standing.workers.items() if at < before]:
        del standing.workers[worker_id]


def _worse_than_peers(state: tables.Tables, worker: rows.Worker) -> bool:
    peers = [
        other.standing.failures / other.standing.weight
        for other in state.workers.values()
        if other is not worker and not other.barred and other.standing.weight > 0
    ]
    mean = sum(peers) / len(peers) if peers else 0.0
    own = worker.standing.failures / worker.standing.weight
    return own > PEER_RATIO * mean


def _slow(standing: rows.HealthRecord) -> bool:
    return standing.answers >= SLOW_ANSWERS and standing.slowness > SLOW_RATIO


def _slower_than_peers(state: tables.Tables, worker: rows.Worker) -> bool:
    """Compare with the peers of now: a crest slows all of them against what was expected."""
    peers = [
        other.standing.slowness
        for other in state.workers.values()
        if other is not worker and not other.barred and other.standing.answers >= SLOW_ANSWERS
    ]
    if not peers:
        return False
    usual = max(1.0, statistics.median(peers))
    return worker.standing.slowness > SLOW_RATIO * usual


def _bar(state: tables.Tables, worker: rows.Worker) -> None:
    """Bar a worker, unless too many are barred already or it is the only one."""
    count = len(state.workers)
    barred = sum(other.barred for other in state.workers.values())
    if count == 1 or barred + 1 > max(1, math.floor(BARRED_SHARE * count)):
        return
    worker.barred = True
    worker.probe_after_s = PROBE_FIRST_S
    worker.probe_at = state.now + PROBE_FIRST_S
    worker.probes_passed = 0
    worker.probing = False
    state.touch(worker)


def _probe_passed(state: tables.Tables, worker: rows.Worker) -> None:
    worker.probing = False
    worker.probes_passed += 1
    worker.probe_at = state.now
    if worker.probes_passed >= PROBES_TO_RETURN:
        _return(state, worker)


def _return(state: tables.Tables, worker: rows.Worker) -> None:
    worker.barred = False
    worker.probing = False
    worker.standing = rows.HealthRecord()
    state.probes.pop(worker.worker_id, None)
    state.batch_dirty = True
    state.touch(worker)


def _probe_failed(state: tables.Tables, worker: rows.Worker) -> None:
    if not worker.probing:
        return
    worker.probing = False
    worker.probes_passed = 0
    worker.probe_after_s = min(PROBE_LONGEST_S, 2.0 * worker.probe_after_s)
    worker.probe_at = state.now + worker.probe_after_s


def _look_for_hang(state: tables.Tables, worker: rows.Worker) -> None:
    """Hedge what is stuck; without a usual service time nothing can be called stuck."""
    if state.demand.answers < HANG_HISTORY:
        return
    limit_s = max(HANG_LEAST_S, HANG_SERVICES * state.demand.service_s * (1.0 + worker.penalty))
    since = state.now - limit_s
    stuck = []
    for row in worker.requests.values():
        if row.sent_at > since:
            break
        stuck.append(row)
    if worker.answered_at > since or not stuck:
        return
    if len(stuck) >= HANG_REQUESTS and not worker.barred:
        _bar(state, worker)
    _probe_failed(state, worker)
    _count(worker.standing, failed=1.0)
    for row in stuck:
        retry.hedge(state, row)
