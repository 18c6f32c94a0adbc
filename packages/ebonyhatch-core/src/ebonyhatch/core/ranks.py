"""Orders in which workers are tried for a request."""

from __future__ import annotations

import collections
import random
from collections.abc import Callable, Iterator

from ebonyhatch.core import rows, worker_index

Rank = Callable[["Observations", worker_index.WorkerIndex], Iterator[rows.Worker]]
_RANKS: dict[str, Rank] = {}
WEIGHT = 0.05


def rank(name: str) -> Callable[[Rank], Rank]:
    """Register an order under a name."""

    def register(function: Rank) -> Rank:
        _RANKS[name] = function
        return function

    return register


def find(name: str) -> Rank:
    """Find a registered order."""
    return _RANKS[name]


class Observations:
    """Mean waiting and idle times by worker."""

    __slots__ = ("source", "waits", "idles", "_freed")

    def __init__(self, *, seed: int) -> None:
        self.source = random.Random(seed)
        self.waits: dict[str, float] = {}
        self.idles: dict[str, float] = {}
        self._freed: dict[str, collections.deque[float]] = {}

    def sent(self, worker: rows.Worker, *, now: float) -> None:
        """Note that a free slot is taken."""
        freed = self._freed.get(worker.worker_id)
        if freed:
            _blend(self.idles, worker.worker_id, now - freed.popleft())

    def answered(self, worker: rows.Worker, *, now: float, wait_s: float) -> None:
        """Note that a slot is freed, and how long its request waited and was slowed."""
        self._freed.setdefault(worker.worker_id, collections.deque(maxlen=64)).append(now)
        _blend(self.waits, worker.worker_id, max(0.0, wait_s))


def _blend(means: dict[str, float], key: str, value: float) -> None:
    former = means.get(key, value)
    means[key] = former + WEIGHT * (value - former)


@rank("penalty")
def _penalty(seen: Observations, index: worker_index.WorkerIndex) -> Iterator[rows.Worker]:
    return index.best()


@rank("least-reserved")
def _least(seen: Observations, index: worker_index.WorkerIndex) -> Iterator[rows.Worker]:
    return iter(sorted(index.best(), key=lambda worker: -worker.free_slots))


@rank("two-choices")
def _two(seen: Observations, index: worker_index.WorkerIndex) -> Iterator[rows.Worker]:
    workers = list(index.best())
    seen.source.shuffle(workers)
    pair = sorted(workers[:2], key=lambda worker: -worker.free_slots)
    return iter([*pair, *workers[2:]])


@rank("wait-idle")
def _ratio(seen: Observations, index: worker_index.WorkerIndex) -> Iterator[rows.Worker]:
    def load(worker: rows.Worker) -> float:
        idle_s = seen.idles.get(worker.worker_id, 1.0)
        return seen.waits.get(worker.worker_id, 0.0) / max(idle_s, 1e-6)

    return iter(sorted(index.best(), key=load))


@rank("availability")
def _availability(seen: Observations, index: worker_index.WorkerIndex) -> Iterator[rows.Worker]:
    def load(worker: rows.Worker) -> float:
        idle_s = seen.idles.get(worker.worker_id, 1.0)
        return seen.waits.get(worker.worker_id, 0.0) - idle_s

    return iter(sorted(index.best(), key=load))
