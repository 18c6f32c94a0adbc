"""Health of workers: failures, hangs and slowness, quarantine and recovery.

A worker that fails or is slow compared with its peers is quarantined: it gets no new work except
probes, and returns to use after enough of them succeed.
"""

from __future__ import annotations

import math
import statistics

from ebonyhatch.core import rows, tables
from ebonyhatch.core.systems import retry

AVERAGING_EVENTS = 20.0
"""Number of starts over which failure rates and slowness are averaged."""

FAILURE_DECAY = 0.993
"""Factor by which the failures of a worker decay in each run of this system."""

MIN_FAILURES = 3.0
"""Number of failures in a row from which a failure rate is significant."""

FAULTY_RATE = 0.5
"""Fraction of failed starts from which a worker or a class is faulty."""

PEER_RATIO = 2.0
"""Ratio to the failure rate of its peers above which a failing worker is quarantined."""

FAULTY_CLASS_WORKERS = 3
"""Number of workers on which a class must fail before the class counts as faulty.

Failures of a faulty class do not count against the workers.
"""

SLOW_RATIO = 4.0
"""Ratio to the expected service time, and to the peers, above which a worker is slow."""

MIN_SLOWNESS_ANSWERS = 10
"""Number of answers from which the slowness of a worker is significant."""

HANG_SERVICE_TIMES = 6.0
"""Time without an answer after which a worker hangs, in mean service times."""

MIN_HANG_S = 0.3
"""Least time without an answer after which a worker hangs, seconds."""

MIN_HUNG_REQUESTS = 2
"""Number of requests open for that time from which a worker that hangs is quarantined."""

MIN_HANG_HISTORY = 10
"""Number of answers in the cell that are needed before hangs are detected."""

MAX_QUARANTINED_FRACTION = 0.34
"""Largest fraction of the workers that may be quarantined at the same time; at least one may."""

INITIAL_PROBE_BACKOFF_S = 2.0
"""Delay from the start of a quarantine to the first probe, seconds."""

MAX_PROBE_BACKOFF_S = 15.0
"""Longest delay before a probe, seconds; a failed probe doubles the delay up to this."""

PROBES_TO_RECOVER = 3
"""Number of probes in a row that must succeed before a worker returns to use."""

PROBE_WAIT_LIMIT_S = 15.0
"""Time after which a worker returns to use if no request was available to probe it, seconds."""

START_TIMEOUT_S = 15.0
"""Time in which a worker must confirm the start of a task, seconds."""


def record_success(state: tables.Tables, worker: rows.Worker, work_class: str) -> None:
    """Records a successful start of a class on a worker."""
    _record_start(worker.health_record, failed=0.0)
    _record_start(state.class_health(work_class), failed=0.0)
    if worker.quarantined and worker.probe_in_flight:
        _record_probe_success(state, worker)


def record_failure(state: tables.Tables, worker: rows.Worker, work_class: str) -> None:
    """Records a failed start; a class that fails everywhere does not count against the worker."""
    record = state.class_health(work_class)
    _record_start(record, failed=1.0)
    record.failed_at[worker.worker_id] = state.now
    if is_class_faulty(state, work_class):
        return
    _record_start(worker.health_record, failed=1.0)
    if worker.quarantined:
        _record_probe_failure(state, worker)
    elif _is_failing(worker.health_record) and _fails_more_than_peers(state, worker):
        _quarantine(state, worker)


def record_answer(state: tables.Tables, row: rows.Request, service_s: float) -> None:
    """Records an answer; a worker far slower than expected and than its peers is quarantined."""
    worker = row.worker
    if worker is None:
        return
    expected_s = state.demand.service_s * (1.0 + worker.predicted_slowdown)
    ratio = service_s / max(expected_s, 1e-6)
    record = worker.health_record
    record.answers += 1
    weight = max(1.0 / AVERAGING_EVENTS, 1.0 / record.answers)
    record.slowness += weight * (ratio - record.slowness)
    worker.last_answer_at = state.now
    if worker.quarantined and ratio > SLOW_RATIO:
        _record_probe_failure(state, worker)
        return
    record_success(state, worker, row.request.work_class)
    if not worker.quarantined and _is_slow(record) and _is_slower_than_peers(state, worker):
        _quarantine(state, worker)


def record_timeout(state: tables.Tables, row: rows.Request) -> None:
    """Records a failure for a request that its worker held past the deadline.

    A worker that answered other requests since the send is only slow, or got the request late;
    that is no failure.
    """
    worker = row.worker
    if worker is not None and worker.last_answer_at < row.sent_at:
        record_failure(state, worker, row.request.work_class)


def is_class_faulty(state: tables.Tables, work_class: str) -> bool:
    """Returns whether a class fails often, on at least `FAULTY_CLASS_WORKERS` workers."""
    record = state.class_health(work_class)
    return _is_failing(record) and len(record.failed_at) >= FAULTY_CLASS_WORKERS


def run(state: tables.Tables) -> None:
    """Decays failures, checks for hangs, and lets quarantined workers be probed when due."""
    for worker in state.workers.values():
        if worker.health_record.failures > 0.01:
            worker.health_record.failures *= FAILURE_DECAY
            state.reindex_worker(worker)
        if worker.requests:
            _check_for_hang(state, worker)
        if worker.quarantined and state.now >= worker.next_probe_at and not worker.probe_in_flight:
            state.probe_candidates[worker.worker_id] = worker
            if state.now >= worker.next_probe_at + PROBE_WAIT_LIMIT_S:
                _end_quarantine(state, worker)
    for record in state.class_health_records.values():
        _drop_old_failures(record, before=state.now - state.settings.class_memory_s)


def _record_start(record: rows.HealthRecord, *, failed: float) -> None:
    decay = 1.0 - 1.0 / AVERAGING_EVENTS
    record.starts = record.starts * decay + 1.0
    record.failures = record.failures * decay + failed


def _is_failing(record: rows.HealthRecord) -> bool:
    if record.failures < MIN_FAILURES * (1.0 - 1.0 / AVERAGING_EVENTS) ** 2:
        return False
    return record.failures >= FAULTY_RATE * record.starts


def _drop_old_failures(record: rows.HealthRecord, *, before: float) -> None:
    for worker_id in [key for key, at in record.failed_at.items() if at < before]:
        del record.failed_at[worker_id]


def _fails_more_than_peers(state: tables.Tables, worker: rows.Worker) -> bool:
    peers = [
        other.health_record.failures / other.health_record.starts
        for other in state.workers.values()
        if other is not worker and not other.quarantined and other.health_record.starts > 0
    ]
    mean = sum(peers) / len(peers) if peers else 0.0
    own = worker.health_record.failures / worker.health_record.starts
    return own > PEER_RATIO * mean


def _is_slow(record: rows.HealthRecord) -> bool:
    return record.answers >= MIN_SLOWNESS_ANSWERS and record.slowness > SLOW_RATIO


def _is_slower_than_peers(state: tables.Tables, worker: rows.Worker) -> bool:
    """Returns whether a worker is far slower than its peers are now.

    A crest, the peak of a swing of load, slows all workers compared with the expected time.
    """
    peers = [
        other.health_record.slowness
        for other in state.workers.values()
        if other is not worker
        and not other.quarantined
        and other.health_record.answers >= MIN_SLOWNESS_ANSWERS
    ]
    if not peers:
        return False
    usual = max(1.0, statistics.median(peers))
    return worker.health_record.slowness > SLOW_RATIO * usual


def _quarantine(state: tables.Tables, worker: rows.Worker) -> None:
    """Quarantines a worker, unless it is the only one or too many are quarantined already."""
    count = len(state.workers)
    quarantined = sum(other.quarantined for other in state.workers.values())
    if count == 1 or quarantined + 1 > max(1, math.floor(MAX_QUARANTINED_FRACTION * count)):
        return
    worker.quarantined = True
    worker.probe_backoff_s = INITIAL_PROBE_BACKOFF_S
    worker.next_probe_at = state.now + INITIAL_PROBE_BACKOFF_S
    worker.probes_passed = 0
    worker.probe_in_flight = False
    state.reindex_worker(worker)


def _record_probe_success(state: tables.Tables, worker: rows.Worker) -> None:
    worker.probe_in_flight = False
    worker.probes_passed += 1
    worker.next_probe_at = state.now
    if worker.probes_passed >= PROBES_TO_RECOVER:
        _end_quarantine(state, worker)


def _end_quarantine(state: tables.Tables, worker: rows.Worker) -> None:
    worker.quarantined = False
    worker.probe_in_flight = False
    worker.health_record = rows.HealthRecord()
    state.probe_candidates.pop(worker.worker_id, None)
    state.batch_placement_due = True
    state.reindex_worker(worker)


def _record_probe_failure(state: tables.Tables, worker: rows.Worker) -> None:
    if not worker.probe_in_flight:
        return
    worker.probe_in_flight = False
    worker.probes_passed = 0
    worker.probe_backoff_s = min(MAX_PROBE_BACKOFF_S, 2.0 * worker.probe_backoff_s)
    worker.next_probe_at = state.now + worker.probe_backoff_s


def _check_for_hang(state: tables.Tables, worker: rows.Worker) -> None:
    """Retries requests of a hanging worker on others, and quarantines it if there are several.

    A hang can be recognized only when the mean service time is known.
    """
    if state.demand.answers < MIN_HANG_HISTORY:
        return
    limit_s = max(
        MIN_HANG_S, HANG_SERVICE_TIMES * state.demand.service_s * (1.0 + worker.predicted_slowdown)
    )
    since = state.now - limit_s
    stuck = []
    for row in worker.requests.values():
        if row.sent_at > since:
            break
        stuck.append(row)
    if worker.last_answer_at > since or not stuck:
        return
    if len(stuck) >= MIN_HUNG_REQUESTS and not worker.quarantined:
        _quarantine(state, worker)
    _record_probe_failure(state, worker)
    _record_start(worker.health_record, failed=1.0)
    for row in stuck:
        retry.hedge(state, row)
