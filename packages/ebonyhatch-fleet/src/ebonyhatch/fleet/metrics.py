"""Metrics of one entry: what its log of decisions says, counted, and its state when asked.

Counting the log's own events keeps both in step: an engineer who sees a counter rise finds the lines
that raised it under the same name.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import eliot
import prometheus_client
from ebonyhatch.node import labels
from prometheus_client import metrics_core, registry

PREFIX = "ebonyhatch_"

EVENTS_LIMIT = 128
"""Most kinds of events counted by name; the code has about 60."""

OUTCOMES_LIMIT = 64
"""Most outcomes counted by name: verdicts, kinds of ends, reasons of stops."""

QUEUES_LIMIT = 64
"""Most queues with histograms of their own; further ones are counted together."""

BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 120.0, 600.0)
"""Bounds of the histograms, seconds: from a start without a wait to the longest objective."""

OUTCOME_FIELDS = ("verdict", "how", "state", "dependency", "reason")
"""Fields that tell how an event came out, the first that is there counts."""

HISTOGRAMS = {
    "run.order": ("wait_seconds", "waited_s", "Time for which a task waited for room."),
    "job.shown": ("job_seconds", "took_s", "Time from a submission to the end that callers see."),
    "job.submitted": ("submission_seconds", "took_s", "Time to answer a submission."),
}
"""By event: the name of its histogram, the field that is observed, and what it is."""

# The time of creation would be one more sample of each series.
prometheus_client.disable_created_metrics()

GaugeSource = Callable[[], dict[str, float]]
"""Gives the present state: names without prefix, and values."""


class Metrics:
    """Counts from `start` until `close`."""

    def __init__(self, *, gauges: GaugeSource) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._events = labels.LabelSet(limit=EVENTS_LIMIT)
        self._outcomes = labels.LabelSet(limit=OUTCOMES_LIMIT)
        self._queues = labels.LabelSet(limit=QUEUES_LIMIT)
        self._counter = prometheus_client.Counter(
            PREFIX + "events",
            "Decisions and changes of belief, by the names of the log.",
            ("event", "outcome"),
            registry=self._registry,
        )
        self._histograms = {
            event: prometheus_client.Histogram(
                PREFIX + name, text, ("queue",), buckets=BUCKETS_S, registry=self._registry
            )
            for event, (name, _, text) in HISTOGRAMS.items()
        }
        self._registry.register(_GaugeCollector(gauges=gauges))

    def start(self) -> None:
        """Count from now on."""
        eliot.add_destinations(self._receive)

    def close(self) -> None:
        """Count nothing more."""
        eliot.remove_destination(self._receive)

    def render(self) -> bytes:
        """Give all metrics as text."""
        return prometheus_client.generate_latest(self._registry)

    def _receive(self, message: dict[str, Any]) -> None:
        event = str(message.get("message_type", ""))
        self._counter.labels(self._events.fold(event), self._outcome(message)).inc()
        if event not in HISTOGRAMS:
            return
        value = message.get(HISTOGRAMS[event][1])
        if value is not None:
            queue = self._queues.fold(str(message.get("queue", "")))
            self._histograms[event].labels(queue).observe(float(value))

    def _outcome(self, message: dict[str, Any]) -> str:
        for name in OUTCOME_FIELDS:
            value = str(message.get(name) or "")
            # Longer texts hold ids and figures, and would make a series each.
            if value and " " not in value:
                return self._outcomes.fold(value)
        return ""


class _GaugeCollector(registry.Collector):
    """Asks for the present state when metrics are rendered."""

    def __init__(self, *, gauges: GaugeSource) -> None:
        self._gauges = gauges

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Give each value as a gauge."""
        for name, value in self._gauges().items():
            yield metrics_core.GaugeMetricFamily(PREFIX + name, "State of this entry.", value=value)
