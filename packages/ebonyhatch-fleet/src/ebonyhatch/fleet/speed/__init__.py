"""Speed of targets relative to the fleet, learned from the progress and the ends of runs."""

from __future__ import annotations

from ebonyhatch.fleet.speed import estimate, kinds, rates, target_speeds

__all__ = ["estimate", "kinds", "rates", "target_speeds"]
