"""One entry: its parts, wired together, started in order and closed in reverse."""

from __future__ import annotations

import random
from typing import Any

import msgspec
from ebonyhatch.core import configuration as configurations
from ebonyhatch.core import default_scheduler, errors, scheduler
from ebonyhatch.node import (
    access,
    admin,
    cell,
    cell_observer,
    cell_set,
    configuration,
    daemon_view,
    gateway,
    gauges,
    gossip,
    heads,
    http_server,
    instance_view,
    keys,
    logs,
    messages,
    metrics,
    observation,
    ownership,
    paced_store,
    peer_cells,
    peer_handlers,
    peers,
    placements,
    route_choice,
    routing,
    settings,
    store_health,
)
from ebonyhatch.ports import guarded_store, instances, store, workers
from twisted.internet import defer, task
from twisted.web import resource

DEFAULT_POLICY = default_scheduler.DefaultScheduler
GAUGES_PERIOD_S = 5.0


class Platform(msgspec.Struct, frozen=True, kw_only=True):
    """Ports to the platform; the daemon starts and closes them."""

    store: store.Store
    workers: workers.Workers
    instances: instances.Instances


class Daemon:
    """Runs one entry on one reactor.

    Attributes:
        measures: Its metrics.
    """

    def __init__(
        self,
        *,
        chosen: settings.Settings,
        reactor: Any,
        platform: Platform,
        seed: int,
    ) -> None:
        """Wire everything; nothing is opened before `start`.

        Args:
            chosen: Checked settings.
            reactor: The reactor of the process.
            platform: Ports to the platform.
            seed: Seed of this run's draws; differs between entries and between runs.
        """
        self._settings = chosen
        self._reactor = reactor
        self._platform = platform
        self._seed = seed
        self._listening: list[Any] = []
        self._draining = False
        self.measures = metrics.Metrics(label_sets=chosen.limits.metric_label_sets)
        self._health = store_health.StoreHealth(clock=reactor, measures=self.measures)
        guarded = guarded_store.GuardedStore(
            inner=platform.store,
            clock=reactor,
            generator=random.Random(seed),
            observe=self._health.observe,
        )
        self._store = paced_store.PacedStore(store_port=guarded, clock=reactor)
        self._network = self._make_network()
        self._listed = self._make_instance_view()
        self._cells = self._make_cells()
        self._configured = self._make_configuration()
        self._owned = self._make_ownership()
        self._placements = placements.OwnedPlacements(
            owned=self._owned, listed=self._listed, in_force=lambda: self._configured.in_force
        )
        self._chooser = self._make_chooser()
        self._router = self._make_router()
        self._gossiper = self._make_gossiper()
        self._others = self._make_others()
        self._heads = heads.HeadExchange(
            network=self._network,
            gossiper=self._gossiper,
            configured=self._configured,
            owned=self._owned,
        )
        self._gateway = self._make_gateway()
        self._view = daemon_view.DaemonView(
            entry_id=chosen.entry.id,
            owned=self._owned,
            cells=self._cells,
            gossiper=self._gossiper,
            listed=self._listed,
            network=self._network,
            health=self._health,
            draining=lambda: self._draining,
            warnings=self._warnings,
        )
        peer_handlers.register(
            network=self._network,
            gossiper=self._gossiper,
            chooser=self._chooser,
            router=self._router,
            others=self._others,
            view=self._view,
        )
        self._gauges = task.LoopingCall(self._set_gauges)
        self._gauges.clock = reactor

    @property
    def router(self) -> routing.Router:
        """Routes calls as the gateway does."""
        return self._router

    @property
    def callers_port(self) -> int:
        """Port of the callers' API; 0 before `start`."""
        return self._port_of(0)

    @property
    def admin_port(self) -> int:
        """Port of the administration API; 0 before `start`."""
        return self._port_of(1)

    async def start(self) -> None:
        """Open everything; callers are listened to last.

        Raises:
            PeerBindError: When the peers' address can't be listened on.
            twisted.internet.error.CannotListenError: Likewise for an HTTP address.
        """
        self._store.start()
        self._platform.workers.start()
        self._platform.instances.start()
        self._network.start()
        await self._listed.start()
        self._gossiper.start()
        await self._configured.start()
        await self._owned.start()
        await self._listed.refresh()
        self._gauges.start(GAUGES_PERIOD_S)
        self._listen(self._settings.listen.callers, self._gateway.app.resource())
        self._listen(self._settings.listen.admin, self._admin_root())
        logs.write(
            "entry started",
            entry_id=self._settings.entry.id,
            callers_port=self.callers_port,
            admin_port=self.admin_port,
            peers_port=self._network.port,
        )

    async def close(self) -> None:
        """Stop gracefully: refuse new work, finish what is in progress, hand cells over."""
        self._draining = True
        self._gossiper.tell()
        await self._gateway.drain()
        await self._owned.close()
        self._cells.close()
        self._gauges.stop()
        self._configured.close()
        self._gossiper.close()
        self._listed.close()
        self._network.close()
        for port in self._listening:
            await defer.maybeDeferred(port.stopListening)
        self._platform.instances.close()
        self._platform.workers.close()
        self._store.close()
        logs.write("entry stopped", entry_id=self._settings.entry.id)

    def in_progress(self) -> int:
        """Count requests that have no answer yet."""
        return self._gateway.in_progress

    def readiness(self) -> observation.Readiness:
        """Tell whether the entry can serve."""
        lacks = []
        if self._draining:
            lacks.append("stopping")
        if not self._owned.owners:
            lacks.append("the ownership record: the store and all peers are unreachable")
        if not self._listed.cells:
            lacks.append("workers: the instance list names none or can't be read")
        return observation.Readiness(ready=not lacks, lacks=tuple(lacks))

    def _warnings(self) -> tuple[str, ...]:
        found = [str(fault) for fault in self._configured.faults]
        if self._settings.keys is None:
            found.append("peers don't prove themselves: put keys into the settings")
        if not self._settings.access.token_sha256:
            found.append("no operator has access: put token_sha256 into the settings")
        return tuple(found)

    def _make_network(self) -> peers.PeerNetwork:
        listen = self._settings.listen.peers
        return peers.PeerNetwork(
            reactor=self._reactor,
            entry_id=self._settings.entry.id,
            host=listen.host,
            port=listen.port,
            keys=_ring(self._settings.keys),
            on_bytes=self.measures.peer_bytes,
            on_fault=self.measures.peer_fault,
            calls_limit=self._settings.limits.peer_calls,
            queue_limit_bytes=self._settings.limits.peer_queue_bytes,
        )

    def _make_instance_view(self) -> instance_view.InstanceView:
        return instance_view.InstanceView(
            port=self._platform.instances,
            clock=self._reactor,
            cells_per_domain=lambda: self._owned.cells_per_domain,
            on_change=self._instances_changed,
        )

    def _make_cells(self) -> cell_set.CellSet:
        return cell_set.CellSet(
            build=self._build_cell,
            listed=self._listed,
            clock=self._reactor,
            on_fault=self._cell_failed,
        )

    def _make_configuration(self) -> configuration.Configuration:
        return configuration.Configuration(
            store=self._store,
            clock=self._reactor,
            seed=self._seed,
            on_change=self._configuration_changed,
        )

    def _make_ownership(self) -> ownership.Ownership:
        entry = self._settings.entry
        member = ownership.Member(
            entry_id=entry.id,
            host=self._settings.listen.peers.host,
            port=self._settings.listen.peers.port,
            failure_domain=entry.failure_domain,
            region=entry.region,
        )
        return ownership.Ownership(
            member=member,
            store=self._store,
            clock=self._reactor,
            seed=self._seed,
            domains=lambda: self._listed.domains,
            cells_per_domain=self._settings.cells.per_failure_domain,
            is_unresponsive=self._is_unresponsive,
            on_gain=self._cell_gained,
            on_loss=self._cell_lost,
        )

    def _make_chooser(self) -> route_choice.RouteChoice:
        return route_choice.RouteChoice(
            entry_id=self._settings.entry.id,
            own_cells=self._cells.serving,
            placements=self._placements,
            clock=self._reactor,
            draw=random.Random(self._seed),
        )

    def _make_router(self) -> routing.Router:
        return routing.Router(
            entry_id=self._settings.entry.id,
            placements=self._placements,
            own_cells=self._cells.serving,
            chooser=self._chooser,
            network=self._network,
            clock=self._reactor,
        )

    def _make_gossiper(self) -> gossip.Gossiper:
        return gossip.Gossiper(
            reactor=self._reactor,
            network=self._network,
            report=self._gossip,
            seed=self._seed,
        )

    def _make_others(self) -> peer_cells.PeerCells:
        return peer_cells.PeerCells(
            entry_id=self._settings.entry.id,
            own_cells=self._cells.serving,
            placements=self._placements,
            gossiper=self._gossiper,
            network=self._network,
            clock=self._reactor,
        )

    def _make_gateway(self) -> gateway.Gateway:
        return gateway.Gateway(
            router=self._router,
            in_force=lambda: self._configured.in_force,
            measures=self.measures,
            clock=self._reactor,
            requests_limit=self._settings.limits.requests_in_progress,
        )

    def _build_cell(self, owned: cell_set.OwnedCell) -> cell.Cell:
        policy = self._settings.policy
        return cell.Cell(
            name=owned.name,
            epoch=owned.epoch,
            entry_id=self._settings.entry.id,
            store=self._store,
            workers_port=self._platform.workers,
            scheduler=scheduler.build(name=policy.name, seed=policy.seed),
            clock=self._reactor,
            may_act=self._owned.lease_valid,
            on_event=self._cell_event,
            observe=cell_observer.CellObserver(measures=self.measures).observe,
            others=self._others,
            seed=self._seed,
        )

    def _gossip(self) -> messages.Gossip:
        return messages.Gossip(
            entry_id=self._settings.entry.id,
            generation=self._configured.generation,
            ownership_version=self._owned.version,
            rooms=self._cells.rooms(),
            draining=self._draining,
        )

    def _instances_changed(self) -> None:
        self._cells.set_workers()
        own_id = self._settings.entry.id
        others = [entry for entry in self._listed.entries if entry.instance_id != own_id]
        region = self._settings.entry.region
        self._network.set_peers(
            peers=tuple(_address(entry, near=entry.region == region) for entry in others)
        )
        near = tuple(entry.instance_id for entry in others if entry.region == region)
        far = tuple(entry.instance_id for entry in others if entry.region != region)
        self._gossiper.set_peers(near=near, far=far)

    def _configuration_changed(self, in_force: configurations.InForce) -> None:
        self._cells.set_configuration(in_force)
        logs.write("configuration in force", generation=in_force.generation)

    def _is_unresponsive(self, entry_id: str) -> bool:
        return self._network.is_unresponsive(entry_id)

    def _cell_gained(self, name: str, epoch: int) -> None:
        self.measures.epoch_changed(change="gained")
        logs.write("cell gained", cell=name, epoch=epoch)
        self._chooser.keep()
        self._cells.gain(name, epoch)

    def _cell_lost(self, name: str) -> defer.Deferred[None]:
        self.measures.epoch_changed(change="lost")
        logs.write("cell given up", cell=name)
        self._chooser.keep()
        return defer.ensureDeferred(self._cells.lose(name))

    def _cell_failed(self, owned: cell_set.OwnedCell, error: errors.EbonyhatchError) -> None:
        logs.write("cell failed", cell=owned.name, epoch=owned.epoch, error=str(error))

    def _cell_event(self, kind: str, fields: dict[str, Any]) -> None:
        logs.write(kind, entry_id=self._settings.entry.id, **fields)

    def _set_gauges(self) -> None:
        gauges.set_all(
            measures=self.measures,
            shown=[serving.view() for serving in self._cells.serving.values()],
            configured=self._configured,
            gossiper=self._gossiper,
            store_age_s=self._health.age_s,
        )

    def _admin_root(self) -> resource.Resource:
        operators = admin.Admin(
            configuration=self._configured,
            view=self._view,
            access=access.Access(token_sha256=self._settings.access.token_sha256),
        )
        return observation.Observation(
            metrics=self.measures.render_in_turns,
            readiness=self.readiness,
            rest=operators.app.resource(),
        ).app.resource()

    def _listen(self, endpoint: settings.Endpoint, root: resource.Resource) -> None:
        site = http_server.bounded_site(
            root=root, body_limit_bytes=self._settings.limits.body_bytes
        )
        self._listening.append(
            self._reactor.listenTCP(endpoint.port, site, interface=endpoint.host)
        )

    def _port_of(self, index: int) -> int:
        if index >= len(self._listening):
            return 0
        return int(self._listening[index].getHost().port)


def _address(entry: instances.Instance, *, near: bool) -> peers.PeerAddress:
    return peers.PeerAddress(
        entry_id=entry.instance_id, host=entry.host, port=entry.port, near=near
    )


def _ring(chosen: settings.Keys | None) -> keys.KeyRing | None:
    if chosen is None:
        return None
    pair = keys.KeyPair(public=chosen.public, secret=chosen.secret)
    return keys.KeyRing(pair=pair, peers=chosen.peers)
