"""Capacity probes of a daemon in its own process, with stand-ins over HTTP on loopback."""

from __future__ import annotations

import contextlib
import http.client
import json
import pathlib
import tempfile
import threading
import time
from collections.abc import Callable, Iterator

from ebonyhatch.testing import processes, samples
from ebonyhatch.testing.benches import capacity_slopes

WORKER_SIZES = (2, 8, 16)
QUICK_WORKER_SIZES = (1, 2, 3)
RATES = (25, 50, 100)
QUICK_RATES = (5, 10, 15)
JOB_RATES = (4, 8, 16)
QUICK_JOB_RATES = (2, 3, 4)
LOAD_WORKERS = 4
LOAD_SLOTS = 16
CALLERS = 8
RUN_S = 12.0
QUICK_RUN_S = 2.0
STARTUP_S = 3.0
ENTRY = "entry-1"
HOST = "127.0.0.1"
OK_STATUSES = (200, 202)


@contextlib.contextmanager
def running_deployment(*, workers: int) -> Iterator[processes.Deployment]:
    """Runs one entry with the given number of workers."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = processes.Deployment(
            folder=pathlib.Path(folder),
            entry_ids=(ENTRY,),
            worker_ids=tuple(f"worker-{number:02}" for number in range(workers)),
            slots=LOAD_SLOTS,
        )
        with processes.running(deployment):
            deployment.apply_records(entry_id=ENTRY, records=samples.RECORDS)
            time.sleep(STARTUP_S)
            yield deployment


class Load:
    """Callers that together send at a fixed rate, each over one connection."""

    def __init__(self, *, port: int, rate: float, run_s: float, call: Callable[..., int]) -> None:
        self._port = port
        self._rate = rate
        self._run_s = run_s
        self._call = call
        self.statuses: list[int] = []

    def run(self) -> Load:
        """Sends `rate * run_s` calls on schedule, waits for all answers, and returns this load."""
        callers = [threading.Thread(target=self._send, args=(number,)) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        return self

    @property
    def succeeded(self) -> int:
        """Number of calls that were answered with a success status."""
        return sum(status in OK_STATUSES for status in self.statuses)

    def _send(self, caller: int) -> None:
        connection = http.client.HTTPConnection(HOST, self._port, timeout=10.0)
        started_at = time.monotonic()
        for number in range(caller, int(self._rate * self._run_s), CALLERS):
            time.sleep(max(0.0, started_at + number / self._rate - time.monotonic()))
            self.statuses.append(self._call(connection, number))
        connection.close()


def _request(connection: http.client.HTTPConnection, number: int) -> int:
    connection.request("POST", "/v1/services/quotes/frames", body=b"x" * 200)
    response = connection.getresponse()
    response.read()
    return response.status


def _job(connection: http.client.HTTPConnection, number: int) -> int:
    body = {"class": "cutting", "job_id": f"job-{number}", "payload": {"run_s": 0.2}}
    connection.request("POST", "/v1/jobs", body=json.dumps(body))
    response = connection.getresponse()
    response.read()
    return response.status


@capacity_slopes.probe("daemon at rest")
def daemon_at_rest(*, seed: int, quick: bool) -> list[capacity_slopes.Slope]:
    """Measures processor time and memory of a daemon without work against the workers it owns."""
    run_s = QUICK_RUN_S if quick else RUN_S
    times, sizes = [], []
    for count in QUICK_WORKER_SIZES if quick else WORKER_SIZES:
        with running_deployment(workers=count) as deployment:
            pid = deployment.pid(name=ENTRY)
            before = capacity_slopes.process_cpu_s(pid)
            time.sleep(run_s)
            times.append((count, (capacity_slopes.process_cpu_s(pid) - before) / run_s * 1e3))
            sizes.append((count, capacity_slopes.process_resident_bytes(pid) / 1e6))
    return [
        capacity_slopes.slope(name="daemon: at rest", unit="ms/s", per="workers", points=times),
        capacity_slopes.slope(
            name="daemon: memory at rest", unit="MB", per="workers", points=sizes
        ),
    ]


@capacity_slopes.probe("daemon under requests")
def daemon_under_requests(*, seed: int, quick: bool) -> list[capacity_slopes.Slope]:
    """Measures processor time of a daemon as gateway and owner against requests answered."""
    rates = QUICK_RATES if quick else RATES
    points = _under_load(rates, _request, quick)
    return [
        capacity_slopes.slope(
            name="daemon: gateway and owner", unit="ms/s", per="requests a second", points=points
        )
    ]


@capacity_slopes.probe("daemon under jobs")
def daemon_under_jobs(*, seed: int, quick: bool) -> list[capacity_slopes.Slope]:
    """Measures processor time of a daemon against the rate of completed jobs."""
    rates = QUICK_JOB_RATES if quick else JOB_RATES
    points = _under_load(rates, _job, quick)
    return [
        capacity_slopes.slope(name="daemon: jobs", unit="ms/s", per="jobs a second", points=points)
    ]


def _under_load(
    rates: tuple[int, ...], call: Callable[..., int], quick: bool
) -> list[tuple[float, float]]:
    run_s = QUICK_RUN_S if quick else RUN_S
    points = []
    for rate in rates:
        with running_deployment(workers=LOAD_WORKERS) as deployment:
            port = deployment.entries[ENTRY].callers
            pid = deployment.pid(name=ENTRY)
            before = capacity_slopes.process_cpu_s(pid)
            started_at = time.monotonic()
            load = Load(port=port, rate=rate, run_s=run_s, call=call).run()
            time.sleep(1.0)
            took_s = time.monotonic() - started_at
            processor_s = capacity_slopes.process_cpu_s(pid) - before
            points.append((load.succeeded / took_s, processor_s / took_s * 1e3))
    return points
