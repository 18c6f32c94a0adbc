"""Estimate of one target's speed with its uncertainty and its age."""

from __future__ import annotations

import dataclasses
import math

HALF_LIFE_S = 3.0
"""Half-life of a deviation without evidence, seconds: a target that got no work because it was slow
gives no evidence, and targets are slow for about twice as long."""

PRIOR_VARIANCE = 0.4
"""Variance of the logarithm of a target's speed without evidence: most targets have the speed of the
fleet, and the slow ones are up to 7.5 times as slow."""

COMMON_VARIANCE = 0.02
"""Variance of the evidence of one report that all of its runs share."""

CAUTION_DEVIATIONS = 0.5
"""Number of standard deviations by which a speed has to be below the fleet's to count as such."""

NORMAL_SPEED = 0.8
"""Speeds above this count as that of the fleet: the difference is below that of free capacity."""

SPEED_STEP = 0.05
"""Resolution of a speed; each change of it sorts the target anew."""

MIN_SPEED = 0.05
"""Least speed: hung runs are stopped by another rule."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class SpeedEstimate:
    """Logarithm of a target's speed; 0 is the speed of the fleet.

    Without evidence it returns to 0, and its variance to that of an unknown target.

    Attributes:
        log_speed: Expected value.
        variance: Its variance.
        at: Time for which both hold, seconds.
    """

    log_speed: float = 0.0
    variance: float = PRIOR_VARIANCE
    at: float = 0.0

    def advance_to(self, now: float) -> None:
        """Lets the estimate age until a time, seconds."""
        elapsed_s = now - self.at
        if elapsed_s <= 0:
            return
        self.at = now
        kept = 0.5 ** (elapsed_s / HALF_LIFE_S)
        self.log_speed *= kept
        self.variance = PRIOR_VARIANCE + (self.variance - PRIOR_VARIANCE) * kept * kept

    def correct(self, *, log_speed: float, variance: float) -> None:
        """Applies evidence: a logarithm of the speed and its variance."""
        gain = self.variance / (self.variance + variance + COMMON_VARIANCE)
        self.log_speed += gain * (log_speed - self.log_speed)
        self.variance *= 1 - gain

    def speed_in(self, fleet_log_speed: float) -> float:
        """Returns the speed that the target surely doesn't exceed, in steps; 1 if it may be normal.

        Args:
            fleet_log_speed: Median logarithm of the speeds of the fleet.
        """
        deviation = CAUTION_DEVIATIONS * math.sqrt(self.variance)
        upper = math.exp(self.log_speed - min(0.0, fleet_log_speed) + deviation)
        if upper > NORMAL_SPEED:
            return 1.0
        return max(MIN_SPEED, round(round(upper / SPEED_STEP) * SPEED_STEP, 3))
