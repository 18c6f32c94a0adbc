"""Sentences that tell operators where a job or request is, and why."""

from __future__ import annotations

from ebonyhatch.core import rows, tables


def explain(state: tables.Tables, *, subject_id: str) -> str:
    """Returns the explanation of a job or request by id; empty if it is unknown."""
    job = state.jobs.get(subject_id)
    if job is not None:
        return _explain_job(state, job)
    request = state.requests.get(subject_id)
    if request is not None:
        return _explain_request(state, request)
    return ""


def _explain_job(state: tables.Tables, row: rows.Job) -> str:
    if row.parked:
        return (
            f"{row.job.job_id} is parked: no worker of the cell is large enough for"
            f" {row.job.demand}"
        )
    if row.task is not None:
        return _explain_task(state, row.task)
    return (
        f"{row.job.job_id} waits in the {row.lane.value} lane among {len(state.batch_queue)} jobs"
        f" after {row.attempts} attempts and {row.evictions} evictions"
    )


def _explain_task(state: tables.Tables, task: rows.Task) -> str:
    text = f"{task.task_id} is {task.state.value} on {task.worker.worker_id}"
    run_s = task.resumed_s + state.now - task.placed_at
    if run_s > state.run_times.straggler_s(task.job.job.work_class):
        text += f" and has run for {run_s:.0f} s, longer than nearly all of its class"
    return text


def _explain_request(state: tables.Tables, row: rows.Request) -> str:
    request_id = row.request.request_id
    if row.worker is not None:
        return f"{request_id} was sent to {row.worker.worker_id} at {row.sent_at:.3f}"
    return f"{request_id} waits among {len(state.urgent_queue)} requests for a free slot"
