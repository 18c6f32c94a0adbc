"""Metrics of one entry: counts of the events in its decision log, and its current state.

Counting the logged events keeps counters and log consistent: the lines behind a rising counter have
its name in the log.
"""

from __future__ import annotations

import bisect
import itertools
from collections.abc import Callable, Iterator
from typing import Any

import eliot
import prometheus_client
from ebonyhatch.fleet import call_counts
from ebonyhatch.node import labels
from prometheus_client import metrics_core, registry, utils

PREFIX = "ebonyhatch_"

EVENTS_LIMIT = 128
"""Maximum number of event names counted separately; the code has about 60."""

OUTCOMES_LIMIT = 64
"""Maximum number of outcomes counted separately: verdicts, kinds of ends, reasons of stops."""

QUEUES_LIMIT = 64
"""Maximum number of queues with separate histograms; further ones are counted together."""

BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 120.0, 600.0)
"""Bucket bounds of the histograms, seconds: from a start without a wait to the longest objective."""

OUTCOME_FIELDS = ("verdict", "how", "state", "dependency", "reason")
"""Fields that may hold the outcome of an event; the first usable one is counted."""

HISTOGRAMS = {
    "run.order": ("wait_seconds", "waited_s", "Time for which a task waited for free capacity."),
    "job.shown": ("job_seconds", "took_s", "Time from a submission to the end visible to callers."),
    "job.submitted": ("submission_seconds", "took_s", "Time to answer a submission."),
}
"""By event: name of the histogram, observed log field, and help text."""

# The creation time would add one more sample to each series.
prometheus_client.disable_created_metrics()

_BOUNDS = (*map(utils.floatToGoString, BUCKETS_S), "+Inf")

GaugeSource = Callable[[], dict[str, float]]
"""Returns the current state: metric names without prefix, and values."""


class Metrics:
    """Counts logged events from `start` until `close`."""

    def __init__(
        self, *, gauges: GaugeSource, calls: call_counts.CallSource = call_counts.no_calls
    ) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._events = labels.LabelSet(limit=EVENTS_LIMIT)
        self._outcomes = labels.LabelSet(limit=OUTCOMES_LIMIT)
        self._queues = labels.LabelSet(limit=QUEUES_LIMIT)
        self._counts: dict[tuple[str, str], int] = {}
        self._histograms: dict[str, dict[str, _Histogram]] = {event: {} for event in HISTOGRAMS}
        self._registry.register(_EventCollector(counts=self._counts, histograms=self._histograms))
        self._registry.register(_GaugeCollector(gauges=gauges))
        self._registry.register(_CallCollector(calls=calls))

    def start(self) -> None:
        """Starts to count."""
        eliot.add_destinations(self._receive)

    def close(self) -> None:
        """Stops counting."""
        eliot.remove_destination(self._receive)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def _receive(self, message: dict[str, Any]) -> None:
        event = str(message.get("message_type", ""))
        self._count(self._events.fold(event), self._outcome(message))
        if event not in HISTOGRAMS:
            return
        value = message.get(HISTOGRAMS[event][1])
        if value is not None:
            queue = self._queues.fold(str(message.get("queue", "")))
            self._observe(event, queue, float(value))

    def _count(self, event: str, outcome: str) -> None:
        self._counts[(event, outcome)] = self._counts.get((event, outcome), 0) + 1

    def _observe(self, event: str, queue: str, value: float) -> None:
        series = self._histograms[event].get(queue)
        if series is None:
            series = self._histograms[event][queue] = _Histogram()
        series.observe(value)

    def _outcome(self, message: dict[str, Any]) -> str:
        for name in OUTCOME_FIELDS:
            value = message.get(name)
            if not value:
                continue
            text = str(value)
            # Texts with spaces contain ids and figures, and each would create a new series.
            if text and " " not in text:
                return self._outcomes.fold(text)
        return ""


class _Histogram:
    """Values of one series by bucket; only the loop's thread adds to it."""

    __slots__ = ("_counts", "_sum")

    def __init__(self) -> None:
        self._counts = [0] * len(_BOUNDS)
        self._sum = 0.0

    def observe(self, value: float) -> None:
        """Adds a value."""
        self._counts[bisect.bisect_left(BUCKETS_S, value)] += 1
        self._sum += value

    def add_to(self, family: metrics_core.HistogramMetricFamily, queue: str) -> None:
        """Adds the series to a family; a bucket includes the smaller ones."""
        totals = itertools.accumulate(self._counts)
        buckets = list(zip(_BOUNDS, totals, strict=True))
        family.add_metric((queue,), buckets, sum_value=self._sum)


class _EventCollector(registry.Collector):
    """Reads the counts of events; nothing is formatted when an event is counted."""

    def __init__(
        self,
        *,
        counts: dict[tuple[str, str], int],
        histograms: dict[str, dict[str, _Histogram]],
    ) -> None:
        self._counts = counts
        self._histograms = histograms

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Returns the counts by event and outcome, and the histograms by queue."""
        counter = metrics_core.CounterMetricFamily(
            PREFIX + "events",
            "Logged decisions and changes of known state, by event name.",
            labels=("event", "outcome"),
        )
        for series, count in self._counts.items():
            counter.add_metric(series, count)
        yield counter
        for event, (name, _, text) in HISTOGRAMS.items():
            family = metrics_core.HistogramMetricFamily(PREFIX + name, text, labels=("queue",))
            for queue, histogram in self._histograms[event].items():
                histogram.add_to(family, queue)
            yield family


class _GaugeCollector(registry.Collector):
    """Reads the current state when metrics are rendered."""

    def __init__(self, *, gauges: GaugeSource) -> None:
        self._gauges = gauges

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Returns each value as a gauge."""
        for name, value in self._gauges().items():
            yield metrics_core.GaugeMetricFamily(PREFIX + name, "State of this entry.", value=value)


class _CallCollector(registry.Collector):
    """Reads the counts of calls when metrics are rendered; nothing is looked up at a call."""

    def __init__(self, *, calls: call_counts.CallSource) -> None:
        self._calls = calls

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Returns calls by outcome, bytes by direction and calls in progress, by kind of call."""
        calls = metrics_core.CounterMetricFamily(
            PREFIX + "calls", "Calls to the platform, by outcome.", labels=("kind", "outcome")
        )
        transferred = metrics_core.CounterMetricFamily(
            PREFIX + "call_bytes",
            "Bytes of calls to the platform, with headers.",
            labels=("kind", "direction"),
        )
        in_progress = metrics_core.GaugeMetricFamily(
            PREFIX + "calls_in_progress", "Calls without an outcome yet.", labels=("kind",)
        )
        for kind, counts in self._calls().items():
            calls.add_metric((kind, "answered"), counts.answered)
            calls.add_metric((kind, "failed"), counts.failed)
            calls.add_metric((kind, "timed-out"), counts.timed_out)
            calls.add_metric((kind, "cancelled"), counts.cancelled)
            transferred.add_metric((kind, "sent"), counts.bytes_sent)
            transferred.add_metric((kind, "received"), counts.bytes_received)
            in_progress.add_metric((kind,), counts.in_progress)
        yield from (calls, transferred, in_progress)
