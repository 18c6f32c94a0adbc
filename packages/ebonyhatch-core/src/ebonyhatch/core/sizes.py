"""What is reserved for a job: its declared size, and at least a quantile of its class."""

from __future__ import annotations

import collections
import dataclasses

from ebonyhatch.core import entities, resources
from hdrh import histogram

UNITS = 1000
"""Units of the histograms in a core or a gigabyte."""

LARGEST = 10_000_000
DIGITS = 2
LEAST_SAMPLES = 50
REFRESH_SAMPLES = 200


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class ClassSizes:
    """Measured use of the tasks of a class."""

    count: int = 0
    read_at: int = 0
    quantile: float = 0.0
    cores: float = 0.0
    memory_gb: float = 0.0
    measured_cores: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(1, LARGEST, DIGITS)
    )
    measured_memory: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(1, LARGEST, DIGITS)
    )


class Sizes:
    """Learns from usage reports by class."""

    __slots__ = ("_classes",)

    def __init__(self) -> None:
        self._classes: collections.defaultdict[str, ClassSizes] = collections.defaultdict(
            ClassSizes
        )

    def measured(self, work_class: str, usage: resources.Resources) -> None:
        """Take in the measured use of a task."""
        sizes = self._classes[work_class]
        sizes.count += 1
        sizes.measured_cores.record_value(_units(usage.cores))
        sizes.measured_memory.record_value(_units(usage.memory_gb))

    def reserved(self, job: entities.Job, *, quantile: float) -> resources.Resources:
        """The larger of what a job declares and a quantile of what its class uses."""
        declared = job.demand
        sizes = self._classes.get(job.work_class)
        if quantile <= 0.0 or sizes is None or sizes.count < LEAST_SAMPLES:
            return declared
        _read(sizes, quantile)
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
    return min(LARGEST, max(1, int(amount * UNITS)))


def _read(sizes: ClassSizes, quantile: float) -> None:
    if sizes.quantile == quantile and sizes.count < sizes.read_at + REFRESH_SAMPLES:
        return
    sizes.quantile = quantile
    sizes.read_at = sizes.count
    percent = 100.0 * quantile
    sizes.cores = sizes.measured_cores.get_value_at_percentile(percent) / UNITS
    sizes.memory_gb = sizes.measured_memory.get_value_at_percentile(percent) / UNITS
