"""Results of a load by class."""

from __future__ import annotations

import collections
import enum
from typing import Any

import click
from ebonyhatch.cli import load_plan, printing
from hdrh import histogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Outcome(enum.StrEnum):
    """Outcome of a request."""

    ANSWERED = "answered"
    WRONG = "wrong-answer"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    NOT_SENT = "not-sent"


class ClassReport:
    """Outcomes of one class, and the latencies of its answered requests."""

    def __init__(self) -> None:
        self._counts: collections.Counter[Outcome] = collections.Counter()
        self._latency = histogram.HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def add(self, *, outcome: Outcome, latency_s: float) -> None:
        """Counts an outcome; `latency_s` is measured from the time at which the request was due."""
        self._counts[outcome] += 1
        if outcome is Outcome.ANSWERED:
            self._latency.record_value(
                max(MIN_LATENCY_US, round(latency_s * MICROSECONDS_PER_SECOND))
            )

    def summary(self) -> dict[str, Any]:
        """Returns counts and latency percentiles."""
        counts = {outcome.value: self._counts[outcome] for outcome in Outcome}
        if not self._counts[Outcome.ANSWERED]:
            return {**counts, "latency_s": None}
        percentiles = {
            f"p{p:g}": self._latency.get_value_at_percentile(p) / MICROSECONDS_PER_SECOND
            for p in PERCENTILES
        }
        percentiles["max"] = self._latency.get_max_value() / MICROSECONDS_PER_SECOND
        return {**counts, "latency_s": percentiles}


class Report:
    """Results of all classes."""

    def __init__(self, *, plan: load_plan.Plan) -> None:
        self._plan = plan
        self._classes = {rate.work_class: ClassReport() for rate in plan.rates}

    def add(self, *, work_class: str, outcome: Outcome, latency_s: float) -> None:
        """Counts an outcome."""
        self._classes[work_class].add(outcome=outcome, latency_s=latency_s)

    def summary(self) -> dict[str, Any]:
        """Returns the parameters of the plan and the results of all classes."""
        return {
            "seed": self._plan.seed,
            "duration_s": self._plan.duration_s,
            "crest": self._plan.crest,
            "classes": {name: report.summary() for name, report in self._classes.items()},
        }

    def print(self) -> None:
        """Prints a table, with latencies in milliseconds."""
        headers = ("class", *Outcome, *(f"p{p:g} ms" for p in PERCENTILES), "max ms")
        rows = [_format_row(name, report.summary()) for name, report in self._classes.items()]
        click.echo(
            f"seed {self._plan.seed}, {self._plan.duration_s:g} s, crest {self._plan.crest:g}"
        )
        printing.table(headers=headers, rows=rows)


def _format_row(name: str, summary: dict[str, Any]) -> list[object]:
    counts = [summary[outcome.value] for outcome in Outcome]
    latency = summary["latency_s"]
    if latency is None:
        return [name, *counts, *("-" for _ in range(len(PERCENTILES) + 1))]
    return [name, *counts, *(f"{value * 1_000:.1f}" for value in latency.values())]
