"""The metrics of an entry in the Prometheus text format."""

from __future__ import annotations

import itertools
from collections.abc import Iterator, Mapping

import prometheus_client
from ebonyhatch.fleet import call_counts, metrics
from prometheus_client import metrics_core, registry, utils

# The creation time would add one more sample to each series.
prometheus_client.disable_created_metrics()

_BOUNDS = (*map(utils.floatToGoString, metrics.BUCKETS_S), "+Inf")


class Exposition:
    """Renders the counts and the current state of an entry."""

    def __init__(
        self,
        *,
        counts: Mapping[tuple[str, str], int],
        histograms: Mapping[str, Mapping[str, metrics.Histogram]],
        gauges: metrics.GaugeSource,
        calls: call_counts.CallSource,
    ) -> None:
        """Initializes the collectors, which read their values with each rendering.

        Args:
            counts: Counts by event and outcome.
            histograms: Histograms by event and queue.
            gauges: Returns the current state.
            calls: Returns the counts of calls to the platform.
        """
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(_EventCollector(counts=counts, histograms=histograms))
        self._registry.register(_GaugeCollector(gauges=gauges))
        self._registry.register(_CallCollector(calls=calls))

    @property
    def content_type(self) -> str:
        """Media type of the text format."""
        return prometheus_client.CONTENT_TYPE_LATEST

    def render(self) -> bytes:
        """Returns all metrics."""
        return prometheus_client.generate_latest(self._registry)


def _add_histogram(
    family: metrics_core.HistogramMetricFamily, queue: str, histogram: metrics.Histogram
) -> None:
    """Adds a series to a family; a bucket includes the smaller ones."""
    totals = itertools.accumulate(histogram.counts)
    buckets = list(zip(_BOUNDS, totals, strict=True))
    family.add_metric((queue,), buckets, sum_value=histogram.sum)


class _EventCollector(registry.Collector):
    """Reads the counts of events; nothing is formatted when an event is counted."""

    def __init__(
        self,
        *,
        counts: Mapping[tuple[str, str], int],
        histograms: Mapping[str, Mapping[str, metrics.Histogram]],
    ) -> None:
        self._counts = counts
        self._histograms = histograms

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Returns the counts by event and outcome, and the histograms by queue."""
        counter = metrics_core.CounterMetricFamily(
            metrics.PREFIX + "events",
            "Logged decisions and changes of known state, by event name.",
            labels=("event", "outcome"),
        )
        for series, count in self._counts.items():
            counter.add_metric(series, count)
        yield counter
        for event, (name, _, text) in metrics.HISTOGRAMS.items():
            family = metrics_core.HistogramMetricFamily(
                metrics.PREFIX + name, text, labels=("queue",)
            )
            for queue, histogram in self._histograms[event].items():
                _add_histogram(family, queue, histogram)
            yield family


class _GaugeCollector(registry.Collector):
    """Reads the current state when metrics are rendered."""

    def __init__(self, *, gauges: metrics.GaugeSource) -> None:
        self._gauges = gauges

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Returns each value as a gauge."""
        for name, value in self._gauges().items():
            yield metrics_core.GaugeMetricFamily(
                metrics.PREFIX + name, "State of this entry.", value=value
            )


class _CallCollector(registry.Collector):
    """Reads the counts of calls when metrics are rendered; nothing is looked up at a call."""

    def __init__(self, *, calls: call_counts.CallSource) -> None:
        self._calls = calls

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Returns calls by outcome, bytes by direction and calls in progress, by kind of call."""
        calls = metrics_core.CounterMetricFamily(
            metrics.PREFIX + "calls",
            "Calls to the platform, by outcome.",
            labels=("kind", "outcome"),
        )
        transferred = metrics_core.CounterMetricFamily(
            metrics.PREFIX + "call_bytes",
            "Bytes of calls to the platform, with headers.",
            labels=("kind", "direction"),
        )
        in_progress = metrics_core.GaugeMetricFamily(
            metrics.PREFIX + "calls_in_progress", "Calls without an outcome yet.", labels=("kind",)
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
