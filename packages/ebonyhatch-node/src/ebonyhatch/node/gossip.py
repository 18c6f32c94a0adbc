"""Gossip between entries: room, generation and ownership version, once a second."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

import msgspec
from ebonyhatch.node import messages
from twisted.internet import task

PERIOD_S = 1.0
FAR_FANOUT = 2
"""Far peers told in one period, in drawn order; each is told once in a round."""

Listener = Callable[[str, int], None]
"""Takes the entry that knows something newer, and the generation or version that it knows."""


class Network(Protocol):
    """What gossip needs of the peer network."""

    def send(self, *, entry_id: str, message: messages.Message) -> bool:
        """Send a message that has no reply."""

    def handle(self, message_type: type[messages.Message], handler: Any) -> None:
        """Take messages of a type."""


class Heard(msgspec.Struct, frozen=True, kw_only=True):
    """The newest gossip of a peer and when it came, seconds on the reactor's clock."""

    gossip: messages.Gossip
    at: float


class PeerRoom(msgspec.Struct, frozen=True, kw_only=True):
    """Room of one cell at a peer, `age_s` seconds after it was told."""

    entry_id: str
    cell_room: messages.CellRoom
    age_s: float


class Gossiper:
    """Tells peers what this entry knows, and keeps the newest of what each tells.

    Near peers, those of the same region, are told everything once a period. Far peers are
    told only heads (generation and ownership version), a few in each period, so that traffic
    grows with the region and not with the fleet.
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
        """Prepare.

        Args:
            reactor: Clock and timers.
            network: Where gossip is sent and heard.
            report: Gives what this entry knows now.
            seed: Seed of the order in which far peers are told.
            period_s: Time between two rounds to near peers.
        """
        self._reactor = reactor
        self._network = network
        self._report = report
        self._draw = random.Random(seed)
        self._near: tuple[str, ...] = ()
        self._far: tuple[str, ...] = ()
        self._far_left: list[str] = []
        self._heard: dict[str, Heard] = {}
        self._generation_listeners: list[Listener] = []
        self._ownership_listeners: list[Listener] = []
        self._period_s = period_s
        self._rounds = task.LoopingCall(self.tell)
        self._rounds.clock = reactor
        network.handle(messages.Gossip, self.hear)

    def start(self) -> None:
        """Begin to tell."""
        self._rounds.start(self._period_s, now=False)

    def close(self) -> None:
        """Tell nothing more."""
        if self._rounds.running:
            self._rounds.stop()

    def set_peers(self, *, near: tuple[str, ...], far: tuple[str, ...] = ()) -> None:
        """Tell exactly these peers from now on, and forget what others told."""
        self._near = near
        self._far = far
        self._far_left = []
        kept = {*near, *far}
        self._heard = {name: heard for name, heard in self._heard.items() if name in kept}

    def on_generation(self, listener: Listener) -> None:
        """Let `listener` know of peers with a newer generation than this entry's."""
        self._generation_listeners.append(listener)

    def on_ownership(self, listener: Listener) -> None:
        """Let `listener` know of peers with a newer ownership version than this entry's."""
        self._ownership_listeners.append(listener)

    def tell(self) -> None:
        """Tell all near peers and a few far ones."""
        gossip = self._report()
        for entry_id in self._near:
            self._network.send(entry_id=entry_id, message=gossip)
        heads = msgspec.structs.replace(gossip, rooms=())
        for entry_id in self._next_far():
            self._network.send(entry_id=entry_id, message=heads)

    def hear(self, sender: str, gossip: messages.Gossip) -> None:
        """Keep what a peer tells; gossip about others and of strangers is ignored."""
        if gossip.entry_id != sender or sender not in (*self._near, *self._far):
            return
        self._heard[sender] = Heard(gossip=gossip, at=self._reactor.seconds())
        own = self._report()
        if gossip.generation > own.generation:
            for listener in self._generation_listeners:
                listener(sender, gossip.generation)
        if gossip.ownership_version > own.ownership_version:
            for listener in self._ownership_listeners:
                listener(sender, gossip.ownership_version)

    def newest(self, entry_id: str) -> Heard | None:
        """Give the newest gossip of a peer, or None."""
        return self._heard.get(entry_id)

    def age_s(self, entry_id: str) -> float | None:
        """Give the age of the newest gossip of a peer, or None."""
        heard = self._heard.get(entry_id)
        return None if heard is None else self._reactor.seconds() - heard.at

    def generations(self) -> dict[str, int]:
        """Give the generation in force at each peer that was heard."""
        return {name: heard.gossip.generation for name, heard in self._heard.items()}

    def rooms(self) -> tuple[PeerRoom, ...]:
        """List the cells with room of all peers that aren't draining."""
        now = self._reactor.seconds()
        return tuple(
            PeerRoom(entry_id=name, cell_room=cell_room, age_s=now - heard.at)
            for name, heard in self._heard.items()
            if not heard.gossip.draining
            for cell_room in heard.gossip.rooms
        )

    def _next_far(self) -> list[str]:
        if not self._far_left:
            self._far_left = self._draw.sample(self._far, len(self._far))
        told, self._far_left = self._far_left[:FAR_FANOUT], self._far_left[FAR_FANOUT:]
        return told
