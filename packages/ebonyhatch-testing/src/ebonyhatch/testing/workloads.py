"""The drawn workloads of the two deployments; every draw comes from a seed."""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Iterator

from ebonyhatch.core import entities, resources

NETWORK_S = 0.0005
"""One way between domains."""

HARM_FACTORS = (1.0, 1.05, 1.3, 2.0)
"""Slowdowns of which one is drawn for each pair of classes."""

DECLARED_SIZE_SIGMA = 0.9
DECLARED_RUN_SIGMA = 1.2
SIZE_SIGMA = 0.5
URGENT_SIZE_SHARE = 0.2
BATCH_SIZE_SHARE = 0.4
"""Median true size of a task or request as a share of what a worker holds for each slot."""

STRAGGLER_SHAPE = 1.1
STRAGGLER_LIMIT = 50.0
CREST_RISE_S = 2.0
CREST_HOLD_S = 45.0
CREST_FALL_S = 5.0
CREST_EVERY_S = 240.0
CREST_JITTER_S = 30.0
TENANTS = ("t1", "t2", "t3", "t4")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UrgentKind:
    """A class of requests: service time lognormal by median and sigma, seconds."""

    name: str
    median_s: float
    sigma: float
    deadline_s: float
    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchKind:
    """A class of jobs; `share` is its part of all jobs."""

    name: str
    median_s: float
    sigma: float
    straggler_share: float
    share: float
    short: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """Sizes and loads of one deployment."""

    name: str
    workers: int
    racks: int
    capacity: resources.Resources
    urgent: tuple[UrgentKind, ...]
    batch: tuple[BatchKind, ...]
    usual_load: float
    crest_factor: float
    caller_s: float
    bursts: int
    weights: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def slots(self) -> int:
        """Slots of all workers."""
        return self.workers * self.capacity.slots

    @property
    def mean_service_s(self) -> float:
        """Mean service time of requests without interference."""
        kind = self.urgent[0]
        return kind.median_s * math.exp(kind.sigma**2 / 2)

    @property
    def usual_rate(self) -> float:
        """Requests a second outside of a crest."""
        return self.usual_load * self.slots / self.mean_service_s


TSAGAAN_ZUSLAN = Deployment(
    name="tsagaan-zuslan",
    workers=24,
    racks=3,
    capacity=resources.Resources(slots=8, connections=64, cores=32.0, memory_gb=125.0),
    urgent=(UrgentKind(name="quote", median_s=0.08, sigma=0.6, deadline_s=1.0, idempotent=True),),
    batch=(
        BatchKind(name="plan", median_s=20, sigma=0.8, straggler_share=0.0, share=0.7, short=True),
        BatchKind(
            name="reconciliation",
            median_s=120,
            sigma=1.0,
            straggler_share=0.03,
            share=0.3,
            short=False,
        ),
    ),
    usual_load=0.22,
    crest_factor=3.2,
    caller_s=0.001,
    bursts=0,
)

NILE_LOOM = Deployment(
    name="nile-loom",
    workers=33,
    racks=3,
    capacity=resources.Resources(slots=8, connections=64, cores=16.0, memory_gb=63.0),
    urgent=(
        UrgentKind(name="confirmation", median_s=0.12, sigma=0.6, deadline_s=1.5, idempotent=True),
        UrgentKind(name="charge", median_s=0.12, sigma=0.6, deadline_s=1.5, idempotent=False),
    ),
    batch=(
        BatchKind(
            name="tally", median_s=60, sigma=1.0, straggler_share=0.04, share=1.0, short=True
        ),
    ),
    usual_load=0.18,
    crest_factor=3.6,
    caller_s=0.003,
    bursts=3,
    weights={"patience_s": 0.35},
)

DEPLOYMENTS = {entry.name: entry for entry in (TSAGAAN_ZUSLAN, NILE_LOOM)}


@dataclasses.dataclass(slots=True, kw_only=True)
class Arrival:
    """A drawn request."""

    at: float
    service_s: float
    kind: int


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class DrawnJob:
    """A job with its true size and run time."""

    job: entities.Job
    kind: BatchKind
    work_s: float
    cores: float
    memory_gb: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Draw:
    """All that is drawn for one run, the same for each policy."""

    deployment: Deployment
    seed: int
    duration_s: float
    crests: tuple[float, ...]
    arrivals: list[Arrival]
    harm: dict[tuple[str, str], float]
    classes: tuple[entities.WorkClass, ...]
    tenants: tuple[entities.Tenant, ...]
    urgent_cores: float
    urgent_memory_gb: float

    def jobs(self) -> Iterator[DrawnJob]:
        """Draw jobs without end, in the order in which they are submitted."""
        source = random.Random(f"{self.seed}-jobs")
        number = 0
        while True:
            yield _draw_job(self.deployment, source, number)
            number += 1

    def in_crest(self, at: float) -> bool:
        """Tell whether a crest is on, its rise and fall included."""
        span = CREST_RISE_S + CREST_HOLD_S + CREST_FALL_S
        return any(start <= at < start + span for start in self.crests)


def draw(
    *,
    deployment: Deployment,
    seed: int,
    crests: int = 3,
    first_crest_s: float = 120.0,
    duration_s: float = 0.0,
    harm: dict[tuple[str, str], float] | None = None,
) -> Draw:
    """Draw a run; without `duration_s` it ends a while after the last crest."""
    source = random.Random(f"{seed}-crests")
    jitter = [source.uniform(-CREST_JITTER_S, CREST_JITTER_S) for _ in range(crests)]
    starts = tuple(
        first_crest_s + CREST_EVERY_S * number + (jitter[number] if number else 0.0)
        for number in range(crests)
    )
    last = starts[-1] if starts else 0.0
    duration_s = duration_s or last + CREST_RISE_S + CREST_HOLD_S + CREST_FALL_S + 60.0
    pairs = _draw_harm(deployment, seed)
    pairs.update(harm or {})
    per_slot = deployment.capacity.cores / deployment.capacity.slots
    memory_per_slot = deployment.capacity.memory_gb / deployment.capacity.slots
    return Draw(
        deployment=deployment,
        seed=seed,
        duration_s=duration_s,
        crests=starts,
        arrivals=_draw_arrivals(deployment, seed, starts, duration_s),
        harm=pairs,
        classes=_draw_classes(deployment, seed),
        tenants=tuple(entities.Tenant(name=name) for name in TENANTS),
        urgent_cores=URGENT_SIZE_SHARE * per_slot,
        urgent_memory_gb=URGENT_SIZE_SHARE * memory_per_slot,
    )


def _draw_harm(deployment: Deployment, seed: int) -> dict[tuple[str, str], float]:
    source = random.Random(f"{seed}-harm")
    return {
        (urgent.name, batch.name): source.choice(HARM_FACTORS)
        for urgent in deployment.urgent
        for batch in deployment.batch
    }


def _draw_classes(deployment: Deployment, seed: int) -> tuple[entities.WorkClass, ...]:
    source = random.Random(f"{seed}-classes")
    urgent = [
        entities.WorkClass(
            name=kind.name,
            urgency=entities.Urgency.URGENT,
            priority=10,
            deadline_s=kind.deadline_s,
            demand=_declared_urgent(deployment, source),
            idempotent=kind.idempotent,
            expected_run_s=kind.median_s * source.lognormvariate(0, DECLARED_RUN_SIGMA),
            weights=deployment.weights,
        )
        for kind in deployment.urgent
    ]
    batch = [
        entities.WorkClass(
            name=kind.name,
            urgency=entities.Urgency.BATCH,
            expected_run_s=kind.median_s * source.lognormvariate(0, DECLARED_RUN_SIGMA),
            weights=deployment.weights,
        )
        for kind in deployment.batch
    ]
    return (*urgent, *batch)


def _declared_urgent(deployment: Deployment, source: random.Random) -> resources.Resources:
    share = URGENT_SIZE_SHARE * source.lognormvariate(0, DECLARED_SIZE_SIGMA)
    share = min(share, 0.9)
    capacity = deployment.capacity
    return resources.Resources(
        slots=1,
        connections=1,
        cores=share * capacity.cores / capacity.slots,
        memory_gb=share * capacity.memory_gb / capacity.slots,
    )


def _factor(deployment: Deployment, crests: tuple[float, ...], at: float) -> float:
    extra = deployment.crest_factor - 1.0
    for start in crests:
        since = at - start
        if since < 0:
            continue
        if since < CREST_RISE_S:
            return 1.0 + extra * since / CREST_RISE_S
        if since < CREST_RISE_S + CREST_HOLD_S:
            return 1.0 + extra
        falling = since - CREST_RISE_S - CREST_HOLD_S
        if falling < CREST_FALL_S:
            return 1.0 + extra * (1.0 - falling / CREST_FALL_S)
    return 1.0


def _draw_arrivals(
    deployment: Deployment, seed: int, crests: tuple[float, ...], duration_s: float
) -> list[Arrival]:
    source = random.Random(f"{seed}-arrivals")
    kinds = deployment.urgent
    top = deployment.usual_rate * deployment.crest_factor
    arrivals: list[Arrival] = []
    at = 0.0
    while True:
        factor = _factor(deployment, crests, at)
        flat = factor == 1.0 and _factor(deployment, crests, at + 1.0) == 1.0
        rate = deployment.usual_rate if flat else top
        at += source.expovariate(rate)
        if at >= duration_s:
            return arrivals
        now = _factor(deployment, crests, at)
        if rate == top and source.random() * deployment.crest_factor > now:
            continue
        number = source.randrange(len(kinds))
        kind = kinds[number]
        service_s = source.lognormvariate(math.log(kind.median_s), kind.sigma)
        arrivals.append(Arrival(at=at, service_s=service_s, kind=number))


def _draw_job(deployment: Deployment, source: random.Random, number: int) -> DrawnJob:
    kind = source.choices(deployment.batch, [entry.share for entry in deployment.batch])[0]
    work_s = source.lognormvariate(math.log(kind.median_s), kind.sigma)
    if source.random() < kind.straggler_share:
        work_s *= min(STRAGGLER_LIMIT, source.paretovariate(STRAGGLER_SHAPE))
    capacity = deployment.capacity
    share = BATCH_SIZE_SHARE * source.lognormvariate(0, SIZE_SIGMA)
    cores = min(share * capacity.cores / capacity.slots, capacity.cores)
    memory_gb = min(share * capacity.memory_gb / capacity.slots, capacity.memory_gb)
    wrong = source.lognormvariate(0, DECLARED_SIZE_SIGMA)
    demand = resources.Resources(
        slots=1,
        connections=1,
        cores=min(cores * wrong, capacity.cores),
        memory_gb=min(memory_gb * wrong, capacity.memory_gb),
    )
    job = entities.Job(
        job_id=f"j{number}",
        work_class=kind.name,
        tenant=source.choice(TENANTS),
        demand=demand,
        expected_run_s=work_s * source.lognormvariate(0, DECLARED_RUN_SIGMA),
    )
    return DrawnJob(job=job, kind=kind, work_s=work_s, cores=cores, memory_gb=memory_gb)
