"""Expected run times, learnt by queue and image from what callers estimate and what runs take."""

from __future__ import annotations

import dataclasses
import math

PRIOR_SAMPLES = 4.0
"""Samples that the prior counts for; a few ends outweigh it."""

PRIOR_RUN_VARIANCE = 0.25
"""Variance of the logarithm of run times before any sample."""

PRIOR_ERROR_VARIANCE = 0.5
"""Variance of the logarithm of estimate over run time before any sample."""

WINDOW_SAMPLES = 200.0
"""Samples that are remembered; older ones fade."""

SHORTEST_S = 0.001
"""Run times and estimates below this count as this, seconds."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _Spread:
    """Fading mean and variance."""

    weight: float = 0.0
    mean: float = 0.0
    variance: float = 0.0

    def add(self, value: float) -> None:
        self.weight = min(self.weight + 1.0, WINDOW_SAMPLES)
        share = 1.0 / self.weight
        delta = value - self.mean
        self.mean += share * delta
        self.variance += share * (delta * (value - self.mean) - self.variance)

    def shrunk(self, prior: float) -> float:
        """Give the variance, pulled towards a prior while there are few samples."""
        return (PRIOR_SAMPLES * prior + self.weight * self.variance) / (PRIOR_SAMPLES + self.weight)


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _Kind:
    """Logarithms of run times and of estimate errors of one kind of task."""

    runs: _Spread = dataclasses.field(default_factory=_Spread)
    errors: _Spread = dataclasses.field(default_factory=_Spread)


Row = tuple[str, str, float, float, float, float, float, float]
"""Queue, image, then weight, mean and variance of run times and of estimate errors."""


class RunTimes:
    """Blends a caller's estimate with the history of its kind, each by how sure it is."""

    def __init__(self) -> None:
        self._kinds: dict[tuple[str, str], _Kind] = {}

    def rows(self) -> tuple[Row, ...]:
        """Give everything that was learnt."""
        return tuple(
            (
                queue,
                image,
                *(kind.runs.weight, kind.runs.mean, kind.runs.variance),
                *(kind.errors.weight, kind.errors.mean, kind.errors.variance),
            )
            for (queue, image), kind in self._kinds.items()
        )

    def restore(self, learnt: tuple[Row, ...]) -> None:
        """Begin with what was learnt before."""
        for queue, image, *figures in learnt:
            self._kinds[(queue, image)] = _Kind(
                runs=_Spread(weight=figures[0], mean=figures[1], variance=figures[2]),
                errors=_Spread(weight=figures[3], mean=figures[4], variance=figures[5]),
            )

    def learn(self, *, queue: str, image: str, estimate_s: float, run_s: float) -> None:
        """Take in the run time of a task that was done, seconds."""
        for key in {(queue, image), (queue, "")}:
            kind = self._kinds.setdefault(key, _Kind())
            run = math.log(max(run_s, SHORTEST_S))
            kind.runs.add(run)
            if estimate_s > 0:
                kind.errors.add(math.log(max(estimate_s, SHORTEST_S)) - run)

    def expected_s(self, *, queue: str, image: str, estimate_s: float) -> float:
        """Give the expected run time of a task, seconds; 0 where nothing is known."""
        kind = self._kinds.get((queue, image)) or self._kinds.get((queue, ""))
        if kind is None or not kind.runs.weight:
            return estimate_s
        if estimate_s <= 0:
            return math.exp(kind.runs.mean)
        certainty = 1.0 / max(kind.runs.shrunk(PRIOR_RUN_VARIANCE), SHORTEST_S)
        trust = 1.0 / max(kind.errors.shrunk(PRIOR_ERROR_VARIANCE), SHORTEST_S)
        certainty *= kind.runs.weight / (kind.runs.weight + PRIOR_SAMPLES)
        stated = math.log(max(estimate_s, SHORTEST_S)) - kind.errors.mean
        return math.exp((certainty * kind.runs.mean + trust * stated) / (certainty + trust))
