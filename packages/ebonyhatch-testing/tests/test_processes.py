"""One request and one job end to end, with all components as separate processes."""

from __future__ import annotations

import contextlib
import json
import signal
import socket

import pytest
from ebonyhatch.testing import processes, samples


def test_a_free_port_is_reserved_and_its_process_can_listen_on_it():
    """A port that was only free when asked for was given out twice, or taken before its use."""
    ports = [processes.free_port() for _ in range(200)]
    assert len(set(ports)) == len(ports)
    with contextlib.closing(socket.socket()) as other, pytest.raises(OSError):
        other.bind((processes.HOST, ports[0]))
    with contextlib.closing(socket.socket()) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((processes.HOST, ports[0]))
        listener.listen()


def test_request_and_job_through_two_entries_and_two_workers(tmp_path):
    deployment = processes.Deployment(
        folder=tmp_path,
        entry_ids=("entry-a", "entry-b"),
        worker_ids=("worker-1", "worker-2"),
        slots=1,
    )
    with processes.running(deployment):
        applied = deployment.apply_records(entry_id="entry-a", records=samples.RECORDS)
        assert applied.status == 200, applied

        processes.wait_for(
            lambda: _owners(deployment) == {"entry-a", "entry-b"},
            description="a cell for each entry",
        )
        _each_entry_serves_workers_of_both(deployment)
        _job_runs_once(deployment)
        _bad_input_is_not_run(deployment)

        deployment.signal(name="entry-a", number=signal.SIGTERM)
        assert deployment.wait_exit(name="entry-a") == 0


def _owners(deployment):
    """Returns the owners whose own status reports that they serve."""
    return {
        cell["owner"]
        for entry_id in deployment.entries
        for cell in deployment.status(entry_id)["cells"]
        if cell["serving"]
    }


def _each_entry_serves_workers_of_both(deployment):
    """Checks that overlapping requests at one entry are spread over the workers of both."""
    for entry_id in deployment.entries:
        served_by = set()

        def ask(entry_id=entry_id, served_by=served_by):
            responses = processes.fetch_together(
                url=deployment.caller_url(entry_id, "/v1/services/quotes/price?frames=3"),
                bodies=[b"three frames", b"four frames"],
                headers={"X-Work-S": "0.3"},
            )
            for body, response in responses:
                if response.status == 200:
                    assert response.body == body
                    served_by.add(response.headers["X-Worker-Id"])
            return served_by == set(deployment.worker_ids)

        processes.wait_for(
            ask,
            description=f"answers of both workers at {entry_id}",
            log=deployment.log_of(entry_id),
        )


def _job_runs_once(deployment):
    job = {"class": "cutting", "job_id": "plan-1", "payload": {"run_s": 0.5}}
    submitted = processes.fetch(
        deployment.caller_url("entry-a", "/v1/jobs"), method="POST", body=json.dumps(job).encode()
    )
    assert submitted.status == 202, submitted
    for entry_id in deployment.entries:
        url = deployment.caller_url(entry_id, "/v1/jobs/plan-1")
        view = processes.wait_for(
            lambda url=url: _ended(processes.fetch(url)), description="end of plan-1"
        )
        assert view["state"] == "finished"
        assert view["attempts"] == 1


def _ended(response):
    view = response.json() if response.status == 200 else {}
    return view if view.get("state") in ("finished", "failed", "cancelled") else None


def _bad_input_is_not_run(deployment):
    response = processes.fetch(deployment.caller_url("entry-b", "/v1/services/none/x"))
    assert response.status == 404
    assert response.headers["Content-Type"] == "application/problem+json"
    problem = response.json()
    assert problem["outcome"] == "not-run"
    assert problem["remedy"]
