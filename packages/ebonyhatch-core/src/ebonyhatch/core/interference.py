"""Model of how much batch classes slow requests down, by pair and band of processor load."""

from __future__ import annotations

import random

from ebonyhatch.core import linear

LOAD_BANDS = (0.6, 0.8)
"""Loads at which a higher band begins."""

DECAY = 0.98
"""Share of the evidence that is kept each second."""

PRIOR_SAMPLES = 200.0
"""Answers that the prior, no interference, is worth."""

CLIP = 8.0
"""Answers slower than so many means count as that."""

MODES = ("pairs", "blind", "shuffled")
Composition = tuple[tuple[str, float], ...]
"""Sharers of a worker: name of a batch class, and how many at full speed."""


def band_of(load: float) -> int:
    """Band of a processor load."""
    return sum(load >= limit for limit in LOAD_BANDS)


class Interference:
    """Least squares on service times over the sharers at the time of each sample."""

    __slots__ = ("_sums", "_slowdowns", "_mode", "_source", "_seen")

    def __init__(self, *, mode: str, seed: int) -> None:
        self._sums: dict[str, linear.NormalEquations] = {}
        self._slowdowns: dict[str, tuple[float, ...]] = {}
        self._mode = mode
        self._source = random.Random(seed)
        self._seen: list[Composition] = []

    def learn(
        self, *, urgent: str, sharers: Composition, load: float, answers: int, mean_s: float
    ) -> None:
        """Take in answers of one urgent class that had the same sharers."""
        if self._mode == "blind":
            return
        if self._mode == "shuffled":
            sharers = self._any_seen(sharers)
        sums = self._sums.setdefault(urgent, linear.NormalEquations())
        if sums.weight:
            mean_s = min(mean_s, CLIP * sums.mean)
        features = {"": 1.0}
        for name, count in sharers:
            for band in range(band_of(load) + 1):
                features[f"{band}{name}"] = count
        sums.add(features=features, value=mean_s, weight=float(answers))

    def fit(self) -> None:
        """Work out the slowdowns anew; called once a second."""
        found: dict[str, list[float]] = {}
        for sums in self._sums.values():
            sums.decay(DECAY)
            solution = sums.solve(ridge=PRIOR_SAMPLES)
            base = solution.get("", 0.0)
            if base <= 0.0:
                continue
            for feature, value in solution.items():
                if feature:
                    bands = found.setdefault(feature[1:], [0.0] * (len(LOAD_BANDS) + 1))
                    band = int(feature[0])
                    bands[band] = max(bands[band], value / base)
        self._slowdowns = {name: _cumulative(bands) for name, bands in found.items()}

    def slowdown(self, batch: str, *, load: float) -> float:
        """Predicted extra service time for each sharer of a batch class, as a share."""
        bands = self._slowdowns.get(batch)
        return bands[band_of(load)] if bands is not None else 0.0

    def harmful(self, batch: str, *, limit: float) -> bool:
        """Tell whether a class slows requests by more than `limit` at an ordinary load."""
        bands = self._slowdowns.get(batch)
        return bands is not None and bands[0] > limit

    def _any_seen(self, sharers: Composition) -> Composition:
        self._seen.append(sharers)
        if len(self._seen) > 1000:
            del self._seen[:500]
        return self._source.choice(self._seen)


def _cumulative(bands: list[float]) -> tuple[float, ...]:
    total = 0.0
    found = []
    for value in bands:
        total = max(0.0, total + value)
        found.append(total)
    return tuple(found)
