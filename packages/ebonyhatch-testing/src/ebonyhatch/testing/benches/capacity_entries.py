"""Capacity probes of many entries over one store: load at rest, lost domains, configuration."""

from __future__ import annotations

import functools
import json
from collections.abc import Callable

from ebonyhatch.core import entities
from ebonyhatch.node import configuration, ownership, ownership_record
from ebonyhatch.ports import fault_switches, store_engine
from ebonyhatch.testing.benches import capacity_slopes, counting_store, heap_clock
from twisted.internet import defer

ENTRY_SIZES = (10, 20, 40)
CELL_SIZES = (20, 40, 80)
QUICK_SIZES = (4, 6, 8)
MAX_DOMAINS = 20
STARTUP_S = 60.0
RUN_S = 120.0
QUICK_RUN_S = 30.0
STEP_S = 0.1
LOSS_LIMIT_S = 180.0
UNRESPONSIVE_AFTER_S = 3.0
TENANT_SIZES = (35, 140, 560)
QUICK_TENANT_SIZES = (5, 10, 20)
CLASSES = 20
CHANGE_SIZES = (4, 8, 16)
MINUTE_S = 60.0
CONFIGURATION_LIMIT_S = 30.0
STORE_DELAY_S = 0.02
WRITES = 3
WRITE_SPACING_S = 0.3
CUT_DURATIONS_S = (30.0, 120.0, 300.0)
QUICK_CUT_DURATIONS_S = (10.0, 20.0, 30.0)
STABILIZE_S = 60.0


class Entry:
    """Ownership and configuration of one entry, with its own client of the store."""

    def __init__(self, *, fleet: Fleet, number: int) -> None:
        self.name = f"entry-{number:03}"
        self.domain = fleet.domains[number % len(fleet.domains)]
        self.active_cells: dict[str, int] = {}
        self.faults = fault_switches.Faults()
        self.store = counting_store.CountingStore(
            clock=fleet.clock, engine=fleet.engine, faults=self.faults
        )
        self.ownership = ownership.Ownership(
            member=ownership.Member(
                entry_id=self.name,
                host="127.0.0.1",
                port=1,
                region=f"region-{number % 6}",
                failure_domain=self.domain,
            ),
            store=self.store,
            clock=fleet.clock,
            seed=number + 1,
            domains=lambda: fleet.domains,
            cells_per_domain=fleet.cells_per_domain,
            is_unresponsive=fleet.is_unresponsive,
            on_gain=self.active_cells.__setitem__,
            on_loss=self._remove_cell,
        )
        self.configuration = configuration.Configuration(
            store=self.store, clock=fleet.clock, seed=number + 1, on_change=lambda _: None
        )

    def start(self) -> None:
        """Joins the fleet and starts to watch the store."""
        self.ownership.start()
        self.configuration.start()

    def _remove_cell(self, cell: str) -> defer.Deferred[None]:
        self.active_cells.pop(cell, None)
        return defer.succeed(None)


class Fleet:
    """Entries with one store and one clock."""

    def __init__(self, *, entries: int, domains: int, cells_per_domain: int = 2) -> None:
        self.clock = heap_clock.HeapClock()
        self.engine = store_engine.StoreEngine(clock=self.clock)
        self.domains = tuple(f"domain-{number:02}" for number in range(domains))
        self.cells_per_domain = cells_per_domain
        self.cut_off_at: dict[str, float] = {}
        self.entries = [Entry(fleet=self, number=number) for number in range(entries)]
        for entry in self.entries:
            entry.start()
        self.run(STARTUP_S)

    @property
    def connected(self) -> list[Entry]:
        """Entries that are not cut off."""
        return [entry for entry in self.entries if entry.name not in self.cut_off_at]

    @property
    def reads(self) -> int:
        """Number of reads of all entries."""
        return sum(entry.store.reads for entry in self.entries)

    @property
    def writes(self) -> int:
        """Number of writes of all entries."""
        return sum(entry.store.writes for entry in self.entries)

    @property
    def owned_cells(self) -> int:
        """Number of cells that connected entries act for."""
        return sum(len(entry.active_cells) for entry in self.connected)

    def owns_cell_count(self, count: int) -> bool:
        """Returns whether the connected entries own exactly `count` cells in total."""
        return self.owned_cells == count

    def is_unresponsive(self, entry_id: str) -> bool:
        """Returns whether an entry has been cut off for longer than its peers wait for it."""
        cut_off_at = self.cut_off_at.get(entry_id)
        return cut_off_at is not None and self.clock.seconds() - cut_off_at > UNRESPONSIVE_AFTER_S

    def run(self, seconds: float) -> None:
        """Advances the clock in small steps."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def run_until(self, condition: Callable[[], bool], *, limit_s: float) -> float:
        """Advances the clock until a condition holds; returns the time taken, at most the limit."""
        started_at = self.clock.seconds()
        while not condition() and self.clock.seconds() - started_at < limit_s:
            self.clock.advance(STEP_S)
        return self.clock.seconds() - started_at

    def is_latest_in_force(self) -> bool:
        """Returns whether the newest generation is in force at all entries."""
        generations = {entry.configuration.generation for entry in self.entries}
        return len(generations) == 1 and max(generations) > WRITES

    def all_cells_home(self) -> bool:
        """Returns whether each cell has exactly one owner, in its own failure domain."""
        owned = [cell for entry in self.entries for cell in entry.active_cells]
        home = all(
            cell.startswith(entry.domain) for entry in self.entries for cell in entry.active_cells
        )
        return home and len(owned) == len(self.domains) * self.cells_per_domain

    def delay_store(self, delay_s: float) -> None:
        """Delays each call to the store."""
        for entry in self.entries:
            entry.faults.slow_s = delay_s

    def reconnect(self) -> None:
        """Reconnects all entries that were cut off."""
        self.cut_off_at.clear()
        for entry in self.entries:
            entry.faults.down = False
            entry.faults.lose_answers = False

    def cut_off_domain(self, domain: str) -> int:
        """Cuts off the entries of a failure domain until `reconnect`; returns their number."""
        cut_off = [entry for entry in self.entries if entry.domain == domain]
        for entry in cut_off:
            entry.faults.down = True
            entry.faults.lose_answers = True
            self.cut_off_at[entry.name] = self.clock.seconds()
        return len(cut_off)


@capacity_slopes.probe("entries at rest")
def entries_at_rest(*, seed: int, quick: bool) -> list[capacity_slopes.Slope]:
    """Measures store calls and processor time of entries that change nothing."""
    run_s = QUICK_RUN_S if quick else RUN_S
    reads, writes, times = [], [], []
    for size in QUICK_SIZES if quick else ENTRY_SIZES:
        fleet = Fleet(entries=size, domains=min(size, MAX_DOMAINS))
        before = (fleet.reads, fleet.writes)
        processor_s = capacity_slopes.cpu_s(functools.partial(fleet.run, run_s))
        reads.append((size, (fleet.reads - before[0]) / run_s))
        writes.append((size, (fleet.writes - before[1]) / run_s))
        times.append((size, processor_s / run_s / size * 1e3))
    return [
        capacity_slopes.slope(
            name="entries: store reads at rest", unit="1/s", per="entries", points=reads
        ),
        capacity_slopes.slope(
            name="entries: store writes at rest", unit="1/s", per="entries", points=writes
        ),
        capacity_slopes.slope(
            name="entries: ownership and watches", unit="ms/s", per="entries", points=times
        ),
    ]


@capacity_slopes.probe("ownership record")
def ownership_size(*, seed: int, quick: bool) -> list[capacity_slopes.Slope]:
    """Measures the size of the ownership record against cells, two per entry."""
    sizes = []
    for size in CELL_SIZES:
        record = ownership_record.Record(
            cells_per_domain=2,
            members={f"entry-{number:03}": _member(number) for number in range(size // 2)},
            cells={
                f"domain-{number:02}.0": ownership_record.Owner(
                    entry_id=f"entry-{number // 2:03}", epoch=number
                )
                for number in range(size)
            },
        )
        sizes.append((size, len(ownership_record.encode(record)) / 1e3))
    return [
        capacity_slopes.slope(
            name="ownership: record", unit="KB", per="cells, two an entry", points=sizes
        )
    ]


def _member(number: int) -> ownership_record.Member:
    return ownership_record.Member(
        entry_id=f"entry-{number:03}",
        host="10.100.100.100",
        port=8082,
        region="region-1",
        failure_domain=f"domain-{number:02}",
        incarnation="lease-0123456789abcdef",
        lease_id="lease-0123456789abcdef",
    )


@capacity_slopes.probe("loss of a failure domain")
def loss_of_domain(*, seed: int, quick: bool) -> list[capacity_slopes.Slope]:
    """Measures the time until each cell has a connected owner again, and store calls meanwhile."""
    times, calls = [], []
    for size in QUICK_SIZES if quick else ENTRY_SIZES:
        fleet = Fleet(entries=size, domains=min(size, MAX_DOMAINS) // 2)
        cells = len(fleet.domains) * fleet.cells_per_domain
        before = fleet.reads + fleet.writes
        fleet.cut_off_domain(fleet.domains[0])
        took_s = fleet.run_until(
            functools.partial(fleet.owns_cell_count, cells), limit_s=LOSS_LIMIT_S
        )
        times.append((size, took_s))
        calls.append((size, (fleet.reads + fleet.writes - before) / took_s))
    return [
        capacity_slopes.slope(
            name="loss of a domain: all cells owned again", unit="s", per="entries", points=times
        ),
        capacity_slopes.slope(
            name="loss of a domain: store calls meanwhile", unit="1/s", per="entries", points=calls
        ),
    ]


@capacity_slopes.probe("configuration")
def configuration_changes(*, seed: int, quick: bool) -> list[capacity_slopes.Slope]:
    """Measures size, validation time and time until in force at all entries, against tenants."""
    sizes, times, delays = [], [], []
    entries = QUICK_SIZES[0] if quick else ENTRY_SIZES[0]
    for size in QUICK_TENANT_SIZES if quick else TENANT_SIZES:
        encoded = json.dumps(_records(size)).encode()
        fleet = Fleet(entries=entries, domains=4)
        writer = fleet.entries[0].configuration
        processor_s = capacity_slopes.min_cpu_s(
            functools.partial(writer.check, records_json=encoded)
        )
        fleet.delay_store(STORE_DELAY_S)
        for rank in range(WRITES):
            writer.write(records=_ranked(encoded, rank), expect=None)
            fleet.run(WRITE_SPACING_S)
        writer.write(records=encoded, expect=None)
        delays.append(
            (size, fleet.run_until(fleet.is_latest_in_force, limit_s=CONFIGURATION_LIMIT_S))
        )
        sizes.append((size, len(writer.head) / 1e3))
        times.append((size, processor_s * 1e3))
    return [
        capacity_slopes.slope(name="configuration: head", unit="KB", per="tenants", points=sizes),
        capacity_slopes.slope(
            name="configuration: reading a set", unit="ms", per="tenants", points=times
        ),
        capacity_slopes.slope(
            name="configuration: in force everywhere", unit="s", per="tenants", points=delays
        ),
    ]


@capacity_slopes.probe("configuration changes")
def configuration_rate(*, seed: int, quick: bool) -> list[capacity_slopes.Slope]:
    """Measures processor time and store reads of an entry against changes of 140 tenants each."""
    entries = QUICK_SIZES[0] if quick else ENTRY_SIZES[0]
    encoded = json.dumps(_records(TENANT_SIZES[1])).encode()
    times, reads = [], []
    for count in CHANGE_SIZES:
        fleet = Fleet(entries=entries, domains=4)
        before = fleet.reads
        processor_s = capacity_slopes.cpu_s(functools.partial(_write_all, fleet, encoded, count))
        times.append((count, processor_s / entries * 1e3))
        reads.append((count, (fleet.reads - before) / entries))
    per = "changes in a minute"
    return [
        capacity_slopes.slope(
            name="configuration: an entry's time for changes", unit="ms", per=per, points=times
        ),
        capacity_slopes.slope(
            name="configuration: an entry's reads for changes", unit="reads", per=per, points=reads
        ),
    ]


def _write_all(fleet: Fleet, encoded: bytes, count: int) -> None:
    for rank in range(count):
        fleet.entries[rank % len(fleet.entries)].configuration.write(
            records=_ranked(encoded, rank), expect=None
        )
        fleet.run(MINUTE_S / count)


def _ranked(encoded: bytes, rank: int) -> bytes:
    return encoded.replace(b'"rank": 10', b'"rank": %d' % rank)


@capacity_slopes.probe("cut-off region")
def cut_off_region(*, seed: int, quick: bool) -> list[capacity_slopes.Slope]:
    """Measures reassignment while one domain of six is cut off for a time, and after its return."""
    reassigned, returned, writes = [], [], []
    for cut_s in QUICK_CUT_DURATIONS_S if quick else CUT_DURATIONS_S:
        fleet = Fleet(entries=12 if quick else 24, domains=6)
        cells = len(fleet.domains) * fleet.cells_per_domain
        fleet.cut_off_domain(fleet.domains[0])
        reassigned.append(
            (cut_s, fleet.run_until(functools.partial(fleet.owns_cell_count, cells), limit_s=cut_s))
        )
        fleet.run(cut_s - reassigned[-1][1])
        before = fleet.writes
        fleet.reconnect()
        returned.append((cut_s, fleet.run_until(fleet.all_cells_home, limit_s=LOSS_LIMIT_S)))
        fleet.run(STABILIZE_S - min(STABILIZE_S, returned[-1][1]))
        writes.append((cut_s, (fleet.writes - before) / STABILIZE_S))
    per = "seconds of cut"
    return [
        capacity_slopes.slope(
            name="cut-off region: cells owned elsewhere", unit="s", per=per, points=reassigned
        ),
        capacity_slopes.slope(
            name="cut-off region: cells home after the return", unit="s", per=per, points=returned
        ),
        capacity_slopes.slope(
            name="cut-off region: store writes after the return", unit="1/s", per=per, points=writes
        ),
    ]


def _records(tenants: int) -> list[dict[str, object]]:
    records: list[dict[str, object]] = [
        {"kind": "priority", "name": "counter", "schema_version": 1, "rank": 10}
    ]
    records += [
        {
            "kind": "work_class",
            "name": f"class-{number}",
            "schema_version": 2,
            "urgency": entities.Urgency.BATCH.value,
            "priority": "counter",
            "demand": {"slots": 1, "cores": 1.0, "memory_gb": 1.0},
            "expected_run_s": 60.0,
        }
        for number in range(CLASSES)
    ]
    records += [
        {"kind": "tenant", "name": f"team-{number}", "schema_version": 1, "weight": 1.0}
        for number in range(tenants)
    ]
    return records
