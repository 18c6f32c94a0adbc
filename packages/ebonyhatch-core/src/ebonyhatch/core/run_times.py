"""Estimates of run times by class and tenant, from declared times and from histograms."""

from __future__ import annotations

import collections
import dataclasses
import math

from ebonyhatch.core import entities
from hdrh import histogram

LEAST_SAMPLES = 20
"""Finished jobs of a class before its estimates count."""

LONGEST_MS = 7 * 24 * 3_600_000
DIGITS = 2
STRAGGLER_PERCENTILE = 98.0
REFRESH_SHARE = 1.1
"""Quantiles are read anew when a class has grown by this factor."""

DECLARED_TRUST = 0.5
"""Trust in declared times before enough jobs have finished."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class ClassTimes:
    """Moments of the logarithms of declared and measured times of a class."""

    count: int = 0
    run: float = 0.0
    declared: float = 0.0
    declared_square: float = 0.0
    product: float = 0.0
    straggler_s: float = math.inf
    read_at: int = 0
    measured: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(1, LONGEST_MS, DIGITS)
    )


class RunTimes:
    """Learns from finished jobs."""

    __slots__ = ("_classes", "_version")

    def __init__(self) -> None:
        self._version = 0
        self._classes: collections.defaultdict[tuple[str, str], ClassTimes] = (
            collections.defaultdict(ClassTimes)
        )

    @property
    def version(self) -> int:
        """Grows when the estimates have changed much."""
        return self._version

    def finished(self, job: entities.Job, *, run_s: float) -> None:
        """Take in the run time of a job."""
        run_s = max(run_s, 0.001)
        for tenant in ("", job.tenant):
            times = self._classes[job.work_class, tenant]
            _add(times, run_s=run_s, declared_s=max(job.expected_run_s, 0.001))
            if times.count >= LEAST_SAMPLES and times.count % LEAST_SAMPLES == 0:
                self._version += 1

    def estimate_s(self, job: entities.Job) -> float:
        """Expected run time: the declared one, drawn towards that of class and tenant."""
        times = self._best(job)
        if times is None:
            return job.expected_run_s
        mean = times.declared / times.count
        variance = times.declared_square / times.count - mean * mean
        run = times.run / times.count
        covariance = times.product / times.count - run * mean
        trust = min(1.0, max(0.0, covariance / variance)) if variance > 1e-9 else 0.0
        return math.exp(run + trust * (math.log(max(job.expected_run_s, 0.001)) - mean))

    def straggler_s(self, work_class: str) -> float:
        """Run time beyond which a job of a class is a straggler, seconds."""
        times = self._classes.get((work_class, ""))
        if times is None or times.count < LEAST_SAMPLES:
            return math.inf
        if times.count > times.read_at * REFRESH_SHARE:
            times.read_at = times.count
            value_ms = times.measured.get_value_at_percentile(STRAGGLER_PERCENTILE)
            times.straggler_s = value_ms / 1000.0
        return times.straggler_s

    def _best(self, job: entities.Job) -> ClassTimes | None:
        for tenant in (job.tenant, ""):
            times = self._classes.get((job.work_class, tenant))
            if times is not None and times.count >= LEAST_SAMPLES:
                return times
        return None


def _add(times: ClassTimes, *, run_s: float, declared_s: float) -> None:
    run = math.log(run_s)
    declared = math.log(declared_s)
    times.count += 1
    times.run += run
    times.declared += declared
    times.declared_square += declared * declared
    times.product += run * declared
    times.measured.record_value(min(LONGEST_MS, int(run_s * 1000) + 1))
