"""The cells of other entries in a run, as the cells of one entry reach them."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from ebonyhatch.core import resources
from ebonyhatch.node import cell, cell_status, messages, remote_cells
from ebonyhatch.testing.histories import callers
from twisted.internet import defer

CALL_TIMEOUT_S = 6.0
"""Maximum wait for the reply of another entry, seconds."""


class SimulatedCells(remote_cells.RemoteCells):
    """Reads the free capacity of all cells whose owners are reachable, and calls those owners."""

    def __init__(self, *, entry_id: str, between: callers.Callers) -> None:
        self._entry_id = entry_id
        self._between = between

    def could_hold(self, *, demand: resources.Resources) -> bool:
        """Returns whether the largest worker of any reachable cell could hold the demand."""
        return any(demand.fits(summary.largest.amount) for summary in self._capacities())

    def choose_cell(self, *, origin: str, demand: resources.Resources) -> str:
        """Returns the other cell with the most spare slots; empty if none has enough."""
        spare = {
            summary.cell: summary.room.free_slots - summary.room.queued_batch
            for summary in self._capacities()
            if summary.cell != origin and demand.fits(summary.largest.amount)
        }
        best = max(spare, key=lambda name: spare[name], default="")
        return best if best and spare[best] >= demand.slots else ""

    async def call(
        self, *, message: messages.TransferCall | messages.ReleaseCall
    ) -> messages.TransferReply:
        """Sends a message to the owner of the cell that it names."""
        origin = self._between.entries[self._entry_id]
        owner = self._between.entries.get(origin.owner_of(message.cell))
        if owner is None or owner.clock.dead or self._between.is_cut(origin, owner):
            return messages.TransferReply(done=False, reason="peer-unreachable")
        reply: defer.Deferred[messages.TransferReply] = defer.Deferred()
        lost = messages.TransferReply(done=False, certain=False, reason="peer-lost")

        def resolve(value: messages.TransferReply) -> None:
            if not reply.called:
                reply.callback(value)

        def deliver_reply(value: messages.TransferReply) -> None:
            if not self._between.is_cut(origin, owner):
                origin.clock.run(lambda: resolve(value))

        def arrive() -> None:
            _handle(owner.cells.get(message.cell), message).addCallback(deliver_reply)

        origin.clock.callLater(CALL_TIMEOUT_S, resolve, lost)
        origin.clock.callLater(callers.HOP_S, owner.clock.run, arrive)
        return await reply

    def _capacities(self) -> Iterator[messages.CellRoom]:
        origin = self._between.entries[self._entry_id]
        for other in self._between.entries.values():
            if other.clock.running and not self._between.is_cut(origin, other):
                for owned in other.cells.values():
                    if owned.status().state is cell_status.CellPhase.ACTIVE:
                        yield owned.room()


def _handle(owned: cell.Cell | None, message: Any) -> defer.Deferred[messages.TransferReply]:
    if owned is None:
        return defer.succeed(messages.TransferReply(done=False, reason="not-owner"))
    return owned.transfer(call=message)
