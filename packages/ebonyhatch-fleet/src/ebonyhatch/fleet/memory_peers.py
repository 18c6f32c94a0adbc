"""The peer network's twin in memory."""

from __future__ import annotations

from typing import Any

from ebonyhatch.node import messages
from ebonyhatch.node import peers as peers_
from returns import result
from twisted.internet import defer

LATENCY_S = 0.001
"""Time that a message takes, seconds."""


class MemoryNetwork:
    """All entries' networks; those in `cut` neither send nor receive."""

    def __init__(self, *, clock: Any) -> None:
        self.clock = clock
        self.members: dict[str, MemoryPeers] = {}
        self.cut: set[str] = set()

    def reach(self, sender: str, receiver: str) -> MemoryPeers | None:
        """Find a receiver that the sender reaches."""
        if sender in self.cut or receiver in self.cut:
            return None
        return self.members.get(receiver)


class MemoryPeers:
    """One entry's network, as `node.peers.PeerNetwork`."""

    def __init__(self, *, network: MemoryNetwork, entry_id: str) -> None:
        self._network = network
        self._entry_id = entry_id
        self._handlers: dict[type[messages.Message], peers_.Handler] = {}
        self._peers: tuple[peers_.PeerAddress, ...] = ()

    @property
    def peers(self) -> tuple[peers_.PeerAddress, ...]:
        """The peers that are linked."""
        return self._peers

    def start(self) -> None:
        """Take part."""
        self._network.members[self._entry_id] = self

    def close(self) -> None:
        """Leave."""
        self._network.members.pop(self._entry_id, None)

    def set_peers(self, *, peers: tuple[peers_.PeerAddress, ...]) -> None:
        """Link exactly these peers."""
        self._peers = tuple(peer for peer in peers if peer.entry_id != self._entry_id)

    def handle(self, message_type: type[messages.Message], handler: peers_.Handler) -> None:
        """Let `handler` take messages of a type."""
        self._handlers[message_type] = handler

    def call(
        self, *, entry_id: str, message: messages.Message, timeout_s: float
    ) -> peers_.CallOutcome:
        """Send a message and await the reply."""
        done: peers_.CallOutcome = defer.Deferred()
        other = self._network.reach(self._entry_id, entry_id)
        if other is None:
            done.callback(
                result.Failure(peers_.PeerNotSentError(entry_id=entry_id, reason="not reached"))
            )
            return done
        unknown = peers_.PeerUnknownError(entry_id=entry_id, reason="no reply")
        timer = self._network.clock.callLater(timeout_s, _settle, done, result.Failure(unknown))
        self._network.clock.callLater(LATENCY_S, other.receive, self._entry_id, message, done)
        done.addBoth(_stop, timer)
        return done

    def send(self, *, entry_id: str, message: messages.Message) -> bool:
        """Send a message that has no reply."""
        other = self._network.reach(self._entry_id, entry_id)
        if other is None:
            return False
        self._network.clock.callLater(LATENCY_S, other.receive, self._entry_id, message, None)
        return True

    def receive(
        self, sender: str, message: messages.Message, done: peers_.CallOutcome | None
    ) -> None:
        """Take a message."""
        if self._network.reach(sender, self._entry_id) is not self:
            return
        answering = defer.maybeDeferred(self._handlers[type(message)], sender, message)
        if done is not None:
            answering.addCallback(lambda reply: _settle(done, result.Success(reply)))


def _settle(done: peers_.CallOutcome, outcome: Any) -> None:
    if not done.called:
        done.callback(outcome)


def _stop(outcome: Any, timer: Any) -> Any:
    if timer.active():
        timer.cancel()
    return outcome
