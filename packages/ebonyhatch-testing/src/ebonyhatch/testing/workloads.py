"""Randomized workloads of the two deployments; every random value derives from a seed."""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Iterator

from ebonyhatch.core import entities, resources

NETWORK_DELAY_S = 0.0005
"""One-way network delay between failure domains, seconds."""

INTERFERENCE_FACTORS = (1.0, 1.05, 1.3, 2.0)
"""Slowdowns of requests; one is chosen at random for each pair of an urgent and a batch class."""

DECLARED_SIZE_SIGMA = 0.9
"""Sigma of the lognormal error of declared sizes."""

DECLARED_RUN_SIGMA = 1.2
"""Sigma of the lognormal error of declared run times."""

SIZE_SIGMA = 0.5
"""Sigma of the lognormal true size of batch tasks."""

URGENT_SIZE_FRACTION = 0.2
BATCH_SIZE_FRACTION = 0.4
"""Median true size of a batch task, as a fraction of the worker's capacity for each slot.

`URGENT_SIZE_FRACTION` is the same for requests.
"""

STRAGGLER_PARETO_SHAPE = 1.1
MAX_STRAGGLER_FACTOR = 50.0
"""Maximum factor, otherwise Pareto distributed, by which a straggler runs longer."""

CREST_RISE_S = 2.0
CREST_HOLD_S = 45.0
CREST_FALL_S = 5.0
CREST_INTERVAL_S = 240.0
CREST_JITTER_S = 30.0
TENANTS = ("t1", "t2", "t3", "t4")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UrgentKind:
    """A class of requests; service times are lognormal with this median and sigma, seconds."""

    name: str
    median_s: float
    sigma: float
    deadline_s: float
    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchKind:
    """A class of jobs; `job_fraction` is its fraction of all jobs."""

    name: str
    median_s: float
    sigma: float
    straggler_fraction: float
    job_fraction: float
    short: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """Sizes and loads of one deployment.

    Attributes:
        base_load: Fraction of all slots that requests occupy outside a crest.
        crest_factor: Rate of requests at the peak of a crest as a multiple of the base rate.
        caller_delay_s: One-way network delay between caller and entry, seconds.
        bursts: Number of times that a burst of jobs is submitted during a run.
        weights: Settings that the work classes override.
    """

    name: str
    workers: int
    racks: int
    capacity: resources.Resources
    urgent: tuple[UrgentKind, ...]
    batch: tuple[BatchKind, ...]
    base_load: float
    crest_factor: float
    caller_delay_s: float
    bursts: int
    weights: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def slots(self) -> int:
        """Total slots of all workers."""
        return self.workers * self.capacity.slots

    @property
    def mean_service_s(self) -> float:
        """Mean service time of requests without interference."""
        kind = self.urgent[0]
        return kind.median_s * math.exp(kind.sigma**2 / 2)

    @property
    def base_rate(self) -> float:
        """Requests per second outside a crest."""
        return self.base_load * self.slots / self.mean_service_s


TSAGAAN_ZUSLAN = Deployment(
    name="tsagaan-zuslan",
    workers=24,
    racks=3,
    capacity=resources.Resources(slots=8, connections=64, cores=32.0, memory_gb=125.0),
    urgent=(UrgentKind(name="quote", median_s=0.08, sigma=0.6, deadline_s=1.0, idempotent=True),),
    batch=(
        BatchKind(
            name="plan",
            median_s=20,
            sigma=0.8,
            straggler_fraction=0.0,
            job_fraction=0.7,
            short=True,
        ),
        BatchKind(
            name="reconciliation",
            median_s=120,
            sigma=1.0,
            straggler_fraction=0.03,
            job_fraction=0.3,
            short=False,
        ),
    ),
    base_load=0.22,
    crest_factor=3.2,
    caller_delay_s=0.001,
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
            name="tally",
            median_s=60,
            sigma=1.0,
            straggler_fraction=0.04,
            job_fraction=1.0,
            short=True,
        ),
    ),
    base_load=0.18,
    crest_factor=3.6,
    caller_delay_s=0.003,
    bursts=3,
    weights={"patience_s": 0.35},
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (TSAGAAN_ZUSLAN, NILE_LOOM)}


@dataclasses.dataclass(slots=True, kw_only=True)
class Arrival:
    """A request: arrival time, service time and index of its class."""

    at: float
    service_s: float
    kind: int


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class GeneratedJob:
    """A job with its true size and run time, which the declared ones only approximate."""

    job: entities.Job
    kind: BatchKind
    work_s: float
    cores: float
    memory_gb: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Workload:
    """The randomized input of one run, identical for each policy."""

    deployment: Deployment
    seed: int
    duration_s: float
    crests: tuple[float, ...]
    arrivals: list[Arrival]
    interference: dict[tuple[str, str], float]
    classes: tuple[entities.WorkClass, ...]
    tenants: tuple[entities.Tenant, ...]
    urgent_cores: float
    urgent_memory_gb: float

    def jobs(self) -> Iterator[GeneratedJob]:
        """Generates an endless sequence of jobs in order of submission."""
        generator = random.Random(f"{self.seed}-jobs")
        number = 0
        while True:
            yield _generate_job(self.deployment, generator, number)
            number += 1

    def in_crest(self, at: float) -> bool:
        """Returns whether a crest is in progress, including its rise and fall."""
        span = CREST_RISE_S + CREST_HOLD_S + CREST_FALL_S
        return any(start <= at < start + span for start in self.crests)


def generate(
    *,
    deployment: Deployment,
    seed: int,
    crests: int = 3,
    first_crest_s: float = 120.0,
    duration_s: float = 0.0,
    interference: dict[tuple[str, str], float] | None = None,
) -> Workload:
    """Generates a workload; without `duration_s` it ends 60 s after the last crest."""
    generator = random.Random(f"{seed}-crests")
    jitter = [generator.uniform(-CREST_JITTER_S, CREST_JITTER_S) for _ in range(crests)]
    starts = tuple(
        first_crest_s + CREST_INTERVAL_S * number + (jitter[number] if number else 0.0)
        for number in range(crests)
    )
    last_start = starts[-1] if starts else 0.0
    duration_s = duration_s or last_start + CREST_RISE_S + CREST_HOLD_S + CREST_FALL_S + 60.0
    pairs = _generate_interference(deployment, seed)
    pairs.update(interference or {})
    cores_per_slot = deployment.capacity.cores / deployment.capacity.slots
    memory_per_slot = deployment.capacity.memory_gb / deployment.capacity.slots
    return Workload(
        deployment=deployment,
        seed=seed,
        duration_s=duration_s,
        crests=starts,
        arrivals=_generate_arrivals(deployment, seed, starts, duration_s),
        interference=pairs,
        classes=_generate_classes(deployment, seed),
        tenants=tuple(entities.Tenant(name=name) for name in TENANTS),
        urgent_cores=URGENT_SIZE_FRACTION * cores_per_slot,
        urgent_memory_gb=URGENT_SIZE_FRACTION * memory_per_slot,
    )


def _generate_interference(deployment: Deployment, seed: int) -> dict[tuple[str, str], float]:
    generator = random.Random(f"{seed}-harm")
    return {
        (urgent.name, batch.name): generator.choice(INTERFERENCE_FACTORS)
        for urgent in deployment.urgent
        for batch in deployment.batch
    }


def _generate_classes(deployment: Deployment, seed: int) -> tuple[entities.WorkClass, ...]:
    generator = random.Random(f"{seed}-classes")
    urgent = [
        entities.WorkClass(
            name=kind.name,
            urgency=entities.Urgency.URGENT,
            priority=10,
            deadline_s=kind.deadline_s,
            demand=_declared_urgent_demand(deployment, generator),
            idempotent=kind.idempotent,
            expected_run_s=kind.median_s * generator.lognormvariate(0, DECLARED_RUN_SIGMA),
            weights=deployment.weights,
        )
        for kind in deployment.urgent
    ]
    batch = [
        entities.WorkClass(
            name=kind.name,
            urgency=entities.Urgency.BATCH,
            expected_run_s=kind.median_s * generator.lognormvariate(0, DECLARED_RUN_SIGMA),
            weights=deployment.weights,
        )
        for kind in deployment.batch
    ]
    return (*urgent, *batch)


def _declared_urgent_demand(
    deployment: Deployment, generator: random.Random
) -> resources.Resources:
    fraction = URGENT_SIZE_FRACTION * generator.lognormvariate(0, DECLARED_SIZE_SIGMA)
    fraction = min(fraction, 0.9)
    capacity = deployment.capacity
    return resources.Resources(
        slots=1,
        connections=1,
        cores=fraction * capacity.cores / capacity.slots,
        memory_gb=fraction * capacity.memory_gb / capacity.slots,
    )


def _load_factor(deployment: Deployment, crests: tuple[float, ...], at: float) -> float:
    added_load = deployment.crest_factor - 1.0
    for start in crests:
        since = at - start
        if since < 0:
            continue
        if since < CREST_RISE_S:
            return 1.0 + added_load * since / CREST_RISE_S
        if since < CREST_RISE_S + CREST_HOLD_S:
            return 1.0 + added_load
        falling = since - CREST_RISE_S - CREST_HOLD_S
        if falling < CREST_FALL_S:
            return 1.0 + added_load * (1.0 - falling / CREST_FALL_S)
    return 1.0


def _generate_arrivals(
    deployment: Deployment, seed: int, crests: tuple[float, ...], duration_s: float
) -> list[Arrival]:
    generator = random.Random(f"{seed}-arrivals")
    kinds = deployment.urgent
    peak_rate = deployment.base_rate * deployment.crest_factor
    arrivals: list[Arrival] = []
    at = 0.0
    while True:
        factor = _load_factor(deployment, crests, at)
        is_flat = factor == 1.0 and _load_factor(deployment, crests, at + 1.0) == 1.0
        rate = deployment.base_rate if is_flat else peak_rate
        at += generator.expovariate(rate)
        if at >= duration_s:
            return arrivals
        factor_then = _load_factor(deployment, crests, at)
        if rate == peak_rate and generator.random() * deployment.crest_factor > factor_then:
            continue
        number = generator.randrange(len(kinds))
        kind = kinds[number]
        service_s = generator.lognormvariate(math.log(kind.median_s), kind.sigma)
        arrivals.append(Arrival(at=at, service_s=service_s, kind=number))


def _generate_job(deployment: Deployment, generator: random.Random, number: int) -> GeneratedJob:
    kind = generator.choices(
        deployment.batch, [candidate.job_fraction for candidate in deployment.batch]
    )[0]
    work_s = generator.lognormvariate(math.log(kind.median_s), kind.sigma)
    if generator.random() < kind.straggler_fraction:
        work_s *= min(MAX_STRAGGLER_FACTOR, generator.paretovariate(STRAGGLER_PARETO_SHAPE))
    capacity = deployment.capacity
    fraction = BATCH_SIZE_FRACTION * generator.lognormvariate(0, SIZE_SIGMA)
    cores = min(fraction * capacity.cores / capacity.slots, capacity.cores)
    memory_gb = min(fraction * capacity.memory_gb / capacity.slots, capacity.memory_gb)
    declaration_error = generator.lognormvariate(0, DECLARED_SIZE_SIGMA)
    demand = resources.Resources(
        slots=1,
        connections=1,
        cores=min(cores * declaration_error, capacity.cores),
        memory_gb=min(memory_gb * declaration_error, capacity.memory_gb),
    )
    job = entities.Job(
        job_id=f"j{number}",
        work_class=kind.name,
        tenant=generator.choice(TENANTS),
        demand=demand,
        expected_run_s=work_s * generator.lognormvariate(0, DECLARED_RUN_SIGMA),
    )
    return GeneratedJob(job=job, kind=kind, work_s=work_s, cores=cores, memory_gb=memory_gb)
