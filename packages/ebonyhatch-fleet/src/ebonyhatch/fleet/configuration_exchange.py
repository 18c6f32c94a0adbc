"""Exchange of versions of the configuration between entries, beside each entry's own watch.

An entry is an instance that runs the daemon. Its watch may be silent while its other calls to the
store succeed, and the store may refuse some entries while it serves the others.
"""

from __future__ import annotations

import random

from ebonyhatch.fleet import configuration_source, memory_peers, messages, queues, supervision
from ebonyhatch.node import coroutines, peers
from returns import result

QUERY_INTERVAL_S = 0.4
"""Time between two queries to peers, seconds."""

QUERY_TIMEOUT_S = 2.0
"""Timeout of a query, seconds. The next one is sent before it, as a peer may be unresponsive."""


class ConfigurationExchange:
    """Passes new versions on to peers, and asks peers for newer ones at intervals."""

    def __init__(
        self,
        *,
        name: str,
        network: peers.PeerNetwork | memory_peers.MemoryPeers,
        group: coroutines.CoroutineGroup,
        source: configuration_source.ConfigurationSource,
        seed: int,
    ) -> None:
        self._name = name
        self._network = network
        self._group = group
        self._source = source
        self._random = random.Random(seed)

    @property
    def _version(self) -> int:
        current = self._source.current
        return 0 if current is None else current.version

    def start(self) -> None:
        """Registers the handlers of messages and starts to ask peers."""
        self._network.handle(messages.ConfigurationNotice, self._on_notice)
        self._network.handle(messages.NewerConfigurationCall, self._on_call)
        supervision.spawn(self._group, "configuration-queries", self._query_repeatedly)

    def announce(self, configuration: queues.Configuration, value: bytes) -> None:
        """Passes a new version on to some peers."""
        notice = messages.ConfigurationNotice(version=configuration.version, value=value)
        for name in self._relay_peers():
            self._network.send(entry_id=name, message=notice)

    def _relay_peers(self) -> list[str]:
        """Returns the peers at distances of 1, 2, 4 and so on in the circle of all names.

        A version is large, and each entry passes it on: sent to all peers by all, its copies would
        grow with the square of the number of entries.
        """
        names = sorted({self._name, *(peer.entry_id for peer in self._network.peers)})
        position = names.index(self._name)
        distances = [1 << bit for bit in range((len(names) - 1).bit_length())]
        return [names[(position + distance) % len(names)] for distance in distances]

    async def _query_repeatedly(self) -> None:
        """Asks one peer after another; peers send nothing to an entry whose key has vanished."""
        while True:
            await self._group.sleep(QUERY_INTERVAL_S)
            linked = self._network.peers
            if linked:
                self._group.spawn(self._query(self._random.choice(linked).entry_id))

    async def _query(self, peer: str) -> None:
        reply = await self._network.call(
            entry_id=peer,
            message=messages.NewerConfigurationCall(version=self._version),
            timeout_s=QUERY_TIMEOUT_S,
        )
        notice = reply.unwrap() if isinstance(reply, result.Success) else None
        if isinstance(notice, messages.ConfigurationNotice) and notice.value:
            self._on_notice(peer, notice)

    def _on_call(
        self, sender: str, call: messages.NewerConfigurationCall
    ) -> messages.ConfigurationNotice:
        value = self._source.value if self._version > call.version else b""
        return messages.ConfigurationNotice(version=self._version, value=value)

    def _on_notice(self, sender: str, notice: messages.ConfigurationNotice) -> None:
        if notice.version > self._version:
            self._source.apply(notice.value, source=f"peer {sender}")
