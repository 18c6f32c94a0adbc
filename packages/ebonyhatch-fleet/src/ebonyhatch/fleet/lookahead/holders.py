"""Steps that starve beside small ones, for which targets are reserved."""

from __future__ import annotations

import statistics

from ebonyhatch.fleet import rows, target_index

LARGE_SHARE = 0.35
"""Share of the median target's processor time, memory or accelerators above which a task is large: at
most two of them fit on such a target, and short tasks of 2 to 8 cores on 16 to 64 keep it from being
free."""

RARE_LABEL_FRACTION = 0.25
"""Fraction of a pool up to which the targets with a label count as few."""

MEDIAN_LIFE_S = 5.0
"""Time for which the sizes and labels of a pool's targets are assumed not to change, seconds."""

RESIZED_FRACTION = 0.1
"""Change of the number of a pool's targets after which they are measured again at once."""


class Holders:
    """Decides which steps may hold reservations, by the sizes and labels of their pool's targets."""

    def __init__(self) -> None:
        self._limits: dict[str, tuple[float, float, float]] = {}
        self._label_counts: dict[str, dict[str, int]] = {}
        self._sizes: dict[str, int] = {}
        self._measured_at = -MEDIAN_LIFE_S

    def measure(self, index: target_index.TargetIndex, *, now: float) -> None:
        """Measures the usable targets of all pools, unless that was done a short time ago.

        The targets of a new owner become usable one by one, so a change of their number counts.
        """
        sizes = {pool: index.count(pool) for pool in index.pools()}
        if now - self._measured_at < MEDIAN_LIFE_S and not self._resized(sizes):
            return
        self._measured_at = now
        self._limits.clear()
        self._label_counts.clear()
        self._sizes.clear()
        for pool in index.pools():
            members = [row.target for row in index.targets(pool)]
            self._sizes[pool] = len(members)
            self._limits[pool] = (
                LARGE_SHARE * statistics.median(one.cpu_millis for one in members),
                LARGE_SHARE * statistics.median(one.memory_mb for one in members),
                LARGE_SHARE * statistics.median(one.accelerators for one in members),
            )
            counts = self._label_counts[pool] = {}
            for one in members:
                for label in one.labels:
                    counts[label] = counts.get(label, 0) + 1

    def _resized(self, sizes: dict[str, int]) -> bool:
        return sizes.keys() != self._sizes.keys() or any(
            abs(size - self._sizes[pool]) > RESIZED_FRACTION * size for pool, size in sizes.items()
        )

    def may_hold(self, step: rows.StepRow) -> bool:
        """Returns whether targets may be reserved for a step.

        Long-running steps and fillers have rules of their own; see `reserve` and `interference`.
        """
        spec = step.step
        if spec.long_running or spec.filler:
            return False
        pool = step.job.queue.pool
        limits = self._limits.get(pool)
        if limits is None:
            return False
        if spec.gang or spec.cpu_millis > limits[0] or spec.memory_mb > limits[1]:
            return True
        if spec.accelerators and spec.accelerators > limits[2]:
            return True
        if not spec.label:
            return False
        labelled = self._label_counts[pool].get(spec.label, 0)
        return 0 < labelled <= RARE_LABEL_FRACTION * self._sizes[pool]
