"""`make demo`: serves an urgent request and runs a batch job to its end, in one process."""

from __future__ import annotations

import sys
from typing import Any

import click
import msgspec
import treq
from ebonyhatch.testing import embedded, processes, samples
from twisted.internet import defer, task

JOB_ID = "cutting-plan-1"
JOB_RUN_S = 2.0
POLL_S = 0.25
TIMEOUT_S = 60.0
HTTP_OK = 200
HTTP_UNAVAILABLE = 503
ENDED = ("finished", "failed", "cancelled", "unrunnable")


class Response(msgspec.Struct, frozen=True, kw_only=True):
    """An HTTP response."""

    status: int
    body: bytes


def main() -> None:
    """Runs the demo on the reactor; the exit code is 0 if the request and the job succeeded."""
    task.react(lambda reactor: defer.ensureDeferred(_run(reactor)))


async def _run(reactor: Any) -> None:
    entry = embedded.EmbeddedEntry(reactor=reactor, worker_ids=("worker-1", "worker-2"))
    await entry.start()
    _report("an entry with an in-memory store and two workers is up")
    try:
        await _demonstrate(reactor, entry)
    finally:
        await entry.close()
    _report("stopped gracefully: no work was interrupted")


async def _demonstrate(reactor: Any, entry: embedded.EmbeddedEntry) -> None:
    await _write_records(entry)
    await _wait_ready(reactor, entry)
    started_at = reactor.seconds()
    response = await _request_quote(reactor, entry)
    elapsed_s = reactor.seconds() - started_at
    _report(
        f"urgent request answered {response.status} in {elapsed_s * 1000:.0f} ms: {response.body!r}"
    )
    job = await _run_job(reactor, entry)
    click.echo("")
    click.echo("summary")
    click.echo(
        f"  request  {response.status}, {len(response.body)} bytes, {elapsed_s * 1000:.0f} ms"
    )
    click.echo(
        f"  job      {job['state']}, attempts {job['attempts']}, evictions {job['evictions']}"
    )
    if response.status != HTTP_OK or job["state"] != "finished":
        click.echo("the demo failed; see the lines above", err=True)
        sys.exit(1)


async def _write_records(entry: embedded.EmbeddedEntry) -> None:
    headers: dict[str | bytes, str | bytes] = {
        "Authorization": f"Bearer {processes.TOKEN}",
        "Content-Type": "application/json",
    }
    response = await _fetch(
        "PUT", entry.admin_url("/v1/admin/records"), msgspec.json.encode(samples.RECORDS), headers
    )
    _report(f"operators' records written: {response.status} {response.body.decode()[:100]}")


async def _wait_ready(reactor: Any, entry: embedded.EmbeddedEntry) -> None:
    deadline_at = reactor.seconds() + TIMEOUT_S
    while reactor.seconds() < deadline_at:
        response = await _fetch("GET", entry.admin_url("/health/ready"))
        if response.status == HTTP_OK:
            return
        await task.deferLater(reactor, POLL_S)


async def _request_quote(reactor: Any, entry: embedded.EmbeddedEntry) -> Response:
    """Repeats the request until a cell serves it; a cell's first seconds are its takeover."""
    deadline_at = reactor.seconds() + TIMEOUT_S
    while True:
        response = await _fetch(
            "POST", entry.caller_url("/v1/services/quotes/price"), b"three frames"
        )
        if response.status == HTTP_OK or reactor.seconds() > deadline_at:
            return response
        await task.deferLater(reactor, POLL_S)


async def _run_job(reactor: Any, entry: embedded.EmbeddedEntry) -> dict[str, Any]:
    body = {"class": "cutting", "job_id": JOB_ID, "payload": {"run_s": JOB_RUN_S}}
    deadline_at = reactor.seconds() + TIMEOUT_S
    response = await _submit(reactor, entry, body, deadline_at)
    _report(f"batch job submitted: {response.status}")
    last_state = ""
    while True:
        response = await _fetch("GET", entry.caller_url(f"/v1/jobs/{JOB_ID}"))
        job = msgspec.json.decode(response.body, type=dict[str, Any])
        state = str(job.get("state", f"HTTP {response.status}"))
        if state != last_state:
            _report(f"batch job is {state}")
            last_state = state
        if state in ENDED or reactor.seconds() > deadline_at:
            return {"attempts": 0, "evictions": 0, **job, "state": state}
        await task.deferLater(reactor, POLL_S)


async def _submit(
    reactor: Any, entry: embedded.EmbeddedEntry, body: dict[str, Any], deadline_at: float
) -> Response:
    """Submits until the job is durable; a call with status 503 was not run and may be repeated."""
    while True:
        response = await _fetch("POST", entry.caller_url("/v1/jobs"), msgspec.json.encode(body))
        if response.status != HTTP_UNAVAILABLE or reactor.seconds() > deadline_at:
            return response
        await task.deferLater(reactor, POLL_S)


async def _fetch(
    method: str, url: str, body: bytes = b"", headers: dict[str | bytes, str | bytes] | None = None
) -> Response:
    response = await treq.request(method, url, data=body, headers=headers, persistent=False)
    return Response(status=response.code, body=await response.content())


def _report(line: str) -> None:
    click.echo(f"demo: {line}")


if __name__ == "__main__":
    main()
