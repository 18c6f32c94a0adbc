"""Run time estimates by work class and tenant, from declared times and measured histograms."""

from __future__ import annotations

import collections
import dataclasses
import math

from ebonyhatch.core import entities
from hdrh import histogram

MIN_SAMPLES = 20
"""Finished jobs of a class from which on its estimates are used."""

MAX_RUN_MS = 7 * 24 * 3_600_000
"""Largest value of the histograms, milliseconds: one week."""

SIGNIFICANT_DIGITS = 2
STRAGGLER_PERCENTILE = 98.0
"""Percentile of the run times of a class beyond which a job is a straggler."""

REFRESH_FACTOR = 1.1
"""The straggler time is read again once the samples of a class have grown by this factor."""

DECLARED_TRUST = 0.5
"""Trust in declared times before enough jobs have finished; not used at present."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class ClassTimes:
    """Moments of the logarithms of declared and measured run times of a class.

    Attributes:
        count: Number of finished jobs.
        run: Sum of the logarithms of run times, in seconds.
        declared: Sum of the logarithms of declared times, in seconds.
        declared_square: Sum of the squares of the logarithms of declared times.
        product: Sum of the products of both logarithms.
        straggler_s: Run time from which on a job is a straggler, as last read, seconds.
        read_at: Value of `count` when `straggler_s` was last read.
        measured: Histogram of run times, milliseconds.
    """

    count: int = 0
    run: float = 0.0
    declared: float = 0.0
    declared_square: float = 0.0
    product: float = 0.0
    straggler_s: float = math.inf
    read_at: int = 0
    measured: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(1, MAX_RUN_MS, SIGNIFICANT_DIGITS)
    )


class RunTimes:
    """Run time estimates that are learned from finished jobs."""

    __slots__ = ("_classes", "_version")

    def __init__(self) -> None:
        self._version = 0
        self._classes: collections.defaultdict[tuple[str, str], ClassTimes] = (
            collections.defaultdict(ClassTimes)
        )

    @property
    def version(self) -> int:
        """Counter that is incremented when the estimates may have changed much."""
        return self._version

    def record_run_time(self, job: entities.Job, *, run_s: float) -> None:
        """Records the run time of a finished job."""
        run_s = max(run_s, 0.001)
        for tenant in ("", job.tenant):
            times = self._classes[job.work_class, tenant]
            _add(times, run_s=run_s, declared_s=max(job.expected_run_s, 0.001))
            if times.count >= MIN_SAMPLES and times.count % MIN_SAMPLES == 0:
                self._version += 1

    def estimate_s(self, job: entities.Job) -> float:
        """Returns the expected run time, seconds: the declared one shrunk towards the mean.

        The mean is that measured for the class and tenant of the job, or else for its class. The
        weight of the declared time is the slope, limited to 0 to 1, of a linear regression of log
        run time on log declared time.
        """
        times = self._most_specific(job)
        if times is None:
            return job.expected_run_s
        mean_declared = times.declared / times.count
        variance = times.declared_square / times.count - mean_declared * mean_declared
        run = times.run / times.count
        covariance = times.product / times.count - run * mean_declared
        slope = min(1.0, max(0.0, covariance / variance)) if variance > 1e-9 else 0.0
        return math.exp(run + slope * (math.log(max(job.expected_run_s, 0.001)) - mean_declared))

    def straggler_s(self, work_class: str) -> float:
        """Returns the run time beyond which a job of a class is a straggler, seconds."""
        times = self._classes.get((work_class, ""))
        if times is None or times.count < MIN_SAMPLES:
            return math.inf
        if times.count > times.read_at * REFRESH_FACTOR:
            times.read_at = times.count
            value_ms = times.measured.get_value_at_percentile(STRAGGLER_PERCENTILE)
            times.straggler_s = value_ms / 1000.0
        return times.straggler_s

    def _most_specific(self, job: entities.Job) -> ClassTimes | None:
        for tenant in (job.tenant, ""):
            times = self._classes.get((job.work_class, tenant))
            if times is not None and times.count >= MIN_SAMPLES:
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
    times.measured.record_value(min(MAX_RUN_MS, int(run_s * 1000) + 1))
