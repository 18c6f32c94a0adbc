"""The choice of a cell for a request: at home while there is room, else at a peer."""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping, Sequence

from ebonyhatch.core import scheduler
from ebonyhatch.node import cell, forwarding, messages, routing
from ebonyhatch.ports import timing


class RouteChoice(routing.Chooser):
    """Prefers own cells with room, then peers' cells by their summaries."""

    def __init__(
        self,
        *,
        entry_id: str,
        own_cells: Mapping[str, cell.Cell],
        placements: routing.Placements,
        clock: timing.Clock,
        draw: random.Random,
    ) -> None:
        self._entry_id = entry_id
        self._own_cells = own_cells
        self._placements = placements
        self._clock = clock
        self._draw = draw
        self._forwarding = forwarding.Forwarding(draw=draw)

    def choose(self, *, service: str, tried: Collection[str]) -> forwarding.Target | None:
        """Choose a cell that hosts a service and was not tried."""
        serving = [name for name in self._placements.serving(service=service) if name not in tried]
        own = self._best_own(serving)
        own_room = self._own_cells[own].room().room if own else None
        target = self._forwarding.choose(
            now=self._clock.seconds(), own=own_room, among=self._at_peers(serving)
        )
        if target is not None:
            return target
        if own:
            return forwarding.Target(entry_id=self._entry_id, cell=own)
        return self._any_owned(serving)

    def sent(self, *, target: forwarding.Target) -> None:
        """Count a request as sent to a cell."""
        self._forwarding.sent(target=target)

    def ended(self, *, target: forwarding.Target, sent_at: float) -> None:
        """Count a request as ended at a cell."""
        self._forwarding.ended(target=target, sent_at=sent_at)

    def learn(self, *, entry_id: str, room: messages.CellRoom) -> None:
        """Take in the room of a peer's cell as it is now."""
        if entry_id == self._entry_id:
            return
        target = forwarding.Target(entry_id=entry_id, cell=room.cell)
        self._forwarding.tell(target=target, room=room.room, told_at=self._clock.seconds())

    def keep(self) -> None:
        """Forget summaries of cells that changed hands."""
        self._forwarding.keep(targets=self._owned_targets())

    def _best_own(self, serving: Sequence[str]) -> str:
        own = [name for name in serving if name in self._own_cells]
        return max(own, key=lambda name: _spare(self._own_cells[name].room().room), default="")

    def _at_peers(self, serving: Sequence[str]) -> set[forwarding.Target]:
        """Pair cells with their owners of now; summaries of earlier owners don't count."""
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

    def _any_owned(self, serving: Sequence[str]) -> forwarding.Target | None:
        """Fall back on the ownership record while no summary has come yet."""
        owned = [name for name in serving if self._placements.owner_of(name=name)]
        if not owned:
            return None
        name = self._draw.choice(owned)
        return forwarding.Target(entry_id=self._placements.owner_of(name=name), cell=name)


def _spare(room: scheduler.CapacitySummary) -> int:
    return room.free_slots - room.queued_urgent
