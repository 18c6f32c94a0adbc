"""Metrics of one daemon, with bounded sets of labels."""

from __future__ import annotations

from collections.abc import Iterator

import prometheus_client
import prometheus_client.metrics_core
from ebonyhatch.node import labels
from twisted.internet import defer, task

LATENCY_BUCKETS_S = (0.01, 0.03, 0.1, 0.3, 1.0, 2.5, 10.0, 60.0, 600.0)
"""Bounds of the latency histograms, seconds."""

DEFAULT_LABEL_SETS = 128
SLICE_SAMPLES = 500
"""Samples that are rendered in one turn of the loop."""

REASONS_LIMIT = 64
CLASSES_LIMIT = 64
PREFIX = "ebonyhatch_"

# The time of creation would be one more sample of each series.
prometheus_client.disable_created_metrics()


class Metrics:
    """Everything that the daemon counts; names begin with `ebonyhatch_`."""

    def __init__(
        self,
        *,
        registry: prometheus_client.CollectorRegistry | None = None,
        label_sets: int = DEFAULT_LABEL_SETS,
    ) -> None:
        """Create every metric.

        Args:
            registry: Where they are registered; a new one by default.
            label_sets: Most pairs of class and tenant with histograms of their own.
        """
        self._registry = registry or prometheus_client.CollectorRegistry()
        self._pairs = labels.PairSet(limit=label_sets)
        self._reasons = labels.LabelSet(limit=REASONS_LIMIT)
        self._classes = labels.LabelSet(limit=CLASSES_LIMIT)
        self._class_pairs = labels.PairSet(limit=CLASSES_LIMIT)
        self._make_histograms()
        self._make_counters()
        self._make_gauges()

    def _make_histograms(self) -> None:
        self._wait = self._histogram("wait_seconds", "Time from arrival to the start.")
        self._service = self._histogram("service_seconds", "Time from start to answer or end.")
        self._total = self._histogram("total_seconds", "Time from arrival to answer or end.")

    def _make_counters(self) -> None:
        self._refusals = self._counter("refusals", "Work refused.", "reason", "outcome")
        self._retries = self._counter("retries", "Second tries.", "work_class", "granted")
        self._evictions = self._counter("evictions", "Attempts evicted.", "work_class")
        self._redone = self._counter("redone_seconds", "Work lost to evictions.", "work_class")
        self._store_calls = self._counter("store_calls", "Calls to the store.", "kind", "outcome")
        self._peer_bytes = self._counter("peer_bytes", "Payload to and from peers.", "direction")
        self._peer_faults = self._counter("peer_faults", "Frames dropped, by reason.", "reason")
        self._epochs = self._counter("epoch_changes", "Cells taken over or given up.", "change")

    def _make_gauges(self) -> None:
        self._generation = self._gauge("generation", "Configuration generation in force.")
        self._generation_age = self._gauge("generation_age_seconds", "Age of that generation.")
        self._store_age = self._gauge("store_age_seconds", "Time since the store last answered.")
        self._reserve = self._gauge("reserve_slots", "Slots kept for urgent work.")
        self._crest = self._gauge("crest", "1 while demand is at a crest.")
        self._retry_budget = self._gauge("retry_budget", "Retries that may be made now.")
        self._queue = self._gauge("queue_length", "Work that waits.", "work_class")
        self._workers = self._gauge("workers", "Workers by health.", "health")
        self._cells = self._gauge("cells_owned", "Cells that this entry owns.")
        self._peers = self._gauge("peers", "Peers by reachability.", "state")
        self._slowdown = self._gauge(
            "interference", "Learnt slowdown of a class by a batch class.", "urgent", "batch"
        )

    def _histogram(self, name: str, text: str) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            PREFIX + name,
            text,
            ("work_class", "tenant"),
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def _counter(self, name: str, text: str, *label_names: str) -> prometheus_client.Counter:
        return prometheus_client.Counter(PREFIX + name, text, label_names, registry=self._registry)

    def _gauge(self, name: str, text: str, *label_names: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(PREFIX + name, text, label_names, registry=self._registry)

    def waited(self, *, work_class: str, tenant: str, seconds: float) -> None:
        """Observe the time from arrival to start."""
        self._wait.labels(*self._pairs.fold(work_class, tenant)).observe(seconds)

    def served(self, *, work_class: str, tenant: str, seconds: float) -> None:
        """Observe the time from start to answer or end."""
        self._service.labels(*self._pairs.fold(work_class, tenant)).observe(seconds)

    def completed(self, *, work_class: str, tenant: str, seconds: float) -> None:
        """Observe the time from arrival to answer or end."""
        self._total.labels(*self._pairs.fold(work_class, tenant)).observe(seconds)

    def refused(self, *, reason: str, outcome: str) -> None:
        """Count a refusal; `outcome` is `not-run` or `unknown`."""
        self._refusals.labels(self._reasons.fold(reason), outcome).inc()

    def retried(self, *, work_class: str, granted: bool) -> None:
        """Count a second try, granted or kept back by the budget."""
        self._retries.labels(self._classes.fold(work_class), str(granted).lower()).inc()

    def evicted(self, *, work_class: str, redone_s: float) -> None:
        """Count an eviction and the seconds of work that it loses."""
        name = self._classes.fold(work_class)
        self._evictions.labels(name).inc()
        self._redone.labels(name).inc(max(0.0, redone_s))

    def store_called(self, *, kind: str, outcome: str) -> None:
        """Count a call to the store, e.g. `swap` and `conflict`."""
        self._store_calls.labels(kind, outcome).inc()

    def peer_bytes(self, direction: str, count: int) -> None:
        """Count payload bytes to or from peers; `direction` is `in` or `out`."""
        self._peer_bytes.labels(direction).inc(count)

    def peer_fault(self, reason: str) -> None:
        """Count a frame that was dropped, or a connection that was replaced."""
        self._peer_faults.labels(self._reasons.fold(reason)).inc()

    def epoch_changed(self, *, change: str) -> None:
        """Count a cell that was `gained`, `released` or `lost`."""
        self._epochs.labels(change).inc()

    def set_generation(self, *, generation: int, age_s: float) -> None:
        """Show the generation in force and the time since it was taken."""
        self._generation.set(generation)
        self._generation_age.set(age_s)

    def set_store_age(self, *, age_s: float) -> None:
        """Show the time since the store last answered."""
        self._store_age.set(age_s)

    def set_reserve(self, *, slots: int, crest: bool) -> None:
        """Show the reserve for urgent work and whether demand is at a crest."""
        self._reserve.set(slots)
        self._crest.set(int(crest))

    def set_retry_budget(self, *, tries: float) -> None:
        """Show how many retries may be made now."""
        self._retry_budget.set(tries)

    def set_queue(self, *, work_class: str, length: int) -> None:
        """Show the length of a queue."""
        self._queue.labels(self._classes.fold(work_class)).set(length)

    def set_workers(self, *, health: str, count: int) -> None:
        """Show how many workers are in a state of health."""
        self._workers.labels(health).set(count)

    def set_cells(self, *, count: int) -> None:
        """Show how many cells this entry owns."""
        self._cells.set(count)

    def set_peers(self, *, state: str, count: int) -> None:
        """Show how many peers are `heard` or `silent`."""
        self._peers.labels(state).set(count)

    def set_interference(self, *, urgent: str, batch: str, slowdown: float) -> None:
        """Show the learnt slowdown of an urgent class by a batch class."""
        self._slowdown.labels(*self._class_pairs.fold(urgent, batch)).set(slowdown)

    def render(self) -> bytes:
        """Write all metrics in the text format of Prometheus."""
        return b"".join(self.slices())

    def render_in_turns(
        self, *, cooperator: task.Cooperator | None = None
    ) -> defer.Deferred[bytes]:
        """Write all metrics a slice in each turn of the loop, so that none is held up.

        Args:
            cooperator: Gives the turns; that of the running reactor by default.
        """
        parts: list[bytes] = []

        def turns() -> Iterator[None]:
            for part in self.slices():
                parts.append(part)
                yield

        coiterate = task.coiterate if cooperator is None else cooperator.coiterate
        return coiterate(turns()).addCallback(lambda _: b"".join(parts))

    def slices(self) -> Iterator[bytes]:
        """Write all metrics in parts of at most `SLICE_SAMPLES` samples."""
        for family in self._registry.collect():
            samples = family.samples
            for first in range(0, max(1, len(samples)), SLICE_SAMPLES):
                family.samples = samples[first : first + SLICE_SAMPLES]
                text = prometheus_client.generate_latest(_Family(family=family))
                yield text if first == 0 else _without_header(text)


class _Family:
    """A registry of one family of samples, for the library's renderer."""

    def __init__(self, *, family: prometheus_client.metrics_core.Metric) -> None:
        self._family = family

    def collect(self) -> Iterator[prometheus_client.metrics_core.Metric]:
        """Give the family."""
        yield self._family


def _without_header(text: bytes) -> bytes:
    """Drop the lines of help and type, which may stand only once."""
    return b"".join(line for line in text.splitlines(keepends=True) if not line.startswith(b"#"))
