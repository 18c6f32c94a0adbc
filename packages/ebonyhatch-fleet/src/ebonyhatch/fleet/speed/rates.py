"""Rate of progress of one run, measured between status reports by the target's own clock."""

from __future__ import annotations

import dataclasses
import math

MIN_WINDOW_S = 0.25
"""Shortest time over which a rate is measured, seconds."""

MAX_WINDOW_S = 2.0
"""Time after which a rate is measured also without enough progress, seconds."""

MIN_PROGRESS_PERCENT = 1.0
"""Progress that is enough for a rate; reports carry tenths of a percent."""

ROUNDING_PERCENT = 0.1
"""Resolution of reported progress, percent."""

NOISE_VARIANCE = 0.02
"""Variance of the logarithm of a rate, beside that of the rounding: reports are read while runs go
on."""

LAST_PERCENT = 98.0
"""Progress from which on a report says nothing: targets report at most 99 until a run has ended."""

MIN_USUAL_VARIANCE = 0.04
"""Least variance of a run's usual rate, so that it follows a rate that stays."""

SPEED_CORRELATION_S = 6.0
"""Time over which a rate has to be measured for the target's unknown speed to average out by half,
seconds: about as long as targets are slow."""

MAX_DEVIATION = math.log(10.0)
"""Deviations of a rate above this are treated as this: a run that stands still says no more about the
target than a very slow one."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class RunRate:
    """Progress of a run and the rate that it would have at the fleet's speed.

    Attributes:
        clock_s: Start of the present measurement on the target's clock, seconds.
        percent: Progress at that time.
        usual: Logarithm of the fraction of the run that is done in a second at the fleet's speed.
        variance: Variance of `usual` that it shares with no other run.
        speed_variance: Variance of the target's speed when `usual` was learned. This part of its error
            is common to the runs of a target.
        measured_s: Time over which its rate was measured, seconds.
    """

    clock_s: float
    percent: float
    usual: float
    variance: float
    speed_variance: float = 0.0
    measured_s: float = 0.0
    _window_s: float = 0.0

    @property
    def measured(self) -> bool:
        """Whether a rate was measured."""
        return self.measured_s > 0

    @property
    def common_deviation(self) -> float:
        """Standard deviation of the part of the error that all runs of the target share.

        A rate that stays is the usual one: the target's speed returns to that of the fleet.
        """
        return math.sqrt(self.speed_variance / (1 + self.measured_s / SPEED_CORRELATION_S))

    def measure(self, *, clock_s: float, percent: float) -> tuple[float, float] | None:
        """Returns the logarithm of the rate and its variance, or None while too little is known.

        A run that has not begun to progress isn't measured: its target may be loading what it needs.
        """
        elapsed_s, progress = clock_s - self.clock_s, percent - self.percent
        if percent >= LAST_PERCENT or progress < 0 or elapsed_s < 0 or percent <= 0:
            self._restart(clock_s, percent)
            return None
        if elapsed_s < MIN_WINDOW_S:
            return None
        if self.percent <= 0:
            self._restart(clock_s, percent)
            return None
        expected = 100 * math.exp(self.usual) * elapsed_s if self.measured else 0.0
        if max(progress, expected) < MIN_PROGRESS_PERCENT and elapsed_s < MAX_WINDOW_S:
            return None
        self._restart(clock_s, percent)
        self._window_s = elapsed_s
        resolved = progress + ROUNDING_PERCENT / 2
        rounding = ROUNDING_PERCENT / resolved
        return math.log(resolved / 100 / elapsed_s), NOISE_VARIANCE + rounding * rounding / 6

    def deviation(self, rate: float) -> float:
        """Returns by how much a logarithm of the rate differs from the usual one."""
        return max(-MAX_DEVIATION, min(MAX_DEVIATION, rate - self.usual))

    def correct(self, *, usual: float, variance: float, speed_variance: float) -> None:
        """Applies the last measurement, from which the target's speed was subtracted."""
        gain = self.variance / (self.variance + variance + speed_variance)
        if not self.measured:
            self.speed_variance = speed_variance
        self.usual += gain * (usual - self.usual)
        self.variance = max(MIN_USUAL_VARIANCE, self.variance * (1 - gain))
        self.measured_s += self._window_s

    def _restart(self, clock_s: float, percent: float) -> None:
        self.clock_s, self.percent = clock_s, percent
