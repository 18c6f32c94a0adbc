"""Cells that this entry knows: its own, and those that peers report by gossip."""

from __future__ import annotations

import collections
from collections.abc import Iterator, Mapping

from ebonyhatch.core import resources
from ebonyhatch.node import cell, gossip, messages, peers, remote_cells, routing
from ebonyhatch.ports import timing
from returns import result

CALL_TIMEOUT_S = 6.0
"""Maximum wait for a peer's reply about a transfer, seconds; longer than a journal write."""

MAX_SUMMARY_AGE_S = 4.0
"""Maximum age of a peer's summary that is still used, seconds."""

DEBIT_S = 2.0
"""Time for which jobs sent to a cell are deducted from its free capacity, seconds.

The cell's own summary doesn't contain them yet.
"""


class PeerCells(remote_cells.RemoteCells):
    """Chooses the cell with the most free capacity and calls its owner."""

    def __init__(
        self,
        *,
        entry_id: str,
        own_cells: Mapping[str, cell.Cell],
        placements: routing.Placements,
        gossiper: gossip.Gossiper,
        network: peers.PeerNetwork,
        clock: timing.Clock,
    ) -> None:
        self._entry_id = entry_id
        self._own_cells = own_cells
        self._placements = placements
        self._gossiper = gossiper
        self._network = network
        self._clock = clock
        self._debits: collections.Counter[str] = collections.Counter()
        self._debits_until = 0.0

    def could_hold(self, *, demand: resources.Resources) -> bool:
        """Returns whether a worker of some known cell may be large enough."""
        return any(demand.fits(summary.largest.amount) for summary in self._summaries())

    def choose_cell(self, *, origin: str, demand: resources.Resources) -> str:
        """Returns the cell with the most free capacity that may hold a job; empty without one."""
        now = self._clock.seconds()
        if now >= self._debits_until:
            self._debits.clear()
            self._debits_until = now + DEBIT_S
        spare = {
            summary.cell: self._spare(summary)
            for summary in self._summaries()
            if summary.cell != origin and demand.fits(summary.largest.amount)
        }
        best = max(spare, key=lambda name: spare[name], default="")
        if not best or spare[best] < demand.slots:
            return ""
        self._debits[best] += demand.slots
        return best

    async def call(
        self, *, message: messages.TransferCall | messages.ReleaseCall
    ) -> messages.TransferReply:
        """Sends a message to the owner of the cell that it names, and returns the reply."""
        owner = self._placements.owner_of(name=message.cell)
        if owner == self._entry_id:
            return await self.handle(call=message)
        if not owner:
            return messages.TransferReply(done=False, reason="no-owner")
        outcome = await self._network.call(
            entry_id=owner, message=message, timeout_s=CALL_TIMEOUT_S
        )
        match outcome:
            case result.Success(messages.TransferReply() as reply):
                return reply
            case result.Failure(peers.PeerNotSentError()):
                return messages.TransferReply(done=False, reason="peer-unreachable")
        return messages.TransferReply(done=False, certain=False, reason="peer-lost")

    async def handle(
        self, *, call: messages.TransferCall | messages.ReleaseCall
    ) -> messages.TransferReply:
        """Handles a call in a cell of this entry."""
        owned = self._own_cells.get(call.cell)
        if owned is None:
            return messages.TransferReply(done=False, reason="not-owner")
        return await owned.transfer(call=call)

    def _summaries(self) -> Iterator[messages.CellRoom]:
        for owned in self._own_cells.values():
            yield owned.room()
        for reported in self._gossiper.cell_capacities():
            if reported.age_s <= MAX_SUMMARY_AGE_S:
                yield reported.cell_room

    def _spare(self, summary: messages.CellRoom) -> int:
        capacity = summary.room
        return (
            capacity.free_slots
            - capacity.queued_batch
            - capacity.queued_urgent
            - self._debits[summary.cell]
        )
