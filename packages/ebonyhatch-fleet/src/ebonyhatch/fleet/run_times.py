"""Expected run times, learned by queue and image from callers' estimates and measured run times."""

from __future__ import annotations

import dataclasses
import math

PRIOR_SAMPLES = 4.0
"""Weight of the prior in samples; a few finished tasks outweigh it."""

PRIOR_RUN_VARIANCE = 0.25
"""Variance of the logarithm of run times before the first sample."""

PRIOR_ERROR_VARIANCE = 0.5
"""Variance of the logarithm of estimate over run time before the first sample."""

MAX_HISTORY_SAMPLES = 200.0
"""Largest weight of the history in samples, so that older samples decay."""

MAX_TASK_KINDS = 2_000
"""Largest number of queues and images with a history; those that were not used for longest go first."""

MIN_DURATION_S = 0.001
"""Run times and estimates below this are treated as this, seconds; also the least variance of a
logarithm."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _DecayingMoments:
    """Exponentially decaying mean and variance."""

    weight: float = 0.0
    mean: float = 0.0
    variance: float = 0.0

    def add(self, value: float) -> None:
        self.weight = min(self.weight + 1.0, MAX_HISTORY_SAMPLES)
        fraction = 1.0 / self.weight
        delta = value - self.mean
        self.mean += fraction * delta
        self.variance += fraction * (delta * (value - self.mean) - self.variance)

    def shrunk_variance(self, prior: float) -> float:
        """Returns the variance, shrunk towards a prior while there are few samples."""
        return (PRIOR_SAMPLES * prior + self.weight * self.variance) / (PRIOR_SAMPLES + self.weight)


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _TaskKind:
    """Logarithms of run times and of estimate errors of one queue and image."""

    runs: _DecayingMoments = dataclasses.field(default_factory=_DecayingMoments)
    errors: _DecayingMoments = dataclasses.field(default_factory=_DecayingMoments)


Row = tuple[str, str, float, float, float, float, float, float]
"""Queue, image, then weight, mean and variance of run times and of estimate errors."""


class RunTimes:
    """Combines a caller's estimate with the history of queue and image, weighted by certainty."""

    def __init__(self) -> None:
        self._task_kinds: dict[tuple[str, str], _TaskKind] = {}

    def to_rows(self) -> tuple[Row, ...]:
        """Returns the whole history, from the queue and image that were used last on."""
        return tuple(
            (
                queue,
                image,
                *(kind.runs.weight, kind.runs.mean, kind.runs.variance),
                *(kind.errors.weight, kind.errors.mean, kind.errors.variance),
            )
            for (queue, image), kind in reversed(self._task_kinds.items())
        )

    def restore(self, learned: tuple[Row, ...]) -> None:
        """Loads an earlier history, in the order of `to_rows`."""
        for queue, image, *moments in reversed(learned):
            self._task_kinds[(queue, image)] = _TaskKind(
                runs=_DecayingMoments(weight=moments[0], mean=moments[1], variance=moments[2]),
                errors=_DecayingMoments(weight=moments[3], mean=moments[4], variance=moments[5]),
            )
        self._forget_unused()

    def learn(self, *, queue: str, image: str, estimate_s: float, run_s: float) -> None:
        """Adds the run time of a task that was done, seconds."""
        run = math.log(max(run_s, MIN_DURATION_S))
        error = math.log(max(estimate_s, MIN_DURATION_S)) - run
        for key in dict.fromkeys([(queue, image), (queue, "")]):
            kind = self._task_kinds.pop(key, None) or _TaskKind()
            self._task_kinds[key] = kind
            kind.runs.add(run)
            if estimate_s > 0:
                kind.errors.add(error)
        self._forget_unused()

    def _forget_unused(self) -> None:
        while len(self._task_kinds) > MAX_TASK_KINDS:
            del self._task_kinds[next(iter(self._task_kinds))]

    def expected_s(self, *, queue: str, image: str, estimate_s: float) -> float:
        """Returns the expected run time of a task, seconds; 0 if nothing is known."""
        kind = self._task_kinds.get((queue, image)) or self._task_kinds.get((queue, ""))
        if kind is None or not kind.runs.weight:
            return estimate_s
        if estimate_s <= 0:
            return math.exp(kind.runs.mean)
        history_certainty = 1.0 / max(kind.runs.shrunk_variance(PRIOR_RUN_VARIANCE), MIN_DURATION_S)
        estimate_certainty = 1.0 / max(
            kind.errors.shrunk_variance(PRIOR_ERROR_VARIANCE), MIN_DURATION_S
        )
        history_certainty *= kind.runs.weight / (kind.runs.weight + PRIOR_SAMPLES)
        corrected_estimate = math.log(max(estimate_s, MIN_DURATION_S)) - kind.errors.mean
        return math.exp(
            (history_certainty * kind.runs.mean + estimate_certainty * corrected_estimate)
            / (history_certainty + estimate_certainty)
        )

    def sigma(self, *, queue: str, image: str, estimated: bool) -> float:
        """Returns the standard deviation of the logarithm of a run time around `expected_s`.

        Args:
            queue: Name of the queue.
            image: Image of the task.
            estimated: Whether the caller gave an estimate.
        """
        kind = self._task_kinds.get((queue, image)) or self._task_kinds.get((queue, ""))
        if kind is None or not kind.runs.weight:
            return math.sqrt(PRIOR_ERROR_VARIANCE)
        run_variance = max(kind.runs.shrunk_variance(PRIOR_RUN_VARIANCE), MIN_DURATION_S)
        if not estimated:
            return math.sqrt(run_variance)
        error_variance = max(kind.errors.shrunk_variance(PRIOR_ERROR_VARIANCE), MIN_DURATION_S)
        history_weight = kind.runs.weight / (kind.runs.weight + PRIOR_SAMPLES)
        return 1.0 / math.sqrt(history_weight / run_variance + 1.0 / error_variance)
