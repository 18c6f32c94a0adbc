"""Exchange of configuration and ownership records between entries.

A newly started entry obtains both from its peers while the store is unreachable.
"""

from __future__ import annotations

from ebonyhatch.node import configuration, gossip, messages, ownership, peers
from returns import result
from twisted.internet import defer

CALL_TIMEOUT_S = 2.0


class StateExchange:
    """Fetches newer records from peers that announce them, and answers such calls of peers."""

    def __init__(
        self,
        *,
        network: peers.PeerNetwork,
        gossiper: gossip.Gossiper,
        configured: configuration.Configuration,
        owned: ownership.Ownership,
    ) -> None:
        self._network = network
        self._configured = configured
        self._owned = owned
        self._fetching: set[type[messages.Message]] = set()
        network.handle(messages.ConfigurationCall, self._answer_configuration)
        network.handle(messages.OwnershipCall, self._answer_ownership)
        gossiper.on_generation(self._on_newer_generation)
        gossiper.on_ownership(self._on_newer_ownership)

    def _answer_configuration(self, sender: str, call: messages.Message) -> messages.Message:
        generation = self._configured.generation
        newer = isinstance(call, messages.ConfigurationCall) and call.generation < generation
        head = self._configured.head if newer else b""
        return messages.ConfigurationReply(generation=generation, head=head)

    def _answer_ownership(self, sender: str, call: messages.Message) -> messages.Message:
        version = self._owned.version
        newer = isinstance(call, messages.OwnershipCall) and call.version < version
        record = self._owned.record if newer else b""
        return messages.OwnershipReply(version=version, record=record)

    def _on_newer_generation(self, entry_id: str, generation: int) -> None:
        call = messages.ConfigurationCall(generation=self._configured.generation)
        self._start_fetch(entry_id, call)

    def _on_newer_ownership(self, entry_id: str, version: int) -> None:
        self._start_fetch(entry_id, messages.OwnershipCall(version=self._owned.version))

    def _start_fetch(self, entry_id: str, call: messages.Message) -> None:
        """Starts a fetch unless one of its kind is running; the next gossip triggers a retry."""
        if type(call) in self._fetching:
            return
        self._fetching.add(type(call))
        defer.ensureDeferred(self._fetch(entry_id, call))

    async def _fetch(self, entry_id: str, call: messages.Message) -> None:
        try:
            outcome = await self._network.call(
                entry_id=entry_id, message=call, timeout_s=CALL_TIMEOUT_S
            )
        finally:
            self._fetching.discard(type(call))
        match outcome:
            case result.Success(messages.ConfigurationReply(generation=generation, head=head)):
                self._configured.offer(generation=generation, head=head)
            case result.Success(messages.OwnershipReply(version=version, record=record)):
                if record:
                    self._owned.offer(version=version, record=record)
