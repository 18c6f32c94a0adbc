"""Slopes: a cost measured at three or more sizes, and the least-squares line through the points."""

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
    """A cost as a function of a size.

    Attributes:
        name: What was measured.
        unit: Unit of the values.
        per: Unit that the sizes count.
        points: The measurements.
    """

    name: str
    unit: str
    per: str
    points: tuple[Point, ...]

    @property
    def per_unit(self) -> float:
        """Slope of the least-squares line: growth of the value per unit of size."""
        return self._line()[0]

    @property
    def fixed(self) -> float:
        """Intercept of the line: its value at size 0."""
        return self._line()[1]

    def at(self, size: float) -> float:
        """Returns the value of the line at a size."""
        return self.fixed + self.per_unit * size

    def _line(self) -> tuple[float, float]:
        sizes = [point.size for point in self.points]
        values = [point.value for point in self.points]
        slope, intercept = statistics.linear_regression(sizes, values)
        return slope, intercept


Probe = Callable[..., list[Slope]]
_PROBES: dict[str, Probe] = {}


def probe(name: str) -> Callable[[Probe], Probe]:
    """Registers a probe that takes `seed` and `quick` by keyword and returns slopes."""

    def register(function: Probe) -> Probe:
        _PROBES[name] = function
        return function

    return register


def probes() -> dict[str, Probe]:
    """Returns all probes by name."""
    return dict(_PROBES)


def cpu_s(work: Callable[[], object]) -> float:
    """Returns the processor seconds that `work` takes in all threads of this process."""
    started_at = time.process_time()
    work()
    return time.process_time() - started_at


def min_cpu_s(work: Callable[[], object], *, repeats: int = REPEATS) -> float:
    """Returns the minimum over several runs, which other load on the machine disturbs least."""
    return min(cpu_s(work) for _ in range(repeats))


def resident_bytes() -> int:
    """Returns the resident memory of this process, after garbage collection."""
    gc.collect()
    return int(STATM.read_text().split()[1]) * PAGE_BYTES


def process_cpu_s(pid: int) -> float:
    """Returns the processor seconds that another process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def process_resident_bytes(pid: int) -> int:
    """Returns the resident memory of another process."""
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def slope(*, name: str, unit: str, per: str, points: Sequence[tuple[float, float]]) -> Slope:
    """Builds a slope from pairs of size and value."""
    return Slope(
        name=name,
        unit=unit,
        per=per,
        points=tuple(Point(size=size, value=value) for size, value in points),
    )
