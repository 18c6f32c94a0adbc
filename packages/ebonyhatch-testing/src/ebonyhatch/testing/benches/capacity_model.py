"""Capacity model: load and limits of a fleet of a given size, from the measured slopes."""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec
from ebonyhatch.node import (
    cell,
    gossip,
    instance_view,
    journal,
    paced_store,
    peer_link,
    worker_link,
)
from ebonyhatch.ports import store
from ebonyhatch.testing.benches import capacity_daemon, capacity_slopes

USABLE_CORE_FRACTION = 0.6
"""Fraction of a core up to which an entry's single event loop may be busy before waits grow."""

FRAME_OVERHEAD_BYTES = 141
"""ZMTP header of 9, TCP/IP header with timestamps of 66 and acknowledgement of 66 bytes."""

KEYED_FRAME_BYTES = 33
"""Bytes that CURVE encryption adds to a frame."""

PONGS_PER_GOSSIP = 1.0
"""Pongs per gossip message to or from a peer in the same region."""

FRAMES_PER_PING_EXCHANGE = 4.0
"""Pings and pongs in both directions when two entries ping each other once."""

PING_BYTES = 20.0
JOURNAL_ENTRIES_PER_JOB = 4.0
"""Journal entries of a job that is started once: submitted, intended, started, finished."""

DAEMON_CELLS = 2
"""Number of cells of the daemon that the probe `daemon under jobs` runs."""

CUT_S = 300.0
CONTROL_CORE_LIMIT = 0.019
CONTROL_MEMORY_LIMIT_MB = 256.0
CONTROL_TRAFFIC_LIMIT_KB_S = 14.0
STORE_WRITES_LIMIT = 400.0
STORE_READS_LIMIT = 2_000.0
CONFIGURATION_DELAY_LIMIT_S = 5.0
DAY_S = 86_400.0


class Fleet(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes and rates of a fleet.

    Attributes:
        starts_s: Starts of requests and tasks per second at the peak.
        jobs_day: Jobs per day.
        changes_day: Changes of the configuration per day.
    """

    name: str
    entries: int
    workers: int
    domains: int
    regions: int
    cells_per_domain: int
    urgent_running: int
    batch_running: int
    batch_queued: int
    starts_s: float
    jobs_day: float
    tenants: int
    changes_day: float

    @property
    def cells(self) -> int:
        """Number of cells of all failure domains."""
        return self.domains * self.cells_per_domain

    @property
    def cells_of_entry(self) -> float:
        """Mean number of cells of one entry, at least one."""
        return max(1.0, self.cells / self.entries)

    @property
    def near(self) -> float:
        """Number of entries in one region."""
        return self.entries / self.regions


TODAY = Fleet(
    name="Tsagaan Zuslan today",
    entries=6,
    workers=24,
    domains=3,
    regions=1,
    cells_per_domain=2,
    urgent_running=150,
    batch_running=40,
    batch_queued=200,
    starts_s=30.0,
    jobs_day=2_000,
    tenants=20,
    changes_day=20,
)
DESIGN_SIX_ENTRIES = Fleet(
    name="letter, 6 entries",
    entries=6,
    workers=3_300,
    domains=20,
    regions=6,
    cells_per_domain=2,
    urgent_running=12_000,
    batch_running=39_000,
    batch_queued=24_000,
    starts_s=760.0,
    jobs_day=24_000,
    tenants=140,
    changes_day=5_500,
)
"""The design size with six entries; in reports its name is `letter`."""


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One line of the capacity table.

    Attributes:
        role: Component or role that bears the load.
        what: Quantity.
        value: Value at the size of the fleet.
        unit: Unit of the value.
        limit: Upper bound of the value; None where there is no requirement.
    """

    role: str
    what: str
    value: float
    unit: str
    limit: float | None = None

    @property
    def met(self) -> bool:
        """Whether the value is within its limit."""
        return self.limit is None or self.value <= self.limit


class Model:
    """Computes the rows for a fleet from slopes by name."""

    def __init__(self, *, slopes: Mapping[str, capacity_slopes.Slope], fleet: Fleet) -> None:
        self._slopes = slopes
        self._fleet = fleet

    def rows(self) -> list[Row]:
        """Returns all rows."""
        return [*self.processor(), *self.memory(), *self.traffic(), *self.store(), *self.events()]

    def request_cores(self) -> float:
        """Returns the cores of all entries for requests.

        A request arrives at the entry that owns its cell in one of `entries` cases; all others are
        forwarded.
        """
        fleet = self._fleet
        forwarded = 1.0 - 1.0 / fleet.entries
        call_ms = self._at("peer call: both sides", 1.0) / 1e3
        request_ms = self._slope("daemon: gateway and owner") + forwarded * call_ms
        return fleet.starts_s * request_ms / 1e3

    def renewal_cores(self) -> float:
        """Returns the cores of all entries for renewing the leases of all workers."""
        report_ms = (self._at("scheduler: one report", 0.0)) / 1e3
        renewals = self._fleet.workers / worker_link.RENEW_INTERVAL_S
        return renewals * (self._slope("daemon: at rest") + report_ms) / 1e3

    def job_cores(self) -> float:
        """Returns the cores of all entries for jobs at the mean rate of a day."""
        return self._fleet.jobs_day / DAY_S * self._slope("daemon: jobs") / 1e3

    def batch_peak_cores(self) -> float:
        """Returns the cores of all entries if every start at the peak is a batch job."""
        return self._fleet.starts_s * self._slope("daemon: jobs") / 1e3 + self.journal_cores()

    def journal_cores(self) -> float:
        """Returns the cores of all entries when journals are written at the maximum rate."""
        at_rest_ms = self._at("daemon: at rest", float(capacity_daemon.LOAD_WORKERS))
        writing_ms = max(0.0, self._at("daemon: jobs", 0.0) - at_rest_ms)
        measured_s = min(DAEMON_CELLS / journal.WRITE_INTERVAL_S, paced_store.WRITES_PER_S)
        return writing_ms / measured_s * self._max_journal_writes_per_s() / 1e3

    def _max_journal_writes_per_s(self) -> float:
        """Returns the maximum journal writes per second, bounded per cell and per entry."""
        by_cells = self._fleet.cells / journal.WRITE_INTERVAL_S
        return min(by_cells, self._fleet.entries * paced_store.WRITES_PER_S)

    def tick_cores(self) -> float:
        """Returns the cores of all entries for the ticks of all cells."""
        workers_of_cell = self._fleet.workers / self._fleet.cells
        tick_us = self._at("scheduler: idle tick", workers_of_cell)
        return self._fleet.cells / cell.TICK_S * tick_us / 1e6

    def fixed_cores(self) -> float:
        """Returns the cores of one entry independent of what it owns.

        This is its event loop, gossip, heartbeats, ownership and watches.
        """
        gossip_ms = self._at("gossip, six regions, keys: processor time", self._fleet.entries)
        ownership_ms = self._at("entries: ownership and watches", self._fleet.entries)
        return (self._at("daemon: at rest", 0.0) + gossip_ms + ownership_ms) / 1e3

    def entries_needed(self) -> int:
        """Returns the entries needed to keep event loops within the usable fraction at the peak.

        The peak consists of requests or of batch jobs, whichever costs more.
        """
        start_cores = max(self.request_cores() + self.job_cores(), self.batch_peak_cores())
        shared = start_cores + self.renewal_cores() + self.tick_cores()
        return math.ceil(shared / (USABLE_CORE_FRACTION - self.fixed_cores() - self.list_cores()))

    def change_cores(self) -> float:
        """Returns the cores of one entry for changes of the configuration."""
        change_ms = self._slope("configuration: an entry's time for changes")
        return self._fleet.changes_day / DAY_S * change_ms / 1e3

    def list_cores(self) -> float:
        """Returns the cores of one entry for reading the list of instances."""
        read_ms = self._at("instance list: read unchanged", float(self._fleet.workers))
        return read_ms / instance_view.READ_PERIOD_S / 1e3

    def control_cores(self) -> float:
        """Returns the cores of one entry for control, which is all but requests and jobs."""
        shared = self.renewal_cores() + self.tick_cores()
        fixed = self.fixed_cores() + self.change_cores() + self.list_cores()
        return shared / self._fleet.entries + fixed

    def workers_within_control_limit(self) -> int:
        """Returns the number of workers that one entry can own within the limit on control."""
        remaining = CONTROL_CORE_LIMIT - self.fixed_cores() - self.list_cores()
        return max(0, int(remaining / (self.renewal_cores() / self._fleet.workers)))

    def processor(self) -> list[Row]:
        """Returns the rows on processor time."""
        limit = CONTROL_CORE_LIMIT * 100
        return [
            _row("entry as gateway", "requests, all entries", self.request_cores(), "cores"),
            _row("entry as owner", "renewals, all entries", self.renewal_cores(), "cores"),
            _row("entry as owner", "ticks, all entries", self.tick_cores(), "cores"),
            _row("entry as owner", "jobs of a day, all entries", self.job_cores(), "cores"),
            _row("entry as owner", "each start is batch, all", self.batch_peak_cores(), "cores"),
            _row("entry", "whatever it owns", self.fixed_cores() * 100, "% of a core"),
            _row("entry", "reading the list of instances", self.list_cores() * 100, "% of a core"),
            _row("entry", "changes of configuration", self.change_cores() * 100, "% of a core"),
            _row("entry", "control", self.control_cores() * 100, "% of a core", limit),
            _row(
                "entry", "workers within the limit", self.workers_within_control_limit(), "workers"
            ),
            _row("entry", "needed at the peak", self.entries_needed(), "entries"),
        ]

    def memory(self) -> list[Row]:
        """Returns the rows on the memory of one entry."""
        fleet = self._fleet
        cell_fraction = fleet.cells_of_entry / fleet.cells
        rows_mb = (
            self._slope("scheduler: memory of workers") * fleet.workers
            + self._slope("scheduler: memory of queued jobs") * fleet.batch_queued
            + self._slope("scheduler: memory of running attempts")
            * (fleet.batch_running + fleet.urgent_running)
        ) * cell_fraction
        links_mb = self._slope("daemon: memory at rest") * fleet.workers * cell_fraction
        metrics_mb = self._at("metrics: memory", 128.0)
        base_mb = self._at("daemon: memory at rest", 0.0)
        total = base_mb + rows_mb + links_mb + metrics_mb
        return [
            _row("entry", "memory before work", base_mb, "MB"),
            _row("entry as owner", "tables of its cells", rows_mb, "MB"),
            _row("entry as owner", "links to its workers", links_mb, "MB"),
            _row("entry", "metrics at 128 label sets", metrics_mb, "MB"),
            _row("entry", "memory", total, "MB", CONTROL_MEMORY_LIMIT_MB),
        ]

    def traffic(self) -> list[Row]:
        """Returns the rows on traffic of one entry with its peers, without forwarded requests."""
        fleet = self._fleet
        near = max(1.0, fleet.near) - 1.0
        far = fleet.entries - 1.0 - near
        heads = 2.0 * min(far, float(gossip.FAR_FANOUT))
        pings = (
            2.0 * near * PONGS_PER_GOSSIP
            + FRAMES_PER_PING_EXCHANGE * far / peer_link.IDLE_FACTOR_FAR
        )
        frames = 2.0 * near + heads + pings
        payload_bytes = (
            2.0 * near * self._at("gossip: frame", fleet.cells_of_entry)
            + heads * self._at("gossip: frame", 0.0)
            + pings * PING_BYTES
        )
        wire_bytes = payload_bytes + frames * (FRAME_OVERHEAD_BYTES + KEYED_FRAME_BYTES)
        limit = CONTROL_TRAFFIC_LIMIT_KB_S
        list_kb = self._at("instance list: size", float(fleet.workers))
        list_kb_s = list_kb / instance_view.READ_PERIOD_S
        return [
            _row("entry", "the list of instances", list_kb_s, "KB/s", limit),
            _row("entry as peer", "frames both ways", frames, "1/s"),
            _row("entry as peer", "payload both ways", payload_bytes / 1e3, "KB/s"),
            _row("entry as peer", "on the wire", wire_bytes / 1e3, "KB/s", limit),
        ]

    def store(self) -> list[Row]:
        """Returns the rows on calls of all entries to the store."""
        fleet = self._fleet
        entry_reads = self._slope("entries: store reads at rest") * fleet.entries
        entry_writes = self._slope("entries: store writes at rest") * fleet.entries
        job_entries_s = fleet.jobs_day / DAY_S * JOURNAL_ENTRIES_PER_JOB
        max_writes = self._max_journal_writes_per_s()
        usual_writes = min(job_entries_s, max_writes)
        peak_writes = min(fleet.starts_s * JOURNAL_ENTRIES_PER_JOB, max_writes)
        record = self._at("ownership: record", fleet.cells)
        head = self._at("configuration: head", fleet.tenants)
        change = head * fleet.entries * fleet.changes_day / DAY_S
        return [
            _row("store", "reads, no work", entry_reads, "1/s"),
            _row("store", "writes, no work", entry_writes, "1/s"),
            _row(
                "store",
                "writes, jobs of a day",
                entry_writes + usual_writes,
                "1/s",
                STORE_WRITES_LIMIT,
            ),
            _row(
                "store",
                "writes, each start at the peak is batch",
                entry_writes + peak_writes,
                "1/s",
                STORE_WRITES_LIMIT,
            ),
            _row(
                "store",
                "reads, likewise, first turn of the rings",
                entry_reads + peak_writes,
                "1/s",
                STORE_READS_LIMIT,
            ),
            _row(
                "store",
                "journal bytes, likewise",
                self._slope("cell: journal bytes") * fleet.starts_s,
                "KB/s",
            ),
            _row("store", "ownership record", record, "KB", store.VALUE_LIMIT_BYTES / 1e3),
            _row("store", "configuration head", head, "KB", store.VALUE_LIMIT_BYTES / 1e3),
            _row("store", "configuration read by all entries", change, "KB/s"),
        ]

    def events(self) -> list[Row]:
        """Returns the rows on rare events."""
        entries = float(self._fleet.entries)
        return [
            _row(
                "configuration",
                "in force everywhere",
                self._at("configuration: in force everywhere", self._fleet.tenants),
                "s",
                CONFIGURATION_DELAY_LIMIT_S,
            ),
            _row(
                "loss of a failure domain",
                "all cells owned again",
                self._at("loss of a domain: all cells owned again", entries),
                "s",
            ),
            _row(
                "loss of a failure domain",
                "store calls meanwhile",
                self._at("loss of a domain: store calls meanwhile", entries),
                "1/s",
                STORE_READS_LIMIT,
            ),
            _row(
                "region cut off for 5 minutes",
                "its cells owned elsewhere",
                self._at("cut-off region: cells owned elsewhere", CUT_S),
                "s",
            ),
            _row(
                "region cut off for 5 minutes",
                "its cells home after the return",
                self._at("cut-off region: cells home after the return", CUT_S),
                "s",
            ),
        ]

    def _slope(self, name: str) -> float:
        return max(0.0, self._slopes[name].per_unit)

    def _at(self, name: str, size: float) -> float:
        return max(0.0, self._slopes[name].at(size))


def _row(role: str, what: str, value: float, unit: str, limit: float | None = None) -> Row:
    return Row(role=role, what=what, value=value, unit=unit, limit=limit)
