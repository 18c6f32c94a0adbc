"""Failures of entries as real processes: killed, frozen and stopped by signals."""

from __future__ import annotations

import json
import signal
from concurrent import futures

import pytest
from ebonyhatch.testing import processes, samples


@pytest.fixture
def deployment(tmp_path):
    started = processes.Deployment(
        folder=tmp_path, entry_ids=("entry-a", "entry-b"), worker_ids=("worker-1", "worker-2")
    )
    with processes.running(started):
        started.apply_records(entry_id="entry-a", records=samples.RECORDS)
        processes.wait_for(
            lambda: {started.owner_of(cell) for cell in started.cells()} == {"entry-a", "entry-b"},
            description="a cell for each entry",
        )
        yield started


def _submit(deployment, job_id, run_s):
    job = {"class": "cutting", "job_id": job_id, "payload": {"run_s": run_s}}
    url = deployment.caller_url("entry-b", "/v1/jobs")
    return processes.fetch(url, method="POST", body=json.dumps(job).encode()).status


def _view(deployment, entry_id, job_id):
    response = processes.fetch(deployment.caller_url(entry_id, f"/v1/jobs/{job_id}"))
    return response.json() if response.status == 200 else {}


def _all_in_state(deployment, job_ids, state):
    return all(_view(deployment, "entry-b", job_id).get("state") == state for job_id in job_ids)


def _runs(deployment, job_id):
    """Returns the number of starts of a job's attempts, as counted by the workers."""
    return sum(
        run["subject_id"].startswith(f"{job_id}/")
        for worker_id in deployment.worker_ids
        for run in deployment.worker_history(worker_id)["task_starts"]
    )


def test_killed_entry_is_taken_over_and_its_jobs_finish_once(deployment):
    job_ids = [f"job-{number}" for number in range(8)]
    assert [_submit(deployment, job_id, 12.0) for job_id in job_ids] == [202] * len(job_ids)
    processes.wait_for(
        lambda: _all_in_state(deployment, job_ids, "running"), description="jobs running"
    )

    deployment.signal(name="entry-a", number=signal.SIGKILL)

    processes.wait_for(
        lambda: {deployment.owner_of(cell, at="entry-b") for cell in deployment.cells("entry-b")}
        == {"entry-b"},
        description="take-over",
    )
    processes.wait_for(
        lambda: _all_in_state(deployment, job_ids, "finished"), description="jobs finished"
    )
    assert [_runs(deployment, job_id) for job_id in job_ids] == [1] * len(job_ids)


def test_frozen_entry_is_superseded_and_acts_on_nothing_after_it_thaws(deployment):
    job_ids = [f"job-{number}" for number in range(8)]
    assert [_submit(deployment, job_id, 20.0) for job_id in job_ids] == [202] * len(job_ids)
    processes.wait_for(
        lambda: _all_in_state(deployment, job_ids, "running"), description="jobs running"
    )

    deployment.signal(name="entry-a", number=signal.SIGSTOP)
    processes.wait_for(
        lambda: {deployment.owner_of(cell, at="entry-b") for cell in deployment.cells("entry-b")}
        == {"entry-b"},
        description="take-over",
    )
    deployment.signal(name="entry-a", number=signal.SIGCONT)

    processes.wait_for(
        lambda: _all_in_state(deployment, job_ids, "finished"), description="jobs finished"
    )
    assert [_runs(deployment, job_id) for job_id in job_ids] == [1] * len(job_ids)
    processes.wait_for(
        lambda: _view(deployment, "entry-a", job_ids[0]).get("state") == "finished",
        description="the thawed entry to route to the new owner",
    )


def test_planned_stop_cuts_off_no_request(deployment):
    url = deployment.caller_url("entry-a", "/v1/services/quotes/x")

    def ask(number):
        body = str(number).encode()
        return body, processes.fetch(url, method="POST", body=body, headers={"X-Work-S": "1.0"})

    with futures.ThreadPoolExecutor(max_workers=8) as pool:
        pending = [pool.submit(ask, number) for number in range(8)]
        processes.wait_for(
            lambda: sum(
                len(deployment.worker_history(worker_id)["request_starts"])
                for worker_id in deployment.worker_ids
            )
            >= len(pending),
            description="requests in progress",
        )
        deployment.signal(name="entry-a", number=signal.SIGTERM)
        responses = [done.result() for done in pending]
    assert [(response.status, response.body) for _, response in responses] == [
        (200, body) for body, _ in responses
    ]
    assert deployment.wait_exit(name="entry-a") == 0
