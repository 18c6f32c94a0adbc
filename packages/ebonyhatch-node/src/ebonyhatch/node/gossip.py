"""Gossip between entries: free capacity, configuration generation and ownership version.

It is sent once a second.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

import msgspec
from ebonyhatch.node import messages
from twisted.internet import task

PERIOD_S = 1.0
FAR_FANOUT = 2
"""Number of far peers sent to in one period.

Their order is random; each far peer is sent to once before any is sent to again.
"""

Listener = Callable[[str, int], None]
"""Receives the id of the entry that has a newer state, and its generation or version."""


class Network(Protocol):
    """The part of the peer network that gossip uses."""

    def send(self, *, entry_id: str, message: messages.Message) -> bool:
        """Sends a message that has no reply; returns False when it was dropped."""

    def handle(self, message_type: type[messages.Message], handler: Any) -> None:
        """Registers the handler of messages of a type."""


class ReceivedGossip(msgspec.Struct, frozen=True, kw_only=True):
    """The newest gossip of a peer and its time of arrival, seconds on the reactor's clock."""

    gossip: messages.Gossip
    at: float


class PeerCapacity(msgspec.Struct, frozen=True, kw_only=True):
    """Free capacity of one cell at a peer, `age_s` seconds after the report was received."""

    entry_id: str
    cell_room: messages.CellRoom
    age_s: float


class Gossiper:
    """Sends this entry's state to its peers and keeps the newest state that each reports.

    Near peers, those of the same region, receive the whole state once a period. Far peers
    receive only the generation and the ownership version, a few peers in each period, so that
    traffic grows with the size of the region and not with that of the fleet.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        network: Network,
        report: Callable[[], messages.Gossip],
        seed: int = 1,
        period_s: float = PERIOD_S,
    ) -> None:
        """Initializes the gossiper; nothing is sent before `start`.

        Args:
            reactor: Clock and timers.
            network: Network over which gossip is sent and received.
            report: Returns the current state of this entry.
            seed: Seed of the order in which far peers are sent to.
            period_s: Time between two rounds to near peers, seconds.
        """
        self._reactor = reactor
        self._network = network
        self._report = report
        self._random = random.Random(seed)
        self._near: tuple[str, ...] = ()
        self._far: tuple[str, ...] = ()
        self._far_remaining: list[str] = []
        self._received: dict[str, ReceivedGossip] = {}
        self._generation_listeners: list[Listener] = []
        self._ownership_listeners: list[Listener] = []
        self._period_s = period_s
        self._rounds = task.LoopingCall(self.send_round)
        self._rounds.clock = reactor
        network.handle(messages.Gossip, self.receive)

    def start(self) -> None:
        """Starts the periodic rounds."""
        self._rounds.start(self._period_s, now=False)

    def close(self) -> None:
        """Stops the periodic rounds."""
        if self._rounds.running:
            self._rounds.stop()

    def set_peers(self, *, near: tuple[str, ...], far: tuple[str, ...] = ()) -> None:
        """Replaces the peers that gossip is sent to, and discards the gossip of all others."""
        self._near = near
        self._far = far
        self._far_remaining = []
        current = {*near, *far}
        self._received = {
            name: received for name, received in self._received.items() if name in current
        }

    def on_generation(self, listener: Listener) -> None:
        """Adds a listener for peers whose generation is newer than this entry's."""
        self._generation_listeners.append(listener)

    def on_ownership(self, listener: Listener) -> None:
        """Adds a listener for peers whose ownership version is newer than this entry's."""
        self._ownership_listeners.append(listener)

    def send_round(self) -> None:
        """Sends the state to all near peers, and without free capacity to a few far ones."""
        gossip = self._report()
        for entry_id in self._near:
            self._network.send(entry_id=entry_id, message=gossip)
        without_rooms = msgspec.structs.replace(gossip, rooms=())
        for entry_id in self._next_far():
            self._network.send(entry_id=entry_id, message=without_rooms)

    def receive(self, sender: str, gossip: messages.Gossip) -> None:
        """Stores a peer's gossip; ignores that of unknown peers or about another entry."""
        if gossip.entry_id != sender or sender not in (*self._near, *self._far):
            return
        self._received[sender] = ReceivedGossip(gossip=gossip, at=self._reactor.seconds())
        own = self._report()
        if gossip.generation > own.generation:
            for listener in self._generation_listeners:
                listener(sender, gossip.generation)
        if gossip.ownership_version > own.ownership_version:
            for listener in self._ownership_listeners:
                listener(sender, gossip.ownership_version)

    def newest(self, entry_id: str) -> ReceivedGossip | None:
        """Returns the newest gossip of a peer, or None."""
        return self._received.get(entry_id)

    def age_s(self, entry_id: str) -> float | None:
        """Returns the age of the newest gossip of a peer in seconds, or None."""
        received = self._received.get(entry_id)
        return None if received is None else self._reactor.seconds() - received.at

    def generations(self) -> dict[str, int]:
        """Returns the generation in force at each peer whose gossip was received."""
        return {name: received.gossip.generation for name, received in self._received.items()}

    def cell_capacities(self) -> tuple[PeerCapacity, ...]:
        """Returns the free capacity of each cell of the peers that are not draining."""
        now = self._reactor.seconds()
        return tuple(
            PeerCapacity(entry_id=name, cell_room=cell_room, age_s=now - received.at)
            for name, received in self._received.items()
            if not received.gossip.draining
            for cell_room in received.gossip.rooms
        )

    def _next_far(self) -> list[str]:
        if not self._far_remaining:
            self._far_remaining = self._random.sample(self._far, len(self._far))
        chosen, self._far_remaining = (
            self._far_remaining[:FAR_FANOUT],
            self._far_remaining[FAR_FANOUT:],
        )
        return chosen
