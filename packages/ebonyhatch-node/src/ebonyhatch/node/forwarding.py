"""Chooses a peer's cell for a request when the own cells have no free capacity."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Collection, Sequence

import msgspec
from ebonyhatch.core import scheduler

MAX_SUMMARY_AGE_S = 4.0
"""Maximum age of a capacity summary that is treated as valid, seconds."""

MIN_FORWARD_GAIN_S = 0.005
"""Minimum reduction in waiting time that justifies forwarding a request, seconds."""


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A cell at a peer."""

    entry_id: str
    cell: str


@dataclasses.dataclass(slots=True, kw_only=True)
class Summary:
    """Capacity of a cell at a peer.

    Attributes:
        capacity: Latest capacity summary of the cell.
        reported_at: Time at which the summary was reported, seconds.
        debit: Requests sent to the cell since the report, less those ended since.
    """

    capacity: scheduler.CapacitySummary
    reported_at: float
    debit: int = 0

    @property
    def free(self) -> int:
        """Estimated free slots; a negative value is a queue length."""
        return self.capacity.free_slots - self.capacity.queued_urgent - self.debit

    @property
    def wait_s(self) -> float:
        """Estimated wait, seconds: the reported one, increased by the requests sent since."""
        if self.free > 0:
            return 0.0
        debit_fraction = self.debit / max(1, self.capacity.total_slots)
        return self.capacity.wait_s * (1.0 + debit_fraction)


class Forwarding:
    """Chooses the better of two sampled cells by estimated free capacity.

    If every entry sent to the cell with the most reported capacity, that cell would be
    overloaded until its next summary. Sampling two cells, weighted by estimated free capacity,
    sends each cell about as many requests as it can serve, regardless of which entries send.
    """

    def __init__(self, *, generator: random.Random, max_age_s: float = MAX_SUMMARY_AGE_S) -> None:
        self._generator = generator
        self._max_age_s = max_age_s
        self._summaries: dict[Target, Summary] = {}

    def update(
        self, *, target: Target, room: scheduler.CapacitySummary, reported_at: float
    ) -> None:
        """Applies a summary from gossip or from a refusal, unless a newer one is known."""
        current = self._summaries.get(target)
        if current is None or reported_at >= current.reported_at:
            self._summaries[target] = Summary(capacity=room, reported_at=reported_at)

    def retain(self, *, targets: Collection[Target]) -> None:
        """Discards the summaries of all other cells."""
        self._summaries = {key: row for key, row in self._summaries.items() if key in targets}

    def record_sent(self, *, target: Target) -> None:
        """Debits a cell for a request that is sent to it."""
        summary = self._summaries.get(target)
        if summary is not None:
            summary.debit += 1

    def record_ended(self, *, target: Target, sent_at: float) -> None:
        """Credits a cell for an ended request that its summary does not reflect."""
        summary = self._summaries.get(target)
        if summary is not None and sent_at >= summary.reported_at and summary.debit > 0:
            summary.debit -= 1

    def choose(
        self,
        *,
        now: float,
        own: scheduler.CapacitySummary | None = None,
        tried: Collection[Target] = (),
        among: Collection[Target] | None = None,
    ) -> Target | None:
        """Chooses the cell to which a request is forwarded.

        Args:
            now: Seconds on the clock of `reported_at`.
            own: Capacity of the best own cell, or None if no own cell can serve the request.
            tried: Cells that have already refused the request.
            among: Candidate cells; None for all known cells.

        Returns:
            A cell with a better estimate than the own one, or None.
        """
        if own is not None and own.free_slots > own.queued_urgent:
            return None
        valid = [
            target
            for target, summary in self._summaries.items()
            if now - summary.reported_at <= self._max_age_s
            and target not in tried
            and (among is None or target in among)
        ]
        free = [target for target in valid if self._summaries[target].free > 0]
        if free:
            return self._best_of_two(free)
        return self._shorter_wait(valid, own)

    def _best_of_two(self, targets: Sequence[Target]) -> Target:
        weights = [self._summaries[target].free for target in targets]
        candidates = self._generator.choices(targets, weights=weights, k=2)
        return max(candidates, key=lambda target: self._summaries[target].free)

    def _shorter_wait(
        self, targets: Sequence[Target], own: scheduler.CapacitySummary | None
    ) -> Target | None:
        if not targets:
            return None
        candidates = self._generator.choices(targets, k=2)
        best = min(candidates, key=lambda target: self._summaries[target].wait_s)
        if own is not None and self._summaries[best].wait_s + MIN_FORWARD_GAIN_S >= own.wait_s:
            return None
        return best
