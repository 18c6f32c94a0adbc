"""Weights of the scheduling policy, which operators set in the records of work classes."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from ebonyhatch.core import entities


@dataclasses.dataclass(slots=True, kw_only=True)
class Settings:
    """Weights in force; the record of a work class may set any of them in its `weights`.

    Attributes:
        reserve_spread: Slots reserved for urgent work beyond its expected demand, as a multiple of
            the square root of that demand.
        reserve_least: Minimum fraction of all slots that is reserved for urgent work.
        peak_share: Fraction of the recent peak that is reserved when demand surges.
        surge_margin: Factor by which the expected demand is multiplied while demand surges.
        eviction_cost_limit_s: Maximum work of one task that may be lost when capacity is freed in
            advance, seconds.
        patience_s: Waiting time of urgent work after which more costly tasks are evicted too,
            seconds.
        hold_s: Time for which the reserve is kept after its demand fell, seconds.
        eviction_budget: Maximum size of the eviction budget, as a fraction of all slots.
        eviction_refill_s: Time in which a spent eviction budget is refilled, seconds.
        checkpoint_spacing_s: Minimum work between two checkpoints of a task, seconds.
        short_run_s: Expected run time above which a job waits in the long lane, seconds.
        short_share: Fraction of the batch slots in use up to which the short lane is served first.
        size_quantile: Quantile of the measured usage of a class that is reserved at minimum.
        class_memory_s: Time for which a failed start is counted against its class, seconds.
        harm_limit: Predicted slowdown of urgent work, as a fraction, above which a batch class
            counts as interfering and yields to urgent work.
    """

    reserve_spread: float = 0.5
    reserve_least: float = 0.05
    peak_share: float = 1.0
    surge_margin: float = 1.15
    hold_s: float = 4.0
    eviction_cost_limit_s: float = 12.0
    patience_s: float = 0.25
    eviction_budget: float = 1.0
    eviction_refill_s: float = 120.0
    checkpoint_spacing_s: float = 30.0
    short_run_s: float = 60.0
    short_share: float = 0.8
    size_quantile: float = 0.75
    harm_limit: float = 0.15
    class_memory_s: float = 30.0


WEIGHT_NAMES = tuple(field.name for field in dataclasses.fields(Settings))


def from_classes(classes: Iterable[entities.WorkClass], *, defaults: Settings) -> Settings:
    """Returns `defaults` with each weight replaced by the largest value that any class sets."""
    largest: dict[str, float] = {}
    for work_class in classes:
        for name, value in work_class.weights.items():
            if name in WEIGHT_NAMES:
                largest[name] = max(value, largest.get(name, value))
    return dataclasses.replace(defaults, **largest)
