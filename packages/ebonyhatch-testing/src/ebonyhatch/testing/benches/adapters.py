"""Bench of the HTTP adapters: cost of a call compared with plain treq, over loopback."""

from __future__ import annotations

import contextlib
import json
import random
import statistics
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from typing import Any

import msgspec
import treq
from ebonyhatch.core import resources
from ebonyhatch.ports import addresses, http_store, http_workers, worker_messages, workers
from ebonyhatch.testing import real_reactor
from ebonyhatch.testing.benches import measures, registry
from twisted.internet import defer
from twisted.web import client, http_headers

HOST = "127.0.0.1"
BATCHES = 12
CALLS_PER_BATCH = 100
QUICK_DIVISOR = 6
BODY_BYTES = 1_000
TASKS = 8
"""Number of tasks that run on the worker and are listed in its reports."""

US_PER_S = 1e6
LEASE_S = 600.0
RATIO_TARGET = 1.2
BASELINE = "treq"

Call = Callable[[], Any]


class Contender(msgspec.Struct, frozen=True, kw_only=True):
    """One implementation (`way`) of one kind of call; `ask` makes the call."""

    call: str
    way: str
    ask: Call


class Cost(msgspec.Struct, frozen=True, kw_only=True):
    """Cost of a call, microseconds; `processor_us` counts only the caller's processor time."""

    median_us: float
    p99_us: float
    processor_us: float


@registry.bench("adapters")
def run(*, seeds: tuple[int, ...], quick: bool = False) -> None:
    """Measures each adapter and plain treq in random order for each seed."""
    batches = max(2, BATCHES // QUICK_DIVISOR) if quick else BATCHES
    worker = ("worker", "--worker-id", "w1", "--slots", str(2 * TASKS))
    with _stand_in("store") as store_port, _stand_in(*worker) as worker_port:
        rows = [_measure(store_port, worker_port, seed, batches) for seed in seeds]
    _print(seeds, rows)


@contextlib.contextmanager
def _stand_in(name: str, *options: str) -> Iterator[int]:
    command = [sys.executable, "-m", f"ebonyhatch.testing.stand_ins.{name}", *options]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    try:
        yield json.loads(process.stdout.readline() if process.stdout else b"")["listening"]
    finally:
        process.terminate()
        process.wait()


def _measure(
    store_port: int, worker_port: int, seed: int, batches: int
) -> dict[tuple[str, str], Cost]:
    generator = random.Random(seed)
    adapters = _Clients(store_port=store_port, worker_port=worker_port)
    real_reactor.run(adapters.start)
    real_reactor.run(adapters.start_tasks)
    contenders = adapters.contenders(generator.randbytes(BODY_BYTES))
    latencies: dict[tuple[str, str], list[float]] = {}
    processor: dict[tuple[str, str], float] = {}
    for batch in range(batches + 1):
        generator.shuffle(contenders)
        for contender in contenders:
            latencies_s, processor_s = _run_batch(contender.ask)
            if batch == 0:
                continue
            latencies.setdefault((contender.call, contender.way), []).extend(latencies_s)
            processor[contender.call, contender.way] = (
                processor.get((contender.call, contender.way), 0.0) + processor_s
            )
    real_reactor.run(adapters.close)
    return {key: _cost(latencies_s, processor[key]) for key, latencies_s in latencies.items()}


def _run_batch(ask: Call) -> tuple[list[float], float]:
    """Makes calls one after the other; returns their latencies and their total processor time."""

    @defer.inlineCallbacks
    def calls() -> Any:
        latencies = []
        started_at = time.thread_time()
        for _ in range(CALLS_PER_BATCH):
            called_at = time.perf_counter()
            yield ask()
            latencies.append(time.perf_counter() - called_at)
        return latencies, time.thread_time() - started_at

    return real_reactor.run(calls)


def _cost(latencies: list[float], processor_s: float) -> Cost:
    return Cost(
        median_us=statistics.median(latencies) * US_PER_S,
        p99_us=measures.percentile(latencies, 0.99) * US_PER_S,
        processor_us=processor_s / len(latencies) * US_PER_S,
    )


class _Clients:
    """The adapters and plain treq, each with its own connection pool."""

    def __init__(self, *, store_port: int, worker_port: int) -> None:
        reactor = real_reactor.reactor
        self._store = http_store.HttpStore(reactor=reactor, host=HOST, port=store_port)
        self._workers = http_workers.HttpWorkers(reactor=reactor)
        self._address = workers.Address(worker_id="w1", host=HOST, port=worker_port)
        self._store_url = addresses.base_url(host=HOST, port=store_port)
        self._worker_url = addresses.base_url(host=HOST, port=worker_port)
        self._pool = client.HTTPConnectionPool(reactor)

    def start(self) -> None:
        """Starts the adapters."""
        self._store.start()
        self._workers.start()

    def start_tasks(self) -> Any:
        """Starts the tasks that the worker reports."""
        orders = [
            workers.TaskOrder(
                task_id=f"job-{number}/1",
                job_id=f"job-{number}",
                work_class="batch",
                demand=resources.Resources(slots=1, cores=1.0),
                lease_s=LEASE_S,
                payload=b'{"run_s": 100000}',
            )
            for number in range(TASKS)
        ]
        return defer.gatherResults(
            self._workers.start_task(address=self._address, epoch=1, order=order)
            for order in orders
        )

    def close(self) -> Any:
        """Closes all connections."""
        self._store.close()
        self._workers.close()
        return self._pool.closeCachedConnections()

    def contenders(self, body: bytes) -> list[Contender]:
        """Returns each kind of call, made by the adapter and by plain treq."""
        request = workers.ServiceRequest(
            request_id="r1",
            service="orders",
            method="POST",
            path="quote",
            headers=(workers.Header(name="Content-Type", value="application/json"),),
            body=body,
            timeout_s=5.0,
        )
        address = self._address
        renew_body = msgspec.json.encode(worker_messages.RenewCall(epoch=1, lease_s=LEASE_S))
        asks: dict[str, tuple[Call, Call]] = {
            "get": (
                lambda: self._store.get(key="k"),
                lambda: self._plain(f"{self._store_url}/v1/get", b'{"key":"k"}'),
            ),
            "renew": (
                lambda: self._workers.renew(address=address, epoch=1, lease_s=LEASE_S),
                lambda: self._plain(f"{self._worker_url}/v1/renew", renew_body),
            ),
            "forward": (
                lambda: self._workers.forward(address=address, epoch=1, request=request),
                lambda: self._plain(f"{self._worker_url}/service/orders/quote", body),
            ),
        }
        return [
            Contender(call=call, way=way, ask=ask)
            for call, calls_by_variant in asks.items()
            for way, ask in zip(("adapter", BASELINE), calls_by_variant, strict=True)
        ]

    def _plain(self, url: str, body: bytes) -> Any:
        headers = http_headers.Headers(
            {
                "Content-Type": ["application/json"],
                "Ebonyhatch-Request-Id": ["r1"],
                "Ebonyhatch-Epoch": ["1"],
            }
        )
        response = treq.post(url, data=body, headers=headers, pool=self._pool, timeout=5.0)
        return response.addCallback(treq.content)


def _print(seeds: tuple[int, ...], rows: list[dict[tuple[str, str], Cost]]) -> None:
    """Prints medians over the seeds, and the ratios of the worst seed as targets."""
    figures: dict[str, dict[str, float]] = {"adapter": {}, BASELINE: {}}
    targets = []
    for call in sorted({call for call, _ in rows[0]}):
        for way, medians in figures.items():
            for field in Cost.__struct_fields__:
                values = [getattr(row[call, way], field) for row in rows]
                medians[f"{call}_{field}"] = round(statistics.median(values), 1)
        for field in ("median_us", "processor_us"):
            ratios = [
                getattr(row[call, "adapter"], field) / getattr(row[call, BASELINE], field)
                for row in rows
            ]
            targets.append(
                measures.Target(
                    name=f"{call}_{field}_to_treq", target=RATIO_TARGET, measured=max(ratios)
                )
            )
    measures.print_targets(
        bench="adapters",
        seeds=seeds,
        measured=dict(figures["adapter"]),
        baseline=dict(figures[BASELINE]),
        targets=targets,
    )


if __name__ == "__main__":
    registry.main("adapters")
