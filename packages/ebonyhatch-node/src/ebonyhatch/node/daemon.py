"""One entry (an instance that runs the daemon).

Its components are created here, started in order and closed in reverse.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Any

import msgspec
from ebonyhatch.core import commands, default_scheduler, errors, scheduler
from ebonyhatch.core import configuration as configurations
from ebonyhatch.node import (
    access,
    admin,
    bounded_channel,
    cell,
    cell_observer,
    cell_set,
    configuration,
    daemon_view,
    gateway,
    gauges,
    gossip,
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
    request_budget,
    route_choice,
    routing,
    settings,
    state_exchange,
    store_health,
)
from ebonyhatch.ports import guarded_store, instances, store, workers
from twisted.internet import defer, task
from twisted.web import resource

DEFAULT_POLICY = default_scheduler.DefaultScheduler
GAUGES_PERIOD_S = 5.0

LISTEN_BACKLOG = 128
"""Maximum number of connections that wait to be accepted."""


class Platform(msgspec.Struct, frozen=True, kw_only=True):
    """Ports to the platform, which the daemon starts and closes."""

    store: store.Store
    workers: workers.Workers
    instances: instances.Instances


class Daemon:
    """Runs one entry on one reactor.

    Attributes:
        measures: Metrics of the entry.
    """

    def __init__(
        self,
        *,
        chosen: settings.Settings,
        reactor: Any,
        platform: Platform,
        seed: int,
    ) -> None:
        """Creates and connects all components; nothing is opened before `start`.

        Args:
            chosen: Validated settings.
            reactor: The reactor of the process.
            platform: Ports to the platform.
            seed: Seed of the random generators; differs between entries and between runs.
        """
        self._settings = chosen
        self._reactor = reactor
        self._platform = platform
        self._seed = seed
        self._http_ports: list[Any] = []
        self._supervisor = http_server.make_supervisor(
            clock=reactor,
            memory_mb=chosen.limits.memory_mb,
            max_fds=chosen.limits.max_fds,
            report=self._count_refusals,
        )
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
        self._instance_view = self._make_instance_view()
        self._cells = self._make_cells()
        self._configuration = self._make_configuration()
        self._ownership = self._make_ownership()
        self._placements = placements.OwnedPlacements(
            owned=self._ownership,
            listed=self._instance_view,
            in_force=lambda: self._configuration.in_force,
        )
        self._chooser = self._make_chooser()
        self._router = self._make_router()
        self._gossiper = self._make_gossiper()
        self._peer_cells = self._make_peer_cells()
        self._state_exchange = state_exchange.StateExchange(
            network=self._network,
            gossiper=self._gossiper,
            configured=self._configuration,
            owned=self._ownership,
        )
        self._gateway = self._make_gateway()
        self._view = daemon_view.DaemonView(
            entry_id=chosen.entry.id,
            owned=self._ownership,
            cells=self._cells,
            gossiper=self._gossiper,
            listed=self._instance_view,
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
            transfer_handler=self._peer_cells,
            view=self._view,
        )
        self._gauges = task.LoopingCall(self._set_gauges)
        self._gauges.clock = reactor

    @property
    def router(self) -> routing.Router:
        """Router that the gateway uses."""
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
        """Starts all components, and last of all listens for callers and operators.

        Raises:
            PeerBindError: When the address for peers cannot be bound.
            twisted.internet.error.CannotListenError: When an HTTP address cannot be bound.
        """
        self._store.start()
        self._platform.workers.start()
        self._platform.instances.start()
        self._network.start()
        await self._instance_view.start()
        self._gossiper.start()
        await self._configuration.start()
        await self._ownership.start()
        await self._instance_view.refresh()
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
        """Stops gracefully: refuses new work, completes started requests, hands over cells."""
        self._draining = True
        self._gossiper.send_round()
        await self._gateway.drain()
        await self._ownership.close()
        self._cells.close()
        self._gauges.stop()
        self._configuration.close()
        self._gossiper.close()
        self._instance_view.close()
        self._network.close()
        for port in self._http_ports:
            await defer.maybeDeferred(port.stopListening)
        self._platform.instances.close()
        self._platform.workers.close()
        self._store.close()
        logs.write("entry stopped", entry_id=self._settings.entry.id)

    def in_progress(self) -> int:
        """Returns the number of requests that have no response yet."""
        return self._gateway.in_progress

    def readiness(self) -> observation.Readiness:
        """Returns whether the entry can serve, and what it lacks."""
        lacks = []
        if self._draining:
            lacks.append("stopping")
        if not self._ownership.owners:
            lacks.append("the ownership record: the store and all peers are unreachable")
        if not self._instance_view.cells:
            lacks.append("workers: the instance list names none or can't be read")
        return observation.Readiness(ready=not lacks, lacks=tuple(lacks))

    def _warnings(self) -> tuple[str, ...]:
        warnings = [str(fault) for fault in self._configuration.faults]
        if self._settings.keys is None:
            warnings.append("peers are not authenticated: set keys in the settings")
        if not self._settings.access.token_sha256:
            warnings.append("no operator has access: set access.token_sha256 in the settings")
        return tuple(warnings)

    def _make_network(self) -> peers.PeerNetwork:
        listen = self._settings.listen.peers
        return peers.PeerNetwork(
            reactor=self._reactor,
            entry_id=self._settings.entry.id,
            host=listen.host,
            port=listen.port,
            keys=_key_ring(self._settings.keys),
            on_bytes=self.measures.record_peer_bytes,
            on_fault=self.measures.record_peer_fault,
            calls_limit=self._settings.limits.peer_calls,
            queue_limit_bytes=self._settings.limits.peer_queue_bytes,
        )

    def _make_instance_view(self) -> instance_view.InstanceView:
        return instance_view.InstanceView(
            port=self._platform.instances,
            clock=self._reactor,
            cells_per_domain=lambda: self._ownership.cells_per_domain,
            on_change=self._instances_changed,
        )

    def _make_cells(self) -> cell_set.CellSet:
        return cell_set.CellSet(
            build=self._build_cell,
            listed=self._instance_view,
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
            domains=lambda: self._instance_view.domains,
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
            generator=random.Random(self._seed),
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
            report=self._make_gossip,
            seed=self._seed,
        )

    def _make_peer_cells(self) -> peer_cells.PeerCells:
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
            in_force=lambda: self._configuration.in_force,
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
            may_act=self._ownership.lease_valid,
            on_event=self._cell_event,
            observe=cell_observer.CellObserver(measures=self.measures).observe,
            others=self._peer_cells,
            seed=self._seed,
        )

    def _make_gossip(self) -> messages.Gossip:
        return messages.Gossip(
            entry_id=self._settings.entry.id,
            generation=self._configuration.generation,
            ownership_version=self._ownership.version,
            rooms=self._cells.rooms(),
            draining=self._draining,
        )

    def _instances_changed(self) -> None:
        self._cells.set_workers()
        own_id = self._settings.entry.id
        others = [entry for entry in self._instance_view.entries if entry.instance_id != own_id]
        region = self._settings.entry.region
        self._network.set_peers(
            peers=tuple(_peer_address(entry, near=entry.region == region) for entry in others)
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
        self.measures.record_epoch_change(change="gained")
        logs.write("cell gained", cell=name, epoch=epoch)
        self._chooser.discard_stale()
        self._cells.gain(name, epoch)

    def _cell_lost(self, name: str) -> defer.Deferred[None]:
        self.measures.record_epoch_change(change="lost")
        logs.write("cell given up", cell=name)
        self._chooser.discard_stale()
        return defer.ensureDeferred(self._cells.lose(name))

    def _cell_failed(self, owned: cell_set.OwnedCell, error: errors.EbonyhatchError) -> None:
        logs.write("cell failed", cell=owned.name, epoch=owned.epoch, error=str(error))

    def _cell_event(self, kind: str, fields: dict[str, Any]) -> None:
        logs.write(kind, entry_id=self._settings.entry.id, **fields)

    def _set_gauges(self) -> None:
        gauges.set_all(
            measures=self.measures,
            cell_views=[serving.view() for serving in self._cells.serving.values()],
            configured=self._configuration,
            gossiper=self._gossiper,
            store_age_s=self._health.age_s,
        )
        budget = self._supervisor.budget
        self.measures.set_callers(connections=len(budget), held_bytes=budget.held_bytes)

    def _admin_root(self) -> resource.Resource:
        operators = admin.Admin(
            configuration=self._configuration,
            view=self._view,
            access=access.Access(token_sha256=self._settings.access.token_sha256),
        )
        return observation.Observation(
            metrics=self.measures.render_cooperatively,
            readiness=self.readiness,
            fallback=operators.app.resource(),
        ).app.resource()

    def _listen(self, endpoint: settings.Endpoint, root: resource.Resource) -> None:
        site = http_server.bounded_site(
            root=root,
            body_limit_bytes=self._settings.limits.body_bytes,
            supervisor=self._supervisor,
        )
        self._http_ports.append(
            bounded_channel.listen(
                reactor=self._reactor,
                supervisor=self._supervisor,
                factory=site,
                host=endpoint.host,
                port=endpoint.port,
                backlog=LISTEN_BACKLOG,
            )
        )

    def _count_refusals(
        self,
        counts: Mapping[request_budget.Cause, int],
        supervisor: bounded_channel.Supervisor,
    ) -> None:
        for cause, count in counts.items():
            self.measures.record_refusal(
                reason=cause.value, outcome=commands.Outcome.NOT_RUN, count=count
            )

    def _port_of(self, index: int) -> int:
        if index >= len(self._http_ports):
            return 0
        return int(self._http_ports[index].getHost().port)


def _peer_address(entry: instances.Instance, *, near: bool) -> peers.PeerAddress:
    return peers.PeerAddress(
        entry_id=entry.instance_id, host=entry.host, port=entry.port, near=near
    )


def _key_ring(chosen: settings.Keys | None) -> keys.KeyRing | None:
    if chosen is None:
        return None
    pair = keys.KeyPair(public=chosen.public, secret=chosen.secret)
    return keys.KeyRing(pair=pair, peers=chosen.peers)
