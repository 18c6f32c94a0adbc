"""Places requests and jobs on workers."""

from __future__ import annotations

from ebonyhatch.core import batch_queue, capacity, commands, rows, tables
from ebonyhatch.core.systems import admission

CANDIDATES_LIMIT = 8
"""Workers that are looked at for one request before it is set aside."""

SCAN_LIMIT = 32
"""Jobs of a lane that are looked at before the lane is left for this tick."""


def run(state: tables.Tables) -> None:
    """Place what fits, urgent work first."""
    place_requests(state)
    if state.batch_dirty:
        state.batch_dirty = False
        place_jobs(state)


def place_requests(state: tables.Tables) -> None:
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


def place_jobs(state: tables.Tables) -> None:
    """Start queued jobs until nothing more fits."""
    for tenants in state.batch.levels():
        for queue in tenants:
            _place_tenant(state, queue)


def _place_tenant(state: tables.Tables, queue: batch_queue.TenantQueue) -> None:
    for lane in (queue.resumed, *queue.lanes.values()):
        misses = 0
        for row in list(lane.values()):
            if not len(state.batch_workers) or misses >= SCAN_LIMIT:
                break
            worker = _worker_for_job(state, row)
            if worker is not None:
                start(state, row, worker)
            else:
                misses += 1
                _park_if_impossible(state, row)


def _worker_for_job(state: tables.Tables, row: rows.Job) -> rows.Worker | None:
    harmful = row.job.work_class in state.harmful
    lendable = state.reserve.lendable >= row.job.demand.slots
    for count, worker in enumerate(state.batch_workers.best()):
        if count >= CANDIDATES_LIMIT:
            break
        if worker.reserved_for_urgent and (harmful or not lendable):
            break
        if not state.harmful and not lendable:
            break
        fits = capacity.fits(worker, row.job.demand)
        if fits and worker.worker_id != row.avoid_worker_id:
            return worker
    return None


def start(state: tables.Tables, row: rows.Job, worker: rows.Worker) -> None:
    """Start the next attempt of a job."""
    priority = state.priority_of(row.job.work_class)
    state.batch.remove(row, priority=priority)
    row.attempts += 1
    row.avoid_worker_id = ""
    task = rows.Task(
        task_id=f"{row.job.job_id}/{row.attempts}",
        job=row,
        worker=worker,
        demand=row.job.demand,
        placed_at=state.now,
        saved_s=row.progress_s,
        saved_at=state.now,
    )
    state.reserve_task(task)
    command = commands.StartTask(
        task_id=task.task_id,
        job_id=row.job.job_id,
        attempt=row.attempts,
        worker_id=worker.worker_id,
    )
    state.commands.append(command)


def _park_if_impossible(state: tables.Tables, row: rows.Job) -> None:
    live = [worker for worker in state.workers.values() if not worker.leaving]
    if not live or any(row.job.demand.fits(worker.capacity) for worker in live):
        return
    state.batch.remove(row, priority=state.priority_of(row.job.work_class))
    row.parked = True
    state.parked[row.job.job_id] = row
    command = commands.ParkJob(job_id=row.job.job_id, reason="no-worker-can-hold-it")
    state.commands.append(command)
