"""Bench of the gateway: throughput and latency compared with a minimal relay, over loopback."""

from __future__ import annotations

import concurrent.futures
import http.client
import json
import pathlib
import random
import statistics
import tempfile
import time
import urllib.parse

import click
import msgspec
from ebonyhatch.testing import processes, samples
from ebonyhatch.testing.benches import registry

CALLERS = 16
REQUESTS_ALONE = 300
REQUESTS_EACH = 60
QUICK_DIVISOR = 5
BODY_BYTES = (10, 2_000)
MS_PER_S = 1000.0
TARGETS = {
    "throughput_at_16_to_relay": 0.7,
    "median_at_1_to_relay": 1.5,
    "median_forwarded_to_relay": 2.2,
}


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """One path to the service."""

    name: str
    url: str


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one route and seed."""

    median_ms: float
    p99_ms: float
    requests_per_s: float


@registry.bench("gateway")
def run(*, seeds: tuple[int, ...], quick: bool = False) -> None:
    """Measures each route for each seed and prints the figures."""
    divisor = QUICK_DIVISOR if quick else 1
    with tempfile.TemporaryDirectory() as folder:
        deployment = processes.Deployment(
            folder=pathlib.Path(folder),
            entry_ids=("entry-a", "entry-b"),
            worker_ids=("worker-1", "worker-2"),
            slots=CALLERS,
        )
        with processes.running(deployment):
            routes = _set_up_routes(deployment)
            rows = {
                seed: {route.name: _measure(route, seed, divisor) for route in routes}
                for seed in seeds
            }
    _print(rows)


def _set_up_routes(deployment: processes.Deployment) -> tuple[Route, ...]:
    """Starts the relay, applies a service for each failure domain and returns the routes."""
    deployment.apply_records(entry_id="entry-a", records=_records())
    relay = _start_relay(deployment)
    owners = processes.wait_for(lambda: _owners(deployment), description="a cell for each entry")
    own_domain = next(domain for domain, owner in owners.items() if owner == "entry-a")
    other_domain = next(domain for domain, owner in owners.items() if owner == "entry-b")
    routes = (
        Route(name="relay", url=relay),
        Route(name="own", url=deployment.caller_url("entry-a", f"/v1/services/{own_domain}/x")),
        Route(
            name="forwarded", url=deployment.caller_url("entry-a", f"/v1/services/{other_domain}/x")
        ),
    )
    for route in routes:
        processes.wait_for(
            lambda url=route.url: processes.fetch(url).status == 200,  # type: ignore[misc]
            description=route.name,
        )
    return routes


def _records() -> list[dict[str, object]]:
    service = next(record for record in samples.RECORDS if record["kind"] == "service")
    other_records = [record for record in samples.RECORDS if record["kind"] != "service"]
    domains = ("domain-1", "domain-2")
    services = [{**service, "name": name, "failure_domains": [name]} for name in domains]
    return other_records + services


def _start_relay(deployment: processes.Deployment) -> str:
    """Starts a separate worker and the relay in front of it; returns the relay's URL."""
    worker_port, relay_port = processes.free_port(), processes.free_port()
    deployment.start_module(
        name="bare-worker",
        module="ebonyhatch.testing.stand_ins.worker",
        arguments=(
            "--worker-id",
            "bare",
            "--port",
            str(worker_port),
            "--slots",
            str(CALLERS),
        ),
    )
    deployment.start_module(
        name="relay",
        module="ebonyhatch.testing.relay",
        arguments=(
            "--port",
            str(relay_port),
            "--target",
            f"http://{processes.HOST}:{worker_port}",
        ),
    )
    return f"http://{processes.HOST}:{relay_port}/service/quotes/x"


def _owners(deployment: processes.Deployment) -> dict[str, str]:
    """Returns the owner of each failure domain once each entry serves a cell, else nothing."""
    owners_by_domain = {
        str(cell["name"]).rpartition(".")[0]: str(cell["owner"])
        for entry_id in deployment.entries
        for cell in deployment.status(entry_id)["cells"]
        if cell["serving"]
    }
    return owners_by_domain if set(owners_by_domain.values()) == set(deployment.entries) else {}


def _measure(route: Route, seed: int, divisor: int) -> Figures:
    generator = random.Random(seed)
    bodies = [generator.randbytes(generator.randint(*BODY_BYTES)) for _ in range(REQUESTS_EACH)]
    alone_s = _call_sequentially(route.url, bodies, REQUESTS_ALONE // divisor)
    started_at = time.perf_counter()
    with concurrent.futures.ThreadPoolExecutor(max_workers=CALLERS) as pool:
        futures = [
            pool.submit(_call_sequentially, route.url, bodies, REQUESTS_EACH // divisor)
            for _ in range(CALLERS)
        ]
        count = sum(len(done.result()) for done in futures)
    together_s = time.perf_counter() - started_at
    return Figures(
        median_ms=statistics.median(alone_s) * MS_PER_S,
        p99_ms=sorted(alone_s)[int(0.99 * len(alone_s))] * MS_PER_S,
        requests_per_s=count / together_s,
    )


def _call_sequentially(url: str, bodies: list[bytes], count: int) -> list[float]:
    """Makes calls one after another over one connection and checks every response."""
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(parts.netloc, timeout=10.0)
    latencies_s = []
    for number in range(count):
        body = bodies[number % len(bodies)]
        started_at = time.perf_counter()
        connection.request("POST", parts.path, body=body)
        response = connection.getresponse()
        body_received = response.read()
        if body_received != body or response.status != 200:
            raise AssertionError(f"{url} answered {response.status}: {body_received!r}")
        latencies_s.append(time.perf_counter() - started_at)
    connection.close()
    return latencies_s


def _print(rows: dict[int, dict[str, Figures]]) -> None:
    click.echo("seed route      median ms  p99 ms  requests/s at 16")
    for seed, figures in rows.items():
        for name, row in figures.items():
            click.echo(
                f"{seed:4} {name:10} {row.median_ms:9.2f} {row.p99_ms:7.2f} {row.requests_per_s:9.0f}"
            )
    click.echo(json.dumps(_summary(rows)))


def _summary(rows: dict[int, dict[str, Figures]]) -> dict[str, object]:
    ratios = {
        "throughput_at_16_to_relay": [
            row["own"].requests_per_s / row["relay"].requests_per_s for row in rows.values()
        ],
        "median_at_1_to_relay": [
            row["own"].median_ms / row["relay"].median_ms for row in rows.values()
        ],
        "median_forwarded_to_relay": [
            row["forwarded"].median_ms / row["relay"].median_ms for row in rows.values()
        ],
    }
    measured = {name: statistics.median(values) for name, values in ratios.items()}
    return {
        "bench": "gateway",
        "seed": list(rows),
        "figures": {
            seed: {name: msgspec.to_builtins(row) for name, row in figures.items()}
            for seed, figures in rows.items()
        },
        "baseline": "relay",
        "targets": {
            name: {
                "target": target,
                "measured": round(measured[name], 3),
                "met": _met(name, measured[name], target),
            }
            for name, target in TARGETS.items()
        },
    }


def _met(name: str, measured: float, target: float) -> bool:
    return measured >= target if name.startswith("throughput") else measured <= target


if __name__ == "__main__":
    registry.main("gateway")
