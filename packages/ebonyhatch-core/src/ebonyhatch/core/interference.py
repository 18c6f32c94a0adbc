"""Model of the slowdown of requests by batch classes, by class pair and processor load band."""

from __future__ import annotations

import random

from ebonyhatch.core import linear

LOAD_BANDS = (0.6, 0.8)
"""Processor loads, as fractions, at which the next higher band begins."""

DECAY_FACTOR = 0.98
"""Factor by which the weight of earlier samples is multiplied each second."""

PRIOR_SAMPLES = 200.0
"""Weight of the prior, which is no interference, in answered requests."""

MAX_RATIO_TO_MEAN = 8.0
"""Service times above this multiple of the mean are clipped to it."""

MODES = ("pairs", "blind", "shuffled")
"""Modes of the model: `pairs` learns, `blind` learns nothing, and `shuffled` assigns samples to
random earlier sets of batch classes."""

ColocatedClasses = tuple[tuple[str, float], ...]
"""Batch classes on a worker: name and number of tasks, weighted by their fraction of full speed."""


def load_band(load: float) -> int:
    """Returns the band of a processor load."""
    return sum(load >= limit for limit in LOAD_BANDS)


class Interference:
    """Least squares fit of service times over the batch classes that shared the worker."""

    __slots__ = ("_sums", "_slowdowns", "_mode", "_source", "_observed")

    def __init__(self, *, mode: str, seed: int) -> None:
        self._sums: dict[str, linear.NormalEquations] = {}
        self._slowdowns: dict[str, tuple[float, ...]] = {}
        self._mode = mode
        self._source = random.Random(seed)
        self._observed: list[ColocatedClasses] = []

    def learn(
        self,
        *,
        urgent: str,
        colocated_classes: ColocatedClasses,
        load: float,
        answers: int,
        mean_s: float,
    ) -> None:
        """Adds the service times of one urgent class that ran beside the same batch classes.

        Args:
            urgent: Name of the urgent class.
            colocated_classes: Batch classes on the worker while the requests ran.
            load: Processor load of the worker, as a fraction.
            answers: Number of requests.
            mean_s: Mean service time of the requests, seconds.
        """
        if self._mode == "blind":
            return
        if self._mode == "shuffled":
            colocated_classes = self._random_observed(colocated_classes)
        sums = self._sums.setdefault(urgent, linear.NormalEquations())
        if sums.weight:
            mean_s = min(mean_s, MAX_RATIO_TO_MEAN * sums.mean)
        features = {"": 1.0}
        for name, count in colocated_classes:
            for band in range(load_band(load) + 1):
                features[f"{band}{name}"] = count
        sums.add(features=features, value=mean_s, weight=float(answers))

    def fit(self) -> None:
        """Decays the samples and recomputes the slowdowns; called once a second."""
        bands_by_class: dict[str, list[float]] = {}
        for sums in self._sums.values():
            sums.decay(DECAY_FACTOR)
            solution = sums.solve(ridge=PRIOR_SAMPLES)
            baseline_s = solution.get("", 0.0)
            if baseline_s <= 0.0:
                continue
            for feature, value in solution.items():
                if feature:
                    bands = bands_by_class.setdefault(feature[1:], [0.0] * (len(LOAD_BANDS) + 1))
                    band = int(feature[0])
                    bands[band] = max(bands[band], value / baseline_s)
        self._slowdowns = {name: _cumulative(bands) for name, bands in bands_by_class.items()}

    def slowdown(self, batch: str, *, load: float) -> float:
        """Returns the predicted extra service time per task of a batch class, as a fraction.

        The fraction is of the mean service time without batch tasks.
        """
        bands = self._slowdowns.get(batch)
        return bands[load_band(load)] if bands is not None else 0.0

    def interferes(self, batch: str, *, limit: float) -> bool:
        """Returns whether a class slows requests by more than `limit` at an ordinary load.

        That is a load in the lowest band.
        """
        bands = self._slowdowns.get(batch)
        return bands is not None and bands[0] > limit

    def _random_observed(self, colocated_classes: ColocatedClasses) -> ColocatedClasses:
        self._observed.append(colocated_classes)
        if len(self._observed) > 1000:
            del self._observed[:500]
        return self._source.choice(self._observed)


def _cumulative(bands: list[float]) -> tuple[float, ...]:
    total = 0.0
    sums = []
    for value in bands:
        total = max(0.0, total + value)
        sums.append(total)
    return tuple(sums)
