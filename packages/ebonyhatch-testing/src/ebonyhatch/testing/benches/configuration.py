"""Bench of the configuration: size of the head, time to validate, write and apply a generation."""

from __future__ import annotations

import random
import statistics
import time
from collections.abc import Callable

import msgspec
from ebonyhatch.core import records
from ebonyhatch.node import configuration, configuration_current, configuration_head
from ebonyhatch.ports import memory_store, store_engine
from ebonyhatch.testing.benches import registry
from twisted.internet import task

TENANTS = (35, 140, 560)
"""Numbers of tenants; 140 is the design size."""

CLASSES_PER_TENANT = 1.0
SERVICES_PER_TENANT = 0.5
ENTRIES = 6
REPEATS = 15
CHANGES_PER_DAY = 5_500
SECONDS_PER_DAY = 86_400
PROPAGATION_SAMPLES = 20
STEP_S = 0.05


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """Figures at one size.

    Attributes:
        tenants: Number of tenants.
        record_count: Number of records.
        head_bytes: Size of a head with a full history.
        check_ms: Processor time to validate a set of records.
        take_ms: Processor time of an entry to apply a new generation.
        cpu_share: Fraction of a core for applying the changes of a day.
        bytes_per_s: Bytes per second that one entry reads for the changes of a day.
    """

    tenants: int
    record_count: int
    head_bytes: int
    check_ms: float
    take_ms: float
    cpu_share: float
    bytes_per_s: float


@registry.bench("configuration")
def run(*, seeds: tuple[int, ...], quick: bool) -> None:
    """Measures each size for each seed, and how long a change takes to reach all six entries."""
    for seed in seeds:
        for tenants in TENANTS[:2] if quick else TENANTS:
            print(f"seed {seed} {measure(seed=seed, tenants=tenants)}")
        delays_s = propagation_s(seed=seed)
        print(f"seed {seed} in force on {ENTRIES} entries: worst {max(delays_s):.2f} s simulated")


def measure(*, seed: int, tenants: int) -> Figures:
    """Measures one size."""
    generated = generate_records(seed=seed, tenants=tenants)
    encoded = records.canonical(generated)
    head = _full_head(encoded)
    check_s = _processor_s(lambda: records.read(encoded))
    apply_s = _processor_s(lambda: _apply(head))
    return Figures(
        tenants=tenants,
        record_count=len(generated),
        head_bytes=len(head),
        check_ms=check_s * 1_000,
        take_ms=apply_s * 1_000,
        cpu_share=apply_s * CHANGES_PER_DAY / SECONDS_PER_DAY,
        bytes_per_s=len(head) * CHANGES_PER_DAY / SECONDS_PER_DAY,
    )


def generate_records(*, seed: int, tenants: int) -> list[dict[str, object]]:
    """Generates a set of records."""
    generator = random.Random(seed)
    classes = [f"class-{number}" for number in range(round(tenants * CLASSES_PER_TENANT))]
    generated: list[dict[str, object]] = [
        {"kind": "priority", "name": f"priority-{rank}", "schema_version": 1, "rank": rank}
        for rank in range(8)
    ]
    generated += [_work_class(name, generator) for name in classes]
    generated += [
        _service(number, generator.choice(classes))
        for number in range(round(tenants * SERVICES_PER_TENANT))
    ]
    generated += [_tenant(number, generator) for number in range(tenants)]
    return generated


def propagation_s(*, seed: int) -> list[float]:
    """Returns the times until a write through one of six entries is in force at all of them.

    The entries have one store and exchange no gossip; time is that of a fake clock, and a call to
    the store takes 2 ms.
    """
    clock = task.Clock()
    engine = store_engine.StoreEngine(clock=clock)
    entries = [_entry(clock, engine, seed=seed * ENTRIES + index) for index in range(ENTRIES)]
    clock.pump([STEP_S] * 100)
    generator = random.Random(seed)
    delays_s = []
    for rank in range(PROPAGATION_SAMPLES):
        clock.pump([STEP_S] * generator.randrange(1, 400))
        started_at = clock.seconds()
        record = {"kind": "priority", "name": "top", "schema_version": 1, "rank": rank}
        generator.choice(entries).write(records=msgspec.json.encode([record]), expect=None)
        while any(entry.in_force.generation <= rank for entry in entries):
            clock.advance(STEP_S)
        delays_s.append(clock.seconds() - started_at)
    return delays_s


def _entry(
    clock: task.Clock, engine: store_engine.StoreEngine, *, seed: int
) -> configuration.Configuration:
    store = memory_store.MemoryStore(clock=clock, engine=engine)
    store.faults.slow_s = 0.002
    store.start()
    entry = configuration.Configuration(
        store=store, clock=clock, seed=seed, on_change=lambda new: None
    )
    entry.start()
    return entry


def _apply(head: bytes) -> None:
    current = configuration_current.Current(clock=task.Clock(), on_change=lambda new: None)
    current.take(head, source="the bench")


def _full_head(encoded: bytes) -> bytes:
    head = None
    for generation in range(1, configuration_head.HISTORY_LENGTH + 1):
        head = configuration_head.successor(
            former=head,
            records=encoded if generation % 2 == 0 else b"[]",
            nonce=f"{generation:024x}",
            written_at_s=float(generation),
            generation=generation,
        )
    assert head is not None
    return configuration_head.encode(head)


def _processor_s(work: Callable[[], object]) -> float:
    durations_s = []
    for _ in range(REPEATS):
        started_at = time.process_time()
        work()
        durations_s.append(time.process_time() - started_at)
    return statistics.median(durations_s)


def _work_class(name: str, generator: random.Random) -> dict[str, object]:
    return {
        "kind": "work_class",
        "name": name,
        "schema_version": 2,
        "urgency": "urgent",
        "priority": f"priority-{generator.randrange(8)}",
        "deadline_s": 2.0,
        "demand": {"slots": 1, "connections": 1, "cores": 0.5, "memory_gb": 1.0},
        "expected_run_s": round(generator.uniform(0.05, 1.0), 3),
    }


def _service(number: int, work_class: str) -> dict[str, object]:
    return {
        "kind": "service",
        "name": f"service-{number}",
        "schema_version": 1,
        "work_classes": [work_class],
        "default_class": work_class,
    }


def _tenant(number: int, generator: random.Random) -> dict[str, object]:
    return {
        "kind": "tenant",
        "name": f"tenant-{number}",
        "schema_version": 1,
        "weight": round(generator.uniform(0.5, 4.0), 2),
        "quota": {"slots": generator.randrange(10, 200), "cores": 64.0, "memory_gb": 256.0},
    }
