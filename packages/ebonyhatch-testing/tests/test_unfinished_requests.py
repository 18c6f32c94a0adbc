"""A daemon's process under a crowd of callers whose requests are never completed.

Guards against a process that ends for lack of memory, runs out of descriptors or stops answering.
"""

from __future__ import annotations

import json
import time

import pytest
from ebonyhatch.testing import crowd, processes, samples

MEMORY_MB = 140
"""`limits.memory_mb`, and the bound on the process's memory."""

MAX_FDS = 200
"""`limits.max_fds`, and the bound on its descriptors."""

CONNECTIONS = 300
"""Size of a crowd; more than `MAX_FDS`."""

ANSWER_TIMEOUT_S = 60.0
"""Time after which a caller gives up, seconds; it only ends a hung run."""

RETRY_PERIOD_S = 0.5
BODY_BYTES = 1_000_000
LARGE_BODY_BYTES = 409_600
TINY_CHUNKS_BODY_BYTES = 20_480
LARGE_CHUNK_BYTES = 16_384
HEAD_BYTES = 12_000
ENTRY = "entry-a"


@pytest.fixture
def deployment(tmp_path):
    started = processes.Deployment(
        folder=tmp_path,
        entry_ids=(ENTRY,),
        worker_ids=("worker-1", "worker-2"),
        limits={"memory_mb": MEMORY_MB, "max_fds": MAX_FDS, "body_bytes": BODY_BYTES},
    )
    with crowd.exclusive(), processes.running(started):
        started.apply_records(entry_id=ENTRY, records=samples.RECORDS)
        processes.wait_for(
            lambda: {started.owner_of(cell) for cell in started.cells()} == {ENTRY},
            description="owned cells",
        )
        yield started


def _submit_until_accepted(deployment, job_id):
    """Submits as an ordinary caller does, again after a refusal; returns the last status."""
    job = {"class": "cutting", "job_id": job_id, "payload": {"run_s": 1.0}}
    url = deployment.caller_url(ENTRY, "/v1/jobs")
    give_up_at = time.monotonic() + ANSWER_TIMEOUT_S
    while True:
        status = processes.fetch(
            url, method="POST", body=json.dumps(job).encode(), timeout_s=ANSWER_TIMEOUT_S
        ).status
        if status != 503 or time.monotonic() > give_up_at:
            return status
        time.sleep(RETRY_PERIOD_S)


def _head(*lines):
    return crowd.head(target="/v1/jobs", host="x", lines=lines)


LARGE_CHUNKS = _head("Transfer-Encoding: chunked") + crowd.chunks(
    b" " * LARGE_BODY_BYTES, LARGE_CHUNK_BYTES
)
ONE_BYTE_CHUNKS = _head("Transfer-Encoding: chunked") + crowd.chunks(
    b" " * TINY_CHUNKS_BODY_BYTES, 1
)
DECLARED_LENGTH = _head(f"Content-Length: {BODY_BYTES}") + b" " * LARGE_BODY_BYTES
UNFINISHED_HEAD = _head(
    *(f"X-{line}: {'x' * 90}" for line in range(HEAD_BYTES // 100))
).removesuffix(b"\r\n")


@pytest.mark.xdist_group("crowd")
@pytest.mark.parametrize(
    ("listener", "request_bytes"),
    [
        pytest.param("callers", LARGE_CHUNKS, id="large-chunks"),
        pytest.param("callers", ONE_BYTE_CHUNKS, id="one-byte-chunks"),
        pytest.param("callers", DECLARED_LENGTH, id="declared-length"),
        pytest.param("callers", UNFINISHED_HEAD, id="unfinished-head"),
        pytest.param("admin", LARGE_CHUNKS, id="admin"),
    ],
)
def test_process_stays_within_its_limits_and_answers_others(deployment, listener, request_bytes):
    """Guards against the loss of an entry through callers that stop short of a request's end."""
    pid = deployment.pid(name=ENTRY)
    usages: list[crowd.Usage] = []
    port = getattr(deployment.entries[ENTRY], listener)
    callers = crowd.Crowd(port=port, requests=[request_bytes] * CONNECTIONS)
    try:
        callers.send(sample=lambda: usages.append(crowd.usage(pid)))
        status = _submit_until_accepted(deployment, "ordinary")
        usages.append(crowd.usage(pid))
    finally:
        callers.close()
    print(
        f"largest: {max(one.memory_bytes for one in usages)} bytes,"
        f" {max(one.descriptors for one in usages)} descriptors"
    )
    assert status == 202
    assert max(one.descriptors for one in usages) <= MAX_FDS
    assert max(one.memory_bytes for one in usages) <= MEMORY_MB * 1_000_000
