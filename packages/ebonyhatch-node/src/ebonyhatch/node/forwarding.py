"""The choice of a peer's cell for a request that finds no room at home."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Collection, Sequence

import msgspec
from ebonyhatch.core import scheduler

AGE_LIMIT_S = 4.0
"""Age at which a summary of room is not believed any more, seconds."""

HOP_S = 0.005
"""What a forward must gain in waiting time to be worth it, seconds."""


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A cell at a peer."""

    entry_id: str
    cell: str


@dataclasses.dataclass(slots=True, kw_only=True)
class Summary:
    """What is known of a cell at a peer.

    Attributes:
        room: Its newest summary.
        told_at: When the summary was made.
        debit: Requests sent there since, less those answered since.
    """

    room: scheduler.CapacitySummary
    told_at: float
    debit: int = 0

    @property
    def free(self) -> int:
        """Estimated free slots; below zero is a queue."""
        return self.room.free_slots - self.room.queued_urgent - self.debit

    @property
    def wait_s(self) -> float:
        """Estimated wait: the told one, grown by what was sent since."""
        if self.free > 0:
            return 0.0
        share = self.debit / max(1, self.room.total_slots)
        return self.room.wait_s * (1.0 + share)


class Forwarding:
    """Chooses between two drawn cells by their estimated room.

    Entries that all send to the cell that looks emptiest overrun it until the next summary
    shows that it is full. Two cells are drawn instead, with chances that follow their
    estimated room, so that each cell is sent about what it can take whichever entries send.
    """

    def __init__(self, *, draw: random.Random, age_limit_s: float = AGE_LIMIT_S) -> None:
        self._draw = draw
        self._age_limit_s = age_limit_s
        self._summaries: dict[Target, Summary] = {}

    def tell(self, *, target: Target, room: scheduler.CapacitySummary, told_at: float) -> None:
        """Take in a summary, from gossip or from a refusal; an older one is ignored."""
        known = self._summaries.get(target)
        if known is None or told_at >= known.told_at:
            self._summaries[target] = Summary(room=room, told_at=told_at)

    def keep(self, *, targets: Collection[Target]) -> None:
        """Forget all cells but these."""
        self._summaries = {key: row for key, row in self._summaries.items() if key in targets}

    def sent(self, *, target: Target) -> None:
        """Debit a cell for a request that is sent there."""
        summary = self._summaries.get(target)
        if summary is not None:
            summary.debit += 1

    def ended(self, *, target: Target, sent_at: float) -> None:
        """Credit a cell for a request that ended and that its summary doesn't show."""
        summary = self._summaries.get(target)
        if summary is not None and sent_at >= summary.told_at and summary.debit > 0:
            summary.debit -= 1

    def choose(
        self,
        *,
        now: float,
        own: scheduler.CapacitySummary | None = None,
        tried: Collection[Target] = (),
        among: Collection[Target] | None = None,
    ) -> Target | None:
        """Choose where to send a request.

        Args:
            now: Seconds on the clock of `told_at`.
            own: Room at home, or None when this entry owns no cell that may serve it.
            tried: Cells that have refused it already.
            among: The only cells that come into question; None for all that are known.

        Returns:
            A cell that looks better than home, or None.
        """
        if own is not None and own.free_slots > own.queued_urgent:
            return None
        believed = [
            target
            for target, summary in self._summaries.items()
            if now - summary.told_at <= self._age_limit_s
            and target not in tried
            and (among is None or target in among)
        ]
        free = [target for target in believed if self._summaries[target].free > 0]
        if free:
            return self._best_of_two(free)
        return self._shorter_wait(believed, own)

    def _best_of_two(self, targets: Sequence[Target]) -> Target:
        weights = [self._summaries[target].free for target in targets]
        drawn = self._draw.choices(targets, weights=weights, k=2)
        return max(drawn, key=lambda target: self._summaries[target].free)

    def _shorter_wait(
        self, targets: Sequence[Target], own: scheduler.CapacitySummary | None
    ) -> Target | None:
        if not targets:
            return None
        drawn = self._draw.choices(targets, k=2)
        best = min(drawn, key=lambda target: self._summaries[target].wait_s)
        if own is not None and self._summaries[best].wait_s + HOP_S >= own.wait_s:
            return None
        return best
