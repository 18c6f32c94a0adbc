"""Reservation of a job: its declared demand, raised to a quantile of the usage of its class."""

from __future__ import annotations

import collections
import dataclasses

from ebonyhatch.core import entities, resources
from hdrh import histogram

UNITS = 1000
"""Histogram units per core or gigabyte."""

MAX_VALUE = 10_000_000
"""Largest value of the histograms, in units."""

SIGNIFICANT_DIGITS = 2
MIN_SAMPLES = 50
"""Usage samples of a class from which on its quantiles are used."""

REFRESH_SAMPLES = 200
"""New samples after which the quantiles of a class are read again."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class ClassSizes:
    """Measured usage of the tasks of a class.

    Attributes:
        count: Number of samples.
        read_at: Value of `count` when the quantiles were last read.
        quantile: Quantile that was last read.
        cores: That quantile of the cores in use.
        memory_gb: That quantile of the memory in use, gigabytes.
        measured_cores: Histogram of the cores in use, units of 1 / `UNITS` core.
        measured_memory: Histogram of the memory in use, units of 1 / `UNITS` gigabyte.
    """

    count: int = 0
    read_at: int = 0
    quantile: float = 0.0
    cores: float = 0.0
    memory_gb: float = 0.0
    measured_cores: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(1, MAX_VALUE, SIGNIFICANT_DIGITS)
    )
    measured_memory: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(1, MAX_VALUE, SIGNIFICANT_DIGITS)
    )


class Sizes:
    """Sizes by class that are learned from usage reports."""

    __slots__ = ("_classes",)

    def __init__(self) -> None:
        self._classes: collections.defaultdict[str, ClassSizes] = collections.defaultdict(
            ClassSizes
        )

    def record_usage(self, work_class: str, usage: resources.Resources) -> None:
        """Records the measured usage of a task."""
        sizes = self._classes[work_class]
        sizes.count += 1
        sizes.measured_cores.record_value(_units(usage.cores))
        sizes.measured_memory.record_value(_units(usage.memory_gb))

    def reservation(self, job: entities.Job, *, quantile: float) -> resources.Resources:
        """Returns the larger of the declared demand of a job and a quantile of its class."""
        declared = job.demand
        sizes = self._classes.get(job.work_class)
        if quantile <= 0.0 or sizes is None or sizes.count < MIN_SAMPLES:
            return declared
        _refresh_quantiles(sizes, quantile)
        if declared.cores >= sizes.cores and declared.memory_gb >= sizes.memory_gb:
            return declared
        return resources.Resources(
            slots=declared.slots,
            connections=declared.connections,
            cores=max(declared.cores, sizes.cores),
            memory_gb=max(declared.memory_gb, sizes.memory_gb),
            accelerators=declared.accelerators,
        )


def _units(amount: float) -> int:
    return min(MAX_VALUE, max(1, int(amount * UNITS)))


def _refresh_quantiles(sizes: ClassSizes, quantile: float) -> None:
    if sizes.quantile == quantile and sizes.count < sizes.read_at + REFRESH_SAMPLES:
        return
    sizes.quantile = quantile
    sizes.read_at = sizes.count
    percent = 100.0 * quantile
    sizes.cores = sizes.measured_cores.get_value_at_percentile(percent) / UNITS
    sizes.memory_gb = sizes.measured_memory.get_value_at_percentile(percent) / UNITS
