"""Metrics of one entry: counts of the events in its decision log, and its current state.

Counting the logged events keeps counters and log consistent: the lines behind a rising counter have
its name in the log.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import eliot
from ebonyhatch.fleet import call_counts
from ebonyhatch.node import labels

if TYPE_CHECKING:
    from ebonyhatch.fleet import exposition

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

GaugeSource = Callable[[], dict[str, float]]
"""Returns the current state: metric names without prefix, and values."""


class Metrics:
    """Counts logged events from `start` until `close`."""

    def __init__(
        self, *, gauges: GaugeSource, calls: call_counts.CallSource = call_counts.no_calls
    ) -> None:
        self._events = labels.LabelSet(limit=EVENTS_LIMIT)
        self._outcomes = labels.LabelSet(limit=OUTCOMES_LIMIT)
        self._queues = labels.LabelSet(limit=QUEUES_LIMIT)
        self._counts: dict[tuple[str, str], int] = {}
        self._histograms: dict[str, dict[str, Histogram]] = {event: {} for event in HISTOGRAMS}
        self._gauges = gauges
        self._calls = calls
        self._exposition: exposition.Exposition | None = None

    @property
    def content_type(self) -> str:
        """Media type of the text format."""
        return self._renderer().content_type

    def start(self) -> None:
        """Starts to count."""
        eliot.add_destinations(self._receive)

    def close(self) -> None:
        """Stops counting."""
        eliot.remove_destination(self._receive)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return self._renderer().render()

    def _renderer(self) -> exposition.Exposition:
        if self._exposition is None:
            # Not imported with this module: entries start faster without it, and few are scraped.
            from ebonyhatch.fleet import exposition

            self._exposition = exposition.Exposition(
                counts=self._counts,
                histograms=self._histograms,
                gauges=self._gauges,
                calls=self._calls,
            )
        return self._exposition

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
            series = self._histograms[event][queue] = Histogram()
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


class Histogram:
    """Values of one series by bucket; only the loop's thread adds to it."""

    __slots__ = ("_counts", "_sum")

    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKETS_S) + 1)
        self._sum = 0.0

    @property
    def counts(self) -> tuple[int, ...]:
        """Number of values in each bucket; the last one has no bound."""
        return tuple(self._counts)

    @property
    def sum(self) -> float:
        """Sum of all values."""
        return self._sum

    def observe(self, value: float) -> None:
        """Adds a value."""
        self._counts[bisect.bisect_left(BUCKETS_S, value)] += 1
        self._sum += value
