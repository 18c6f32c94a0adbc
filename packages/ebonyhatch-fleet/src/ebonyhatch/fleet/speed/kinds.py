"""How runs of each queue and image progress in the whole fleet compared with their expectation."""

from __future__ import annotations

import collections
import statistics

MAX_KINDS = 500
"""Largest number of queues and images; those that were not used for longest go first."""

MAX_SAMPLES = 31
"""Number of last runs of a kind whose median counts."""

MIN_SAMPLES = 5
"""Number of runs from which on the median of a kind is used."""

RUN_VARIANCE = 0.81
"""Variance of the logarithm of a run time around its expectation: declared times are off by a
lognormal factor with sigma 0.9."""

UNKNOWN_VARIANCE = 1.0
"""Additional variance of a kind with fewer than `MIN_SAMPLES` runs."""

Kind = tuple[str, str]
"""Queue and image."""


class Kinds:
    """Median deviation of the runs of each kind, by which a common error of estimates is removed."""

    def __init__(self) -> None:
        self._samples: collections.OrderedDict[Kind, collections.deque[float]] = (
            collections.OrderedDict()
        )
        self._medians: dict[Kind, float] = {}

    def __len__(self) -> int:
        return len(self._samples)

    def add(self, kind: Kind, deviation: float) -> None:
        """Adds a run's logarithm of expected run time over run time.

        The speed of its target isn't subtracted: errors of speeds and medians would feed each other.
        """
        samples = self._samples.get(kind)
        if samples is None:
            samples = self._samples[kind] = collections.deque(maxlen=MAX_SAMPLES)
        samples.append(deviation)
        self._samples.move_to_end(kind)
        self._medians.pop(kind, None)
        if len(self._samples) > MAX_KINDS:
            oldest, _ = self._samples.popitem(last=False)
            self._medians.pop(oldest, None)

    def expected(self, kind: Kind) -> tuple[float, float]:
        """Returns the expected deviation of a run of a kind, and its variance."""
        samples = self._samples.get(kind)
        if samples is None or len(samples) < MIN_SAMPLES:
            return 0.0, RUN_VARIANCE + UNKNOWN_VARIANCE
        median = self._medians.get(kind)
        if median is None:
            median = self._medians[kind] = statistics.median(samples)
        return median, RUN_VARIANCE
