"""Port of the fleet to the network between entries."""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol

from ebonyhatch.node import messages
from ebonyhatch.node import peers as peers_


class Network(Protocol):
    """What the fleet uses of `node.peers.PeerNetwork`, whose methods these are."""

    @property
    def peers(self) -> tuple[peers_.PeerAddress, ...]:
        """Addresses of the peers."""

    @property
    def connections(self) -> int:
        """Number of open connections to peers."""

    def start(self) -> None:
        """Listens for peers."""

    def close(self) -> None:
        """Ends all calls with an unknown outcome and closes all connections."""

    def set_peers(
        self, *, peers: tuple[peers_.PeerAddress, ...], linked: Collection[str] | None = None
    ) -> None:
        """Exchanges messages with exactly these peers, and keeps connections to those in `linked`."""

    def handle(self, message_type: type[messages.Message], handler: peers_.Handler) -> None:
        """Registers the handler of messages of a type."""

    def call(
        self, *, entry_id: str, message: messages.Message, timeout_s: float
    ) -> peers_.CallOutcome:
        """Sends a message and awaits the reply."""

    def send(self, *, entry_id: str, message: messages.Message) -> bool:
        """Sends a message that has no reply; returns False when it was dropped."""
