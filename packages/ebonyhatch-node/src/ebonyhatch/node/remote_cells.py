"""What a cell knows of the other cells, and how it asks them to take jobs."""

from __future__ import annotations

import abc

from ebonyhatch.core import resources
from ebonyhatch.node import messages


class RemoteCells(abc.ABC):
    """The other cells, as a cell sees them."""

    @abc.abstractmethod
    def could_hold(self, *, demand: resources.Resources) -> bool:
        """Tell whether a worker of some other cell may be large enough."""

    @abc.abstractmethod
    def choose_cell(self, *, origin: str, demand: resources.Resources) -> str:
        """Name a cell other than `origin` with room for a job; empty when none is known."""

    @abc.abstractmethod
    async def call(
        self, *, message: messages.TransferCall | messages.ReleaseCall
    ) -> messages.TransferReply:
        """Ask the owner of the cell that a message names."""


class NoRemoteCells(RemoteCells):
    """Knows no other cell."""

    def could_hold(self, *, demand: resources.Resources) -> bool:
        """No other cell."""
        return False

    def choose_cell(self, *, origin: str, demand: resources.Resources) -> str:
        """No other cell."""
        return ""

    async def call(
        self, *, message: messages.TransferCall | messages.ReleaseCall
    ) -> messages.TransferReply:
        """No other cell."""
        return messages.TransferReply(done=False, reason="no other cell")


NO_REMOTE_CELLS = NoRemoteCells()
