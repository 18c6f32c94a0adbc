"""Cells that this entry acts for, kept in step with the ownership record."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ebonyhatch.node import ownership_record
from twisted.internet import defer


class CellClaims:
    """Calls `on_gain` and `on_loss` in order: a cell is gained only after its loss is complete."""

    def __init__(
        self,
        *,
        on_gain: Callable[[str, int], None],
        on_loss: Callable[[str], defer.Deferred[None]],
    ) -> None:
        self._on_gain = on_gain
        self._on_loss = on_loss
        self._epochs: dict[str, int] = {}
        self._released: dict[str, int] = {}
        self._losing: dict[str, defer.Deferred[None]] = {}
        self._assigned: dict[str, int] = {}
        self._closed = False

    @property
    def epochs(self) -> Mapping[str, int]:
        """Epochs of the cells that this entry acts for."""
        return self._epochs

    def apply_record(
        self,
        record: ownership_record.Record,
        *,
        member: ownership_record.Member,
    ) -> None:
        """Loses cells that the record assigns to others, then gains those of this process."""
        present = record.members.get(member.entry_id)
        is_member = present is not None and present.incarnation == member.incarnation
        self._assigned = {
            cell: owner.epoch
            for cell, owner in record.cells.items()
            if is_member and owner.entry_id == member.entry_id
        }
        for cell, epoch in list(self._epochs.items()):
            if self._assigned.get(cell) != epoch:
                self._lose(cell)
        for cell in self._assigned:
            self._gain(cell)

    def stop_superseded(self, record: ownership_record.Record, *, entry_id: str) -> None:
        """Loses cells for which a newer epoch is known; gains none."""
        for cell, epoch in list(self._epochs.items()):
            owner = record.cells.get(cell)
            if owner is not None and owner.epoch > epoch:
                self._lose(cell)

    def release(self, cell: str) -> defer.Deferred[None]:
        """Stops acting for a cell before it is handed over; fires once that is complete."""
        if cell not in self._epochs:
            return defer.succeed(None)
        return self._lose(cell)

    def release_all(self) -> defer.Deferred[list[tuple[bool, None]]]:
        """Stops acting for all cells and gains no more; fires once that is complete."""
        self._closed = True
        return defer.DeferredList([self._lose(cell) for cell in list(self._epochs)])

    def _lose(self, cell: str) -> defer.Deferred[None]:
        self._released[cell] = self._epochs.pop(cell)
        done: defer.Deferred[None] = defer.Deferred()
        losing = self._on_loss(cell)
        self._losing[cell] = losing
        losing.addBoth(self._complete_loss, cell, done)
        return done

    def _complete_loss(self, _: object, cell: str, done: defer.Deferred[None]) -> None:
        self._losing.pop(cell, None)
        done.callback(None)
        self._gain(cell)

    def _gain(self, cell: str) -> None:
        epoch = self._assigned.get(cell)
        if self._closed or epoch is None or cell in self._losing or cell in self._epochs:
            return
        if epoch > self._released.get(cell, 0):
            self._epochs[cell] = epoch
            self._on_gain(cell, epoch)
