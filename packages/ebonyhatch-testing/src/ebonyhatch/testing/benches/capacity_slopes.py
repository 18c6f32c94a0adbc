"""Slopes: a cost measured at three or more sizes, and the line through the points."""

from __future__ import annotations

import gc
import os
import pathlib
import resource
import statistics
import time
from collections.abc import Callable, Sequence

import msgspec

STATM = pathlib.Path("/proc/self/statm")
PAGE_BYTES = resource.getpagesize()
REPEATS = 3


class Point(msgspec.Struct, frozen=True, kw_only=True):
    """One measurement."""

    size: float
    value: float


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """A cost against a size.

    Attributes:
        name: What was measured.
        unit: Unit of the values.
        per: What the sizes count.
        points: The measurements.
    """

    name: str
    unit: str
    per: str
    points: tuple[Point, ...]

    @property
    def per_unit(self) -> float:
        """Growth of the value with each unit of size, by least squares."""
        return self._line()[0]

    @property
    def fixed(self) -> float:
        """Value of the line at size 0."""
        return self._line()[1]

    def at(self, size: float) -> float:
        """Read the line at a size."""
        return self.fixed + self.per_unit * size

    def _line(self) -> tuple[float, float]:
        sizes = [point.size for point in self.points]
        values = [point.value for point in self.points]
        slope, intercept = statistics.linear_regression(sizes, values)
        return slope, intercept


Probe = Callable[..., list[Slope]]
_PROBES: dict[str, Probe] = {}


def probe(name: str) -> Callable[[Probe], Probe]:
    """Register a probe that takes `seed` and `quick` by keyword and gives slopes."""

    def register(function: Probe) -> Probe:
        _PROBES[name] = function
        return function

    return register


def probes() -> dict[str, Probe]:
    """All probes by name."""
    return dict(_PROBES)


def cpu_s(work: Callable[[], object]) -> float:
    """Processor seconds of this process, all threads, that `work` takes."""
    started_at = time.process_time()
    work()
    return time.process_time() - started_at


def min_cpu_s(work: Callable[[], object], *, repeats: int = REPEATS) -> float:
    """Least of several runs: the one that the machine disturbed least."""
    return min(cpu_s(work) for _ in range(repeats))


def resident_bytes() -> int:
    """Resident memory of this process."""
    gc.collect()
    return int(STATM.read_text().split()[1]) * PAGE_BYTES


def process_cpu_s(pid: int) -> float:
    """Processor seconds that another process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def process_resident_bytes(pid: int) -> int:
    """Resident memory of another process."""
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def slope(*, name: str, unit: str, per: str, points: Sequence[tuple[float, float]]) -> Slope:
    """Build a slope from pairs of size and value."""
    return Slope(
        name=name,
        unit=unit,
        per=per,
        points=tuple(Point(size=size, value=value) for size, value in points),
    )
