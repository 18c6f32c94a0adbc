"""Chooses a cell for a request: an own cell with free capacity, otherwise a peer's cell."""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping, Sequence

from ebonyhatch.core import scheduler
from ebonyhatch.node import cell, forwarding, messages, routing
from ebonyhatch.ports import timing


class RouteChoice(routing.Chooser):
    """Prefers own cells with free capacity, then peers' cells by their capacity summaries."""

    def __init__(
        self,
        *,
        entry_id: str,
        own_cells: Mapping[str, cell.Cell],
        placements: routing.Placements,
        clock: timing.Clock,
        generator: random.Random,
    ) -> None:
        self._entry_id = entry_id
        self._own_cells = own_cells
        self._placements = placements
        self._clock = clock
        self._generator = generator
        self._forwarding = forwarding.Forwarding(generator=generator)

    def choose(self, *, service: str, tried: Collection[str]) -> forwarding.Target | None:
        """Returns an untried cell that hosts a service, or None."""
        serving = [name for name in self._placements.serving(service=service) if name not in tried]
        own = self._freest_own_cell(serving)
        own_capacity = self._own_cells[own].room().room if own else None
        target = self._forwarding.choose(
            now=self._clock.seconds(), own=own_capacity, among=self._peer_targets(serving)
        )
        if target is not None:
            return target
        if own:
            return forwarding.Target(entry_id=self._entry_id, cell=own)
        return self._random_owned(serving)

    def record_sent(self, *, target: forwarding.Target) -> None:
        """Records that a request was sent to a cell."""
        self._forwarding.record_sent(target=target)

    def record_ended(self, *, target: forwarding.Target, sent_at: float) -> None:
        """Records that a request sent to a cell has ended."""
        self._forwarding.record_ended(target=target, sent_at=sent_at)

    def update_capacity(self, *, entry_id: str, room: messages.CellRoom) -> None:
        """Records the capacity summary of a peer's cell; summaries of own cells are ignored."""
        if entry_id == self._entry_id:
            return
        target = forwarding.Target(entry_id=entry_id, cell=room.cell)
        self._forwarding.update(target=target, room=room.room, reported_at=self._clock.seconds())

    def discard_stale(self) -> None:
        """Discards summaries of cells whose owner has changed."""
        self._forwarding.retain(targets=self._owned_targets())

    def _freest_own_cell(self, serving: Sequence[str]) -> str:
        own = [name for name in serving if name in self._own_cells]
        return max(
            own,
            key=lambda name: _estimated_free_slots(self._own_cells[name].room().room),
            default="",
        )

    def _peer_targets(self, serving: Sequence[str]) -> set[forwarding.Target]:
        """Pairs cells with their current owners, which excludes summaries of older owners."""
        allowed = set(serving)
        return {
            target
            for target in self._owned_targets()
            if target.cell in allowed and target.entry_id != self._entry_id
        }

    def _owned_targets(self) -> set[forwarding.Target]:
        return {
            forwarding.Target(entry_id=self._placements.owner_of(name=name), cell=name)
            for name in self._placements.cells()
        }

    def _random_owned(self, serving: Sequence[str]) -> forwarding.Target | None:
        """Chooses from the ownership record when no summary is available."""
        owned = [name for name in serving if self._placements.owner_of(name=name)]
        if not owned:
            return None
        name = self._generator.choice(owned)
        return forwarding.Target(entry_id=self._placements.owner_of(name=name), cell=name)


def _estimated_free_slots(capacity: scheduler.CapacitySummary) -> int:
    return capacity.free_slots - capacity.queued_urgent
