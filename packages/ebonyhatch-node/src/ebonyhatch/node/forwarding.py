"""The choice of the cell that is to serve a request, here or at a peer."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Iterable, Sequence

from ebonyhatch.core import scheduler
from ebonyhatch.node import messages

AGE_LIMIT_S = 4.0
"""Age at which a summary of room is not believed any more, seconds."""

HOP_S = 0.005
"""What a forward must gain in waiting time to be worth it, seconds."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Summary:
    """What is known of a cell at a peer.

    Attributes:
        epoch: Epoch of the cell's owner that told it.
        room: The newest summary.
        told_at: When it came.
        debit: Requests sent there since.
    """

    epoch: int
    room: scheduler.Room
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
        ahead = max(1, self.room.queued_urgent)
        return self.room.wait_s * (1.0 + self.debit / ahead)


class Chooser:
    """Prefers cells of this entry, else chooses between two drawn cells of peers.

    Entries that all send to the cell that looks emptiest overrun it until the next summary
    shows that it is full. Two cells are drawn instead, with chances that follow their
    estimated room, so that each is sent about what it can take whichever entries send.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        own_rooms: Callable[[], Iterable[messages.CellRoom]] = tuple,
        seed: int = 1,
        age_limit_s: float = AGE_LIMIT_S,
    ) -> None:
        """Prepare.

        Args:
            clock: Seconds on a monotonic clock.
            own_rooms: Gives the room of this entry's cells as it is now.
            seed: Seed of the draws.
            age_limit_s: Age at which a summary is not believed any more.
        """
        self._clock = clock
        self._own_rooms = own_rooms
        self._draw = random.Random(seed)
        self._age_limit_s = age_limit_s
        self._summaries: dict[str, Summary] = {}

    def learn(self, *, room: messages.CellRoom) -> None:
        """Take in a cell's room from gossip or from a reply; older epochs are ignored."""
        known = self._summaries.get(room.cell)
        if known is None or room.epoch >= known.epoch:
            self._summaries[room.cell] = Summary(
                epoch=room.epoch, room=room.room, told_at=self._clock()
            )

    def keep(self, *, names: Iterable[str]) -> None:
        """Forget all cells but these."""
        kept = set(names)
        self._summaries = {name: row for name, row in self._summaries.items() if name in kept}

    def choose(self, *, names: Sequence[str]) -> str:
        """Choose one of the cells that may serve a request, and debit it.

        Returns:
            A cell's name; empty when there is none to choose from.
        """
        own = {room.cell: room.room for room in self._own_rooms() if room.cell in names}
        chosen = self._choose(names, own)
        if chosen in self._summaries:
            self._summaries[chosen].debit += 1
        return chosen

    def _choose(self, names: Sequence[str], own: dict[str, scheduler.Room]) -> str:
        roomiest = max(own, key=lambda name: _free(own[name]), default="")
        if roomiest and _free(own[roomiest]) > 0:
            return roomiest
        believed = [name for name in names if name not in own and self._is_believed(name)]
        free = [name for name in believed if self._summaries[name].free > 0]
        if free:
            return self._roomier_of_two(free)
        if believed or own:
            return self._shorter_wait(believed, own)
        return self._draw.choice(names) if names else ""

    def _is_believed(self, name: str) -> bool:
        summary = self._summaries.get(name)
        return summary is not None and self._clock() - summary.told_at <= self._age_limit_s

    def _roomier_of_two(self, names: Sequence[str]) -> str:
        weights = [self._summaries[name].free for name in names]
        drawn = self._draw.choices(names, weights=weights, k=2)
        return max(drawn, key=lambda name: self._summaries[name].free)

    def _shorter_wait(self, believed: Sequence[str], own: dict[str, scheduler.Room]) -> str:
        home = min(own, key=lambda name: own[name].wait_s, default="")
        if not believed:
            return home
        drawn = self._draw.choices(believed, k=2)
        away = min(drawn, key=lambda name: self._summaries[name].wait_s)
        if home and own[home].wait_s <= self._summaries[away].wait_s + HOP_S:
            return home
        return away


def _free(room: scheduler.Room) -> int:
    return room.free_slots - room.queued_urgent
