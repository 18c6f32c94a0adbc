"""An in-memory implementation of the peer network."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from ebonyhatch.node import messages
from ebonyhatch.node import peers as peers_
from returns import result
from twisted.internet import defer

LATENCY_S = 0.001
"""Delivery time of a message, seconds."""


class MemoryNetwork:
    """The networks of all entries; entries in `partitioned` neither send nor receive."""

    def __init__(self, *, clock: Any) -> None:
        self.clock = clock
        self.members: dict[str, MemoryPeers] = {}
        self.partitioned: set[str] = set()

    def reach(self, sender: str, receiver: str) -> MemoryPeers | None:
        """Returns the receiver's network; None if the sender can't reach it."""
        if sender in self.partitioned or receiver in self.partitioned:
            return None
        return self.members.get(receiver)


class MemoryPeers:
    """One entry's network, with the interface of `node.peers.PeerNetwork`."""

    def __init__(self, *, network: MemoryNetwork, entry_id: str) -> None:
        self._network = network
        self._entry_id = entry_id
        self._handlers: dict[type[messages.Message], peers_.Handler] = {}
        self._peers: tuple[peers_.PeerAddress, ...] = ()
        self._linked: set[str] = set()

    @property
    def peers(self) -> tuple[peers_.PeerAddress, ...]:
        """Addresses of the peers."""
        return self._peers

    @property
    def connections(self) -> int:
        """Number of peers to which a connection would be kept open."""
        return len(self._linked)

    def start(self) -> None:
        """Joins the network."""
        self._network.members[self._entry_id] = self

    def close(self) -> None:
        """Leaves the network."""
        self._network.members.pop(self._entry_id, None)

    def set_peers(
        self, *, peers: tuple[peers_.PeerAddress, ...], linked: Collection[str] | None = None
    ) -> None:
        """Exchanges messages with exactly these peers; connections are only counted."""
        self._peers = tuple(peer for peer in peers if peer.entry_id != self._entry_id)
        names = {peer.entry_id for peer in self._peers}
        self._linked = names if linked is None else names & set(linked)

    def handle(self, message_type: type[messages.Message], handler: peers_.Handler) -> None:
        """Registers `handler` for messages of a type."""
        self._handlers[message_type] = handler

    def call(
        self, *, entry_id: str, message: messages.Message, timeout_s: float
    ) -> peers_.CallOutcome:
        """Sends a message and awaits the reply."""
        done: peers_.CallOutcome = defer.Deferred()
        other = self._network.reach(self._entry_id, entry_id)
        if other is None:
            done.callback(
                result.Failure(peers_.PeerNotSentError(entry_id=entry_id, reason="not reached"))
            )
            return done
        unknown = peers_.PeerUnknownError(entry_id=entry_id, reason="no reply")
        timer = self._network.clock.callLater(timeout_s, _complete, done, result.Failure(unknown))
        self._network.clock.callLater(LATENCY_S, other.receive, self._entry_id, message, done)
        done.addBoth(_cancel_timer, timer)
        return done

    def send(self, *, entry_id: str, message: messages.Message) -> bool:
        """Sends a message that has no reply."""
        other = self._network.reach(self._entry_id, entry_id)
        if other is None:
            return False
        self._network.clock.callLater(LATENCY_S, other.receive, self._entry_id, message, None)
        return True

    def receive(
        self, sender: str, message: messages.Message, done: peers_.CallOutcome | None
    ) -> None:
        """Handles a received message."""
        if self._network.reach(sender, self._entry_id) is not self:
            return
        answering = defer.maybeDeferred(self._handlers[type(message)], sender, message)
        if done is not None:
            answering.addCallback(lambda reply: _complete(done, result.Success(reply)))


def _complete(done: peers_.CallOutcome, outcome: Any) -> None:
    if not done.called:
        done.callback(outcome)


def _cancel_timer(outcome: Any, timer: Any) -> Any:
    if timer.active():
        timer.cancel()
    return outcome
