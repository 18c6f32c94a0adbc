"""Capacity probes of one cell over in-memory ports: processor time, store calls, journal bytes."""

from __future__ import annotations

import functools
import json

from ebonyhatch.core import configuration, default_scheduler, entities, resources
from ebonyhatch.node import cell, messages
from ebonyhatch.ports import instances, memory_workers, workers
from ebonyhatch.testing.benches import capacity_slopes, counting_store, heap_clock

WORKER_SIZES = (21, 42, 83)
JOB_RATES = (5, 20, 60)
REQUEST_RATES = (50, 100, 200)
CELL_SIZES = (2, 7, 20)
WORKERS_OF_SMALL_CELL = 5
QUICK_SIZES = (4, 8, 16)
QUICK_RATES = (2, 4, 8)
TENANT = "team-1"
RUN_S = 20.0
QUICK_RUN_S = 4.0
STEP_S = 0.02
JOB_RUN_S = 1.0
REQUEST_WORK_S = "0.1"
PAYLOAD_BYTES = 200

CAPACITY = resources.Resources(slots=64, connections=256, cores=64.0, memory_gb=256.0)
DEMAND = resources.Resources(slots=1, connections=1, cores=0.5, memory_gb=0.5)
CONFIGURATION_IN_FORCE = configuration.InForce(
    generation=1,
    classes=(
        entities.WorkClass(
            name="quote", urgency=entities.Urgency.URGENT, deadline_s=2.0, demand=DEMAND
        ),
        entities.WorkClass(name="plan", urgency=entities.Urgency.BATCH, demand=DEMAND),
    ),
    tenants=(entities.Tenant(name=TENANT),),
)


class CellBench:
    """One active cell with in-memory workers."""

    def __init__(self, *, worker_count: int) -> None:
        self.clock = heap_clock.HeapClock()
        self.store = counting_store.CountingStore(clock=self.clock)
        self.workers = memory_workers.MemoryWorkers(clock=self.clock)
        self.number = 0
        names = [f"worker-{number:04}" for number in range(worker_count)]
        for name in names:
            self.workers.add(worker_id=name, capacity=CAPACITY)
        self.cell = cell.Cell(
            name="domain-01.0",
            epoch=1,
            entry_id="entry-01",
            store=self.store,
            workers_port=self.workers,
            scheduler=default_scheduler.DefaultScheduler(seed=1),
            clock=self.clock,
            may_act=lambda: True,
            seed=1,
        )
        self.cell.set_configuration(in_force=CONFIGURATION_IN_FORCE)
        self.cell.set_workers(instances=tuple(_instance(name) for name in names))
        self.cell.start()
        self.run(3.0)

    def run(self, seconds: float) -> None:
        """Advances the clock in small steps."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def offer(self, *, rate: float, seconds: float, jobs: bool) -> int:
        """Submits jobs or requests at a rate; returns their number."""
        first, due = self.number, 0.0
        for _ in range(round(seconds / STEP_S)):
            due += rate * STEP_S
            while due >= 1.0:
                due -= 1.0
                self.number += 1
                self._offer_one(jobs)
            self.clock.advance(STEP_S)
        return self.number - first

    def _offer_one(self, jobs: bool) -> None:
        if jobs:
            self.cell.submit(job=_job(self.number))
        else:
            self.cell.request(call=_call(self.number))


def _instance(name: str) -> instances.Instance:
    return instances.Instance(
        instance_id=name,
        role=instances.Role.WORKER,
        state=instances.InstanceState.LIVE,
        host="127.0.0.1",
        port=1,
        region="region-1",
        failure_domain="domain-01",
        rack=f"rack-{name[-1]}",
    )


def _job(number: int) -> entities.Job:
    payload = {"run_s": JOB_RUN_S, "filler": "x" * PAYLOAD_BYTES}
    return entities.Job(
        job_id=f"job-{number:012}",
        work_class="plan",
        tenant=TENANT,
        demand=DEMAND,
        payload=json.dumps(payload).encode(),
    )


def _call(number: int) -> messages.RequestCall:
    return messages.RequestCall(
        cell="domain-01.0",
        request=workers.ServiceRequest(
            request_id=f"request-{number}",
            service="quotes",
            method="POST",
            path="",
            headers=(workers.Header(name="X-Work-S", value=REQUEST_WORK_S),),
            body=b"x" * PAYLOAD_BYTES,
            timeout_s=2.0,
        ),
        work_class="quote",
        tenant=TENANT,
        idempotent=True,
    )


@capacity_slopes.probe("cell at rest")
def cell_at_rest(*, seed: int, quick: bool) -> list[capacity_slopes.Slope]:
    """Measures processor time and store calls of a cell without work against its workers."""
    run_s = QUICK_RUN_S if quick else RUN_S
    times, reads, writes = [], [], []
    for size in QUICK_SIZES if quick else WORKER_SIZES:
        bench = CellBench(worker_count=size)
        before = (bench.store.reads, bench.store.writes)
        times.append(
            (size, capacity_slopes.cpu_s(functools.partial(bench.run, run_s)) / run_s * 1e3)
        )
        reads.append((size, (bench.store.reads - before[0]) / run_s))
        writes.append((size, (bench.store.writes - before[1]) / run_s))
    per = "workers of the cell"
    return [
        capacity_slopes.slope(name="cell: at rest", unit="ms/s", per=per, points=times),
        capacity_slopes.slope(name="cell: reads at rest", unit="1/s", per=per, points=reads),
        capacity_slopes.slope(name="cell: writes at rest", unit="1/s", per=per, points=writes),
    ]


@capacity_slopes.probe("cells at rest")
def cells_at_rest(*, seed: int, quick: bool) -> list[capacity_slopes.Slope]:
    """Measures processor time of cells with a few workers and no work against their number."""
    run_s = QUICK_RUN_S if quick else RUN_S
    points = []
    for size in CELL_SIZES:
        benches = [CellBench(worker_count=WORKERS_OF_SMALL_CELL) for _ in range(size)]
        processor_s = sum(
            capacity_slopes.cpu_s(functools.partial(bench.run, run_s)) for bench in benches
        )
        points.append((size, processor_s / run_s * 1e3))
    return [
        capacity_slopes.slope(
            name="cells: at rest, 5 workers each", unit="ms/s", per="cells", points=points
        )
    ]


@capacity_slopes.probe("cell under jobs")
def cell_under_jobs(*, seed: int, quick: bool) -> list[capacity_slopes.Slope]:
    """Measures processor time, journal writes and bytes against the rate of completed jobs."""
    run_s = QUICK_RUN_S if quick else RUN_S
    times, writes, reads, sizes = [], [], [], []
    for rate in QUICK_RATES if quick else JOB_RATES:
        bench = CellBench(worker_count=QUICK_SIZES[-1] if quick else WORKER_SIZES[-1])
        before = (bench.store.writes, bench.store.swapped_bytes, bench.store.reads)
        processor_s = capacity_slopes.cpu_s(
            functools.partial(bench.offer, rate=rate, seconds=run_s, jobs=True)
        )
        times.append((rate, processor_s / run_s * 1e3))
        writes.append((rate, (bench.store.writes - before[0]) / run_s))
        sizes.append((rate, (bench.store.swapped_bytes - before[1]) / run_s / 1e3))
        reads.append((rate, (bench.store.reads - before[2]) / run_s))
    per = "jobs a second"
    return [
        capacity_slopes.slope(name="cell: under jobs", unit="ms/s", per=per, points=times),
        capacity_slopes.slope(name="cell: journal writes", unit="1/s", per=per, points=writes),
        capacity_slopes.slope(name="cell: journal reads", unit="1/s", per=per, points=reads),
        capacity_slopes.slope(name="cell: journal bytes", unit="KB/s", per=per, points=sizes),
    ]


@capacity_slopes.probe("cell under requests")
def cell_under_requests(*, seed: int, quick: bool) -> list[capacity_slopes.Slope]:
    """Measures processor time against requests served."""
    run_s = QUICK_RUN_S if quick else RUN_S
    times = []
    for rate in QUICK_RATES if quick else REQUEST_RATES:
        bench = CellBench(worker_count=QUICK_SIZES[-1] if quick else WORKER_SIZES[-1])
        processor_s = capacity_slopes.cpu_s(
            functools.partial(bench.offer, rate=rate, seconds=run_s, jobs=False)
        )
        times.append((rate, processor_s / run_s * 1e3))
    return [
        capacity_slopes.slope(
            name="cell: under requests", unit="ms/s", per="requests a second", points=times
        )
    ]
