"""Demand of urgent work: level, slope and recent peak, in slots."""

from __future__ import annotations

import collections
import math

BIN_S = 0.1
"""Length of a bin, seconds."""

FAST_BINS = 6
"""Number of recent bins in the fast mean of the arrival rate and in its slope."""

SLOW_BINS = 50
"""Number of recent bins in the slow mean of the arrival rate."""

PEAK_BINS = 10
"""Number of recent bins whose mean rate counts as a peak."""

SURGE_RATIO = 1.3
"""Ratio of the forecast to the baseline above which demand surges."""

RISE_SIGMAS = 4.0
"""Standard deviations of the arrival noise above which a rise counts."""

SLOPE_SIGMAS = 1.5
"""Standard deviations above which a slope counts; one is then subtracted from it."""

RISE_LIMIT = 1.4
"""Factor by which a rise is expected to increase the demand at most."""

PEAK_RATIO = 1.1
"""Ratio of recent peak to demand above which a rise is expected to end at that peak."""

SURGE_ENDS_AFTER_S = 4.0
"""Time for which a surge lasts after the last steep rise, seconds."""

PEAK_HALF_LIFE_S = 1800.0
"""Time in which the recent peak decays to half, seconds."""

SERVICE_WEIGHT = 0.0005
"""Least weight of one answer in the mean service time."""

FIRST_ANSWERS = 500
"""Number of answers up to which the mean service time was to be their arithmetic mean.

Not used at present: the mean is arithmetic up to 1 / `SERVICE_WEIGHT` answers.
"""


class Demand:
    """Counts arrivals in bins of time and multiplies their rate by the mean service time."""

    __slots__ = (
        "_bins",
        "_arrived",
        "_bin_started_at",
        "_answers",
        "_service_s",
        "_peak",
        "_surge_at",
        "_slow",
        "_fast",
        "_slope",
    )

    def __init__(self) -> None:
        self._bins: collections.deque[float] = collections.deque(maxlen=SLOW_BINS)
        self._arrived = 0
        self._bin_started_at = -1.0
        self._answers = 0
        self._service_s = 0.0
        self._peak = 0.0
        self._surge_at = -math.inf
        self._slow = 0.0
        self._fast = 0.0
        self._slope = 0.0

    @property
    def service_s(self) -> float:
        """Mean service time, seconds."""
        return self._service_s

    @property
    def answers(self) -> int:
        """Number of answers in the mean service time."""
        return self._answers

    @property
    def peak(self) -> float:
        """Recent peak of the demand, slots."""
        return self._peak * self._service_s

    def record_arrival(self) -> None:
        """Counts an arrival."""
        self._arrived += 1

    def record_service_time(self, service_s: float) -> None:
        """Updates the mean service time with the time that a request held its slot."""
        self._answers += 1
        weight = max(SERVICE_WEIGHT, 1.0 / self._answers)
        self._service_s += weight * (service_s - self._service_s)

    def close_bin(self, *, now: float) -> None:
        """Closes a bin; called about every `BIN_S`."""
        if self._bin_started_at < 0:
            self._bin_started_at = now
            return
        elapsed = now - self._bin_started_at
        if elapsed < BIN_S / 2:
            return
        self._bins.append(self._arrived / elapsed)
        self._arrived = 0
        self._bin_started_at = now
        self._update_rates()
        self._peak *= 0.5 ** (elapsed / PEAK_HALF_LIFE_S)
        recent = list(self._bins)[-PEAK_BINS:]
        self._peak = max(self._peak, sum(recent) / len(recent))
        if self._slope > 0 and self.forecast(ahead_s=0.0) > self._baseline_demand() * SURGE_RATIO:
            self._surge_at = now

    def surging(self, *, now: float) -> bool:
        """Returns whether a steep rise was seen within the last `SURGE_ENDS_AFTER_S` seconds."""
        return now - self._surge_at < SURGE_ENDS_AFTER_S

    def forecast(self, *, ahead_s: float) -> float:
        """Returns the demand expected in `ahead_s` seconds, slots.

        That is the slow mean, unless the fast mean rises above the noise of the arrivals.
        """
        rate = self._slow
        if self._fast <= rate + RISE_SIGMAS * self._sigma(FAST_BINS):
            return rate * self._service_s
        current = self._fast + self._slope * BIN_S * FAST_BINS / 2
        ahead = current + self._slope * ahead_s
        limit = self._peak if self._peak > current * PEAK_RATIO else current * RISE_LIMIT
        return max(current, min(ahead, limit)) * self._service_s

    def _baseline_demand(self) -> float:
        earlier = list(self._bins)[: -2 * FAST_BINS]
        if not earlier:
            return math.inf
        return sum(earlier) / len(earlier) * self._service_s

    def _sigma(self, bins: int) -> float:
        return math.sqrt(max(1.0, self._slow) / (bins * BIN_S))

    def _update_rates(self) -> None:
        recent = list(self._bins)[-FAST_BINS:]
        self._slow = sum(self._bins) / len(self._bins)
        self._fast = sum(recent) / len(recent)
        self._slope = 0.0
        if len(recent) < FAST_BINS:
            return
        middle = (FAST_BINS - 1) / 2
        offsets = [(number - middle) * BIN_S for number in range(FAST_BINS)]
        squared_offsets = sum(offset * offset for offset in offsets)
        slope = sum(x * y for x, y in zip(offsets, recent, strict=True)) / squared_offsets
        sigma = math.sqrt(max(1.0, self._slow) / BIN_S / squared_offsets)
        if slope > SLOPE_SIGMAS * sigma:
            self._slope = slope - sigma
