"""Exchange of versions of the configuration between entries, beside each entry's own watch.

An entry is an instance that runs the daemon. Its watch may be silent while its other calls to the
store succeed, and the store may refuse some entries while it serves the others.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable

from ebonyhatch.fleet import (
    configuration_source,
    decision_log,
    messages,
    queues,
    supervision,
)
from ebonyhatch.fleet import network as network_module
from ebonyhatch.node import coroutines
from returns import result

QUERY_INTERVAL_S = 0.4
"""Time between two queries to peers, seconds."""

QUERY_TIMEOUT_S = 2.0
"""Timeout of a query, seconds. The next one is sent before it, as a peer may be unresponsive."""

FETCH_DELAY_S = 0.25
"""Time in which the own watch may bring a version before it is fetched from the peer that announced
it, seconds."""

MAX_VALUE_BYTES = 4_000_000
"""Largest decompressed configuration from a peer, bytes: several times the store's largest value."""


class ConfigurationExchange:
    """Announces new versions to peers, and asks peers for newer ones at intervals.

    Only an entry that lacks a version fetches it, compressed: on the smallest links, copies for peers
    that have it already would hold up renewals and the entry's own watch for seconds.
    """

    def __init__(
        self,
        *,
        neighbours: Callable[[], tuple[str, ...]],
        network: network_module.Network,
        group: coroutines.CoroutineGroup,
        source: configuration_source.ConfigurationSource,
        seed: int,
    ) -> None:
        """Creates an exchange.

        Args:
            neighbours: Returns the names of the peers that are told of new versions and asked.
            network: Network between entries.
            group: Runs the exchange until it is closed.
            source: The configuration in force.
            seed: Seed of the order in which neighbours are asked.
        """
        self._neighbours = neighbours
        self._network = network
        self._group = group
        self._source = source
        self._random = random.Random(seed)
        self._deflated = b""
        self._deflated_version = 0
        self._announced_version = 0

    @property
    def _version(self) -> int:
        current = self._source.current
        return 0 if current is None else current.version

    def start(self) -> None:
        """Registers the handlers of messages and starts to ask peers."""
        self._network.handle(messages.ConfigurationNotice, self._on_notice)
        self._network.handle(messages.NewerConfigurationCall, self._on_call)
        supervision.spawn(self._group, "configuration-queries", self._query_repeatedly)

    def announce(self, configuration: queues.Configuration) -> None:
        """Announces a new version to the neighbours, which announce it to others."""
        notice = messages.ConfigurationNotice(version=configuration.version)
        for name in self._neighbours():
            self._network.send(entry_id=name, message=notice)

    async def _query_repeatedly(self) -> None:
        """Asks one neighbour after another; peers send nothing to an entry whose key has vanished."""
        while True:
            await self._group.sleep(QUERY_INTERVAL_S)
            asked = self._neighbours()
            if asked:
                self._group.spawn(self._query(self._random.choice(asked)))

    async def _query(self, peer: str) -> None:
        reply = await self._network.call(
            entry_id=peer,
            message=messages.NewerConfigurationCall(version=self._version),
            timeout_s=QUERY_TIMEOUT_S,
        )
        notice = reply.unwrap() if isinstance(reply, result.Success) else None
        if not isinstance(notice, messages.ConfigurationNotice) or not notice.deflated:
            return
        if notice.version <= self._version:
            return
        value = _inflate(notice.deflated)
        if value is None:
            decision_log.write("configuration.damaged", sender=peer, version=notice.version)
            return
        self._source.apply_from_peer(value, revision=notice.revision, peer=peer)

    def _on_call(
        self, sender: str, call: messages.NewerConfigurationCall
    ) -> messages.ConfigurationNotice:
        deflated = self._deflated_value() if self._version > call.version else b""
        return messages.ConfigurationNotice(
            version=self._version, revision=self._source.revision, deflated=deflated
        )

    def _deflated_value(self) -> bytes:
        """Returns the compressed configuration in force; it is compressed once for each version."""
        if self._deflated_version != self._version:
            self._deflated = zlib.compress(self._source.value, level=1)
            self._deflated_version = self._version
        return self._deflated

    def _on_notice(self, sender: str, notice: messages.ConfigurationNotice) -> None:
        if notice.version > max(self._version, self._announced_version):
            self._announced_version = notice.version
            self._group.spawn(self._fetch(sender, notice.version))

    async def _fetch(self, peer: str, version: int) -> None:
        """Fetches an announced version, unless the own watch brings it first."""
        await self._group.sleep(FETCH_DELAY_S)
        if self._version < version:
            await self._query(peer)


def _inflate(deflated: bytes) -> bytes | None:
    """Returns the decompressed bytes; None if they are damaged or too many."""
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(deflated, MAX_VALUE_BYTES)
    except zlib.error:
        return None
    return value if decompressor.eof else None
