"""Weights of the policy; operators set them in the records of work classes."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from ebonyhatch.core import entities


@dataclasses.dataclass(slots=True, kw_only=True)
class Settings:
    """Weights in force; a class record may name any of them in its `weights`.

    Attributes:
        reserve_spread: Slots kept for urgent work above its demand, in square roots of it.
        reserve_least: Least share of all slots kept for urgent work.
        peak_share: Share of the recent peak that is made ready when demand surges.
        surge_margin: Factor on the demand expected while it rises steeply.
        eviction_cost_limit_s: Work of one task that may be lost to make room ahead, seconds.
        patience_s: Wait of urgent work after which dearer tasks are stopped too, seconds.
        hold_s: How long the reserve stays after the demand for it fell, seconds.
        eviction_budget: Evictions allowed at once, as a share of all slots.
        eviction_refill_s: Time in which a spent budget comes back, seconds.
        checkpoint_spacing_s: Least work between two checkpoints of a task, seconds.
        short_run_s: Jobs that are expected to run longer wait in the long lane, seconds.
        short_share: Most of the batch slots that the short lane takes first.
        size_quantile: Quantile of the measured use of a class that is reserved at least.
        class_memory_s: How long a failed start counts against its class, seconds.
        harm_limit: Predicted slowdown of urgent work above which batch work gives way.
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
    """Take each weight from the classes that name it: the largest of them counts."""
    found: dict[str, float] = {}
    for entry in classes:
        for name, value in entry.weights.items():
            if name in WEIGHT_NAMES:
                found[name] = max(value, found.get(name, value))
    return dataclasses.replace(defaults, **found)
