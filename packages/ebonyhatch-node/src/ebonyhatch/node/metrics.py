"""Metrics of one daemon, with bounded sets of label values."""

from __future__ import annotations

from collections.abc import Iterator

import prometheus_client
import prometheus_client.metrics_core
from ebonyhatch.node import labels
from twisted.internet import defer, task

LATENCY_BUCKETS_S = (0.01, 0.03, 0.1, 0.3, 1.0, 2.5, 10.0, 60.0, 600.0)
"""Upper bounds of the buckets of the latency histograms, seconds."""

DEFAULT_LABEL_SETS = 128
SLICE_SAMPLES = 500
"""Maximum number of samples that are rendered in one iteration of the event loop."""

REASONS_LIMIT = 64
CLASSES_LIMIT = 64
PREFIX = "ebonyhatch_"

# The time of creation would add one more sample to each series.
prometheus_client.disable_created_metrics()


class Metrics:
    """All metrics of the daemon; their names begin with `ebonyhatch_`."""

    def __init__(
        self,
        *,
        registry: prometheus_client.CollectorRegistry | None = None,
        label_sets: int = DEFAULT_LABEL_SETS,
    ) -> None:
        """Creates all metrics.

        Args:
            registry: Registry of the metrics; a new one by default.
            label_sets: Maximum number of pairs of class and tenant that have separate
                histograms.
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
        self._callers = self._gauge("caller_connections", "Connections of callers.")
        self._held = self._gauge("caller_held_bytes", "Memory of incomplete requests.")
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

    def record_wait_time(self, *, work_class: str, tenant: str, seconds: float) -> None:
        """Records the time from arrival to start."""
        self._wait.labels(*self._pairs.fold(work_class, tenant)).observe(seconds)

    def record_service_time(self, *, work_class: str, tenant: str, seconds: float) -> None:
        """Records the time from start to response or end."""
        self._service.labels(*self._pairs.fold(work_class, tenant)).observe(seconds)

    def record_total_time(self, *, work_class: str, tenant: str, seconds: float) -> None:
        """Records the time from arrival to response or end."""
        self._total.labels(*self._pairs.fold(work_class, tenant)).observe(seconds)

    def record_refusal(self, *, reason: str, outcome: str, count: int = 1) -> None:
        """Counts refusals of one kind; `outcome` is `not-run` or `unknown`."""
        self._refusals.labels(self._reasons.fold(reason), outcome).inc(count)

    def record_retry(self, *, work_class: str, granted: bool) -> None:
        """Counts a retry that the budget granted or denied."""
        self._retries.labels(self._classes.fold(work_class), str(granted).lower()).inc()

    def record_eviction(self, *, work_class: str, redone_s: float) -> None:
        """Counts an eviction and the seconds of work that it loses."""
        name = self._classes.fold(work_class)
        self._evictions.labels(name).inc()
        self._redone.labels(name).inc(max(0.0, redone_s))

    def record_store_call(self, *, kind: str, outcome: str) -> None:
        """Counts a call to the store by kind and outcome, e.g. `swap` and `conflict`."""
        self._store_calls.labels(kind, outcome).inc()

    def record_peer_bytes(self, direction: str, count: int) -> None:
        """Counts payload bytes to or from peers; `direction` is `in` or `out`."""
        self._peer_bytes.labels(direction).inc(count)

    def record_peer_fault(self, reason: str) -> None:
        """Counts a dropped frame or a replaced connection."""
        self._peer_faults.labels(self._reasons.fold(reason)).inc()

    def record_epoch_change(self, *, change: str) -> None:
        """Counts a cell that was `gained`, `released` or `lost`."""
        self._epochs.labels(change).inc()

    def set_generation(self, *, generation: int, age_s: float) -> None:
        """Sets the generation in force and the time since the store last confirmed it."""
        self._generation.set(generation)
        self._generation_age.set(age_s)

    def set_callers(self, *, connections: int, held_bytes: int) -> None:
        """Sets the number of callers' connections and the memory that they take."""
        self._callers.set(connections)
        self._held.set(held_bytes)

    def set_store_age(self, *, age_s: float) -> None:
        """Sets the time since the store last answered."""
        self._store_age.set(age_s)

    def set_reserve(self, *, slots: int, crest: bool) -> None:
        """Sets the reserve for urgent work, and whether demand is at a crest (a load peak)."""
        self._reserve.set(slots)
        self._crest.set(int(crest))

    def set_retry_budget(self, *, retries: float) -> None:
        """Sets the number of retries that the budget currently permits."""
        self._retry_budget.set(retries)

    def set_queue(self, *, work_class: str, length: int) -> None:
        """Sets the length of a queue."""
        self._queue.labels(self._classes.fold(work_class)).set(length)

    def set_workers(self, *, health: str, count: int) -> None:
        """Sets the number of workers in a state of health."""
        self._workers.labels(health).set(count)

    def set_cells(self, *, count: int) -> None:
        """Sets the number of cells that this entry owns."""
        self._cells.set(count)

    def set_peers(self, *, state: str, count: int) -> None:
        """Sets the number of peers that are `heard` (recently reported) or `silent`."""
        self._peers.labels(state).set(count)

    def set_interference(self, *, urgent: str, batch: str, slowdown: float) -> None:
        """Sets the learned slowdown of an urgent class by a batch class."""
        self._slowdown.labels(*self._class_pairs.fold(urgent, batch)).set(slowdown)

    def render(self) -> bytes:
        """Renders all metrics in the text format of Prometheus."""
        return b"".join(self.slices())

    def render_cooperatively(
        self, *, cooperator: task.Cooperator | None = None
    ) -> defer.Deferred[bytes]:
        """Renders one slice of the metrics in each iteration of the event loop, not to block it.

        Args:
            cooperator: Schedules the iterations; that of the running reactor by default.
        """
        parts: list[bytes] = []

        def iterations() -> Iterator[None]:
            for part in self.slices():
                parts.append(part)
                yield

        coiterate = task.coiterate if cooperator is None else cooperator.coiterate
        return coiterate(iterations()).addCallback(lambda _: b"".join(parts))

    def slices(self) -> Iterator[bytes]:
        """Renders all metrics in parts of at most `SLICE_SAMPLES` samples."""
        for family in self._registry.collect():
            samples = family.samples
            for first in range(0, max(1, len(samples)), SLICE_SAMPLES):
                family.samples = samples[first : first + SLICE_SAMPLES]
                text = prometheus_client.generate_latest(_Family(family=family))
                yield text if first == 0 else _without_header(text)


class _Family:
    """A registry of one family of samples, as the library's renderer expects."""

    def __init__(self, *, family: prometheus_client.metrics_core.Metric) -> None:
        self._family = family

    def collect(self) -> Iterator[prometheus_client.metrics_core.Metric]:
        """Yields the family."""
        yield self._family


def _without_header(text: bytes) -> bytes:
    """Returns the text without the lines of help and type, which may occur only once."""
    return b"".join(line for line in text.splitlines(keepends=True) if not line.startswith(b"#"))
