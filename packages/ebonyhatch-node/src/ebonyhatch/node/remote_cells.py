"""Port through which a cell sees the other cells and asks them to accept jobs."""

from __future__ import annotations

import abc

from ebonyhatch.core import resources
from ebonyhatch.node import messages


class RemoteCells(abc.ABC):
    """The other cells, as a cell sees them."""

    @abc.abstractmethod
    def could_hold(self, *, demand: resources.Resources) -> bool:
        """Returns whether a worker of some other cell may be large enough."""

    @abc.abstractmethod
    def choose_cell(self, *, origin: str, demand: resources.Resources) -> str:
        """Returns a cell other than `origin` with capacity for a job; empty when none is known."""

    @abc.abstractmethod
    async def call(
        self, *, message: messages.TransferCall | messages.ReleaseCall
    ) -> messages.TransferReply:
        """Sends a message to the owner of the cell that it names, and returns the reply."""


class NoRemoteCells(RemoteCells):
    """The port of a cell that has no other cells."""

    def could_hold(self, *, demand: resources.Resources) -> bool:
        """Returns False."""
        return False

    def choose_cell(self, *, origin: str, demand: resources.Resources) -> str:
        """Returns an empty name."""
        return ""

    async def call(
        self, *, message: messages.TransferCall | messages.ReleaseCall
    ) -> messages.TransferReply:
        """Returns a refusal."""
        return messages.TransferReply(done=False, reason="no other cell")


NO_REMOTE_CELLS = NoRemoteCells()
