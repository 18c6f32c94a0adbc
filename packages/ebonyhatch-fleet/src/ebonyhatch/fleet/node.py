"""One entry of the fleet, assembled: callers, peers, configuration, ownership and the owner."""

from __future__ import annotations

import os

import msgspec
from ebonyhatch.fleet import (
    admission,
    clocks,
    configuration_source,
    entry,
    memory_peers,
    messages,
    metrics,
    ownership,
    queues,
    store,
    target_list,
    targets,
)
from ebonyhatch.fleet import owner as owner_module
from ebonyhatch.node import coroutines, peers

NOTICE_S = 0.25
"""Time between two words of the owner on load, seconds."""

FLUSH_S = 1.0
"""Longest wait for the last write of an owner that leaves, seconds."""


Network = peers.PeerNetwork | memory_peers.MemoryPeers
"""Messages between entries: over sockets, or in memory."""


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """What an entry has to know.

    Attributes:
        name: Its name, unique among the entries.
        host: IP number for its peers.
        port: TCP port for its peers.
        lease_s: Longest lease that targets grant to runs, seconds.
        keep_ended_s: Time for which ended jobs are kept, seconds.
    """

    name: str
    host: str
    port: int
    lease_s: float
    keep_ended_s: float = 600.0


class Node:
    """An entry, from `start` until `close`."""

    def __init__(
        self,
        *,
        all_clocks: clocks.Clocks,
        settings: Settings,
        network: Network,
        store_port: store.Store,
        targets_port: targets.Targets,
        target_codec: target_list.TargetCodec,
        codec: configuration_source.Codec,
    ) -> None:
        self._settings = settings
        self._store = store_port
        self._targets = targets_port
        self._target_codec = target_codec
        self._clocks = all_clocks
        self._group = coroutines.CoroutineGroup(clock=all_clocks.loop)
        self._network = network
        self._load = admission.QueueLoad()
        self._owner: owner_module.Owner | None = None
        self._closing = False
        self._members = ownership.Ownership(
            entry=ownership.EntryRecord(
                name=settings.name,
                incarnation=os.urandom(8).hex(),
                host=settings.host,
                port=settings.port,
            ),
            store_port=store_port,
            all_clocks=self._clocks,
            on_gained=self._gained,
            on_lost=self._lost,
            on_entries=self._link,
        )
        self._configuration = configuration_source.ConfigurationSource(
            store_port=store_port,
            codec=codec,
            group=self._group,
            on_change=self._configured,
        )
        self._metrics = metrics.Metrics(gauges=self._gauges)
        self._entry = entry.Entry(
            name=settings.name,
            store_port=store_port,
            network=self._network,
            members=self._members,
            all_clocks=self._clocks,
            local_owner=lambda: self._owner,
            load=self._load,
            seed=int.from_bytes(os.urandom(8), "big"),
        )

    @property
    def entry(self) -> entry.Entry:
        """What serves callers."""
        return self._entry

    @property
    def configuration(self) -> queues.Configuration | None:
        """The configuration in force; None before the first."""
        return self._configuration.current

    @property
    def owner(self) -> owner_module.Owner | None:
        """The owner, where this entry acts as it."""
        return self._owner

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here."""
        return not self._closing and self._configuration.current is not None and self._members.known

    @property
    def metrics(self) -> metrics.Metrics:
        """Its metrics."""
        return self._metrics

    @property
    def clocks(self) -> clocks.Clocks:
        """The clocks."""
        return self._clocks

    def start(self) -> None:
        """Begin."""
        self._metrics.start()
        self._network.handle(messages.ConfigurationNotice, self._on_configuration)
        self._network.handle(messages.LoadNotice, self._on_load)
        self._network.start()
        self._entry.start()
        self._configuration.start()
        self._members.start()
        self._group.spawn(self._tell_load())

    async def hand_over(self) -> None:
        """Stop being ready and give ownership away; callers are still served."""
        self._closing = True
        self._members.resign()
        local = self._owner
        if local is not None:
            await local.flush(limit_s=FLUSH_S)
            self._members.give_up("planned stop", term=local.term)
        await self._members.leave()

    def close(self) -> None:
        """End."""
        self._group.close()
        self._members.close()
        if self._owner is not None:
            self._owner.close()
            self._owner = None
        self._entry.close()
        self._network.close()
        self._metrics.close()

    def _gauges(self) -> dict[str, float]:
        current = self._configuration.current
        state = {
            "is_owner": float(self._owner is not None),
            "term": 0 if self._owner is None else self._owner.term,
            "configuration_version": 0 if current is None else current.version,
            "store_silent_seconds": self._members.store_silent_s,
            "entries": len(self._members.entries),
        }
        return state if self._owner is None else state | self._owner.gauges()

    def _gained(self, head: ownership.Head, revision: int) -> None:
        made = owner_module.Owner(
            term=head.term,
            head_revision=revision,
            store_port=self._store,
            targets_port=self._targets,
            target_codec=self._target_codec,
            all_clocks=self._clocks,
            lease_s=self._settings.lease_s,
            keep_ended_s=self._settings.keep_ended_s,
            lease_valid=lambda: self._members.lease_valid,
            store_reachable=lambda: self._members.store_reachable,
            on_superseded=lambda reason: self._superseded(made, reason),
        )
        self._owner = made
        configuration = self._configuration.current or queues.Configuration(version=0)
        made.start(configuration=configuration)

    def _superseded(self, owner: owner_module.Owner, reason: str) -> None:
        """Stop acting; what reaches an owner that acts no more ends no later one."""
        if owner is self._owner:
            self._members.give_up(reason, term=owner.term)

    def _lost(self, reason: str) -> None:
        if self._owner is not None:
            self._owner.close()
            self._owner = None

    def _link(self, entries: tuple[ownership.EntryRecord, ...]) -> None:
        self._network.set_peers(
            peers=tuple(
                peers.PeerAddress(entry_id=record.name, host=record.host, port=record.port)
                for record in entries
            )
        )

    def _configured(self, configuration: queues.Configuration, value: bytes) -> None:
        if self._owner is not None:
            self._owner.set_configuration(configuration)
        notice = messages.ConfigurationNotice(version=configuration.version, value=value)
        for peer in self._network.peers:
            self._network.send(entry_id=peer.entry_id, message=notice)

    def _on_configuration(self, sender: str, notice: messages.ConfigurationNotice) -> None:
        current = self._configuration.current
        if current is None or notice.version > current.version:
            self._configuration.take(notice.value, source=f"peer {sender}")

    def _on_load(self, sender: str, notice: messages.LoadNotice) -> None:
        self._load.update(term=notice.term, waits_s=notice.waits_s, now=self._clocks.now())

    async def _tell_load(self) -> None:
        while True:
            await self._group.sleep(NOTICE_S)
            local = self._owner
            if local is None or not local.recovered:
                continue
            notice = messages.LoadNotice(term=local.term, waits_s=local.waits_s())
            self._load.update(term=notice.term, waits_s=notice.waits_s, now=self._clocks.now())
            for peer in self._network.peers:
                self._network.send(entry_id=peer.entry_id, message=notice)
