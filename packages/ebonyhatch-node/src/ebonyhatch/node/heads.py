"""Exchange of configuration and ownership between entries, so that a fresh one needs no store."""

from __future__ import annotations

from ebonyhatch.node import configuration, gossip, messages, ownership, peers
from returns import result
from twisted.internet import defer

CALL_TIMEOUT_S = 2.0


class HeadExchange:
    """Asks a peer that knows something newer for it, and answers such questions."""

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
        self._asking: set[type[messages.Message]] = set()
        network.handle(messages.ConfigurationCall, self._tell_configuration)
        network.handle(messages.OwnershipCall, self._tell_ownership)
        gossiper.on_generation(self._newer_generation)
        gossiper.on_ownership(self._newer_ownership)

    def _tell_configuration(self, sender: str, call: messages.Message) -> messages.Message:
        generation = self._configured.generation
        newer = isinstance(call, messages.ConfigurationCall) and call.generation < generation
        head = self._configured.head if newer else b""
        return messages.ConfigurationReply(generation=generation, head=head)

    def _tell_ownership(self, sender: str, call: messages.Message) -> messages.Message:
        version = self._owned.version
        newer = isinstance(call, messages.OwnershipCall) and call.version < version
        record = self._owned.record if newer else b""
        return messages.OwnershipReply(version=version, record=record)

    def _newer_generation(self, entry_id: str, generation: int) -> None:
        call = messages.ConfigurationCall(generation=self._configured.generation)
        self._ask(entry_id, call)

    def _newer_ownership(self, entry_id: str, version: int) -> None:
        self._ask(entry_id, messages.OwnershipCall(version=self._owned.version))

    def _ask(self, entry_id: str, call: messages.Message) -> None:
        """Ask once at a time for each kind; the next gossip asks again."""
        if type(call) in self._asking:
            return
        self._asking.add(type(call))
        defer.ensureDeferred(self._take(entry_id, call))

    async def _take(self, entry_id: str, call: messages.Message) -> None:
        try:
            outcome = await self._network.call(
                entry_id=entry_id, message=call, timeout_s=CALL_TIMEOUT_S
            )
        finally:
            self._asking.discard(type(call))
        match outcome:
            case result.Success(messages.ConfigurationReply(generation=generation, head=head)):
                self._configured.offer(generation=generation, head=head)
            case result.Success(messages.OwnershipReply(version=version, record=record)):
                if record:
                    self._owned.offer(version=version, record=record)
