"""A simulated entry: ownership, cells, and calls between entries, without sockets."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ebonyhatch.core import (
    commands,
    default_scheduler,  # noqa: F401  registers the policy
    entities,
    rendezvous,
    scheduler,
)
from ebonyhatch.core import configuration as configurations
from ebonyhatch.node import (
    cell,
    cell_status,
    configuration,
    messages,
    ownership,
    paced_store,
    remote_cells,
)
from ebonyhatch.ports import instances, memory_store, memory_workers, store_engine
from ebonyhatch.testing.histories import eviction, node_clock, node_ports
from twisted.internet import defer, task

SILENT_S = 1.5
"""Time without a heartbeat after which a peer counts as unresponsive, seconds."""

REPLY_MARGIN_S = 0.25
"""Time that a peer's reply may take beyond the request's own timeout, seconds."""

POLICY = "default"


class Entry:
    """The logic of one process; a restart is a kill of its clock and a new `Entry`."""

    def __init__(
        self,
        *,
        entry_id: str,
        failure_domain: str,
        base: task.Clock,
        engine: store_engine.StoreEngine,
        workers_engines: memory_workers.Engines,
        fenced: bool,
        seed: int,
        domains: tuple[str, ...],
        listed: Callable[[str], tuple[instances.Instance, ...]],
        in_force: configurations.InForce,
        others: remote_cells.RemoteCells,
    ) -> None:
        self.entry_id = entry_id
        self.clock = node_clock.NodeClock(base=base)
        generator = random.Random(f"{seed}/{entry_id}/network")
        self.to_store = node_ports.Network(base=base, clock=self.clock, generator=generator)
        self.to_workers = node_ports.Network(base=base, clock=self.clock, generator=generator)
        self.store = memory_store.MemoryStore(clock=base, engine=engine)
        self.workers = memory_workers.MemoryWorkers(
            clock=base, engines=workers_engines, fenced=fenced
        )
        self._seed = seed
        self._listed = listed
        self._in_force = in_force
        self._others = others
        self.workers_port = node_ports.NodeWorkers(inner=self.workers, network=self.to_workers)
        self.store_port = node_ports.NodeStore(inner=self.store, network=self.to_store)
        self._paced = paced_store.PacedStore(store_port=self.store_port, clock=self.clock)
        self.closing = False
        self.calls: set[str] = set()
        self.last_heartbeat_at: dict[str, float] = {}
        self.cells: dict[str, cell.Cell] = {}
        self.schedulers: dict[str, eviction.EvictingScheduler] = {}
        self.configuration = configuration.Configuration(
            store=self._paced,
            clock=self.clock,
            seed=generator.getrandbits(64) + int(base.seconds() * 1000),
            on_change=lambda in_force: None,
        )
        self._impaired_at = base.seconds()
        self.ownership = ownership.Ownership(
            member=ownership.Member(
                entry_id=entry_id,
                host="127.0.0.1",
                port=1,
                region="r",
                failure_domain=failure_domain,
            ),
            store=self._paced,
            clock=self.clock,
            seed=seed,
            domains=lambda: domains,
            cells_per_domain=1,
            is_unresponsive=self._is_unresponsive,
            on_gain=self._gain,
            on_loss=self._lose,
        )

    def start(self) -> None:
        """Joins the other entries."""
        self.ownership.start()
        self.configuration.start()
        self._refresh()

    def close(self) -> defer.Deferred[None]:
        """Stops as planned, handing over all cells."""
        self.closing = True
        return self.ownership.close()

    def reachable_for(self) -> float:
        """Returns for how long the configuration could be read without impairment, seconds.

        The source is the store, or a responsive peer while the watch is silent.
        """
        plain = type(self.store.faults)()
        impaired = self.to_store.jitter_s or self.to_store.repeat_fraction or self.to_store.delay_s
        unreachable = self.store_port.watch_silent and all(
            map(self._is_unresponsive, self.last_heartbeat_at)
        )
        if not self.clock.running or impaired or unreachable or self.store.faults != plain:
            self._impaired_at = self.clock.seconds()
        return self.clock.seconds() - self._impaired_at

    def receive_heartbeat(self, other: Entry) -> None:
        """Receives a peer's heartbeat, with the peer's ownership record and configuration."""
        self.clock.run(lambda: self._apply_heartbeat(other))

    def owner_of(self, name: str) -> str:
        """Returns the entry that owns a cell, as far as this entry knows; empty if none."""
        owner = self.ownership.owners.get(name)
        return owner.entry_id if owner else ""

    def home_cell(self, key: str) -> str:
        """Returns the home cell of a key, as far as this entry knows."""
        return rendezvous.home_cell(key, sorted(self.ownership.owners))

    def handle(self, call: messages.RequestCall) -> defer.Deferred[messages.RequestReply]:
        """Serves a request in a cell that this entry owns."""
        owned = self.cells.get(call.cell)
        if owned is None:
            return defer.succeed(refusal(call, "not-owner", commands.Outcome.NOT_RUN))
        return owned.request(call=call)

    def submit(self, job: entities.Job) -> defer.Deferred[messages.JobReply]:
        """Submits a job to its home cell, if this entry owns it."""
        owned = self.cells.get(self.home_cell(job.job_id))
        if owned is None:
            return defer.succeed(messages.JobReply(status=503, reason="not-owner"))
        return owned.submit(job=job)

    def cancel(self, job_id: str) -> defer.Deferred[messages.JobReply]:
        """Cancels a job in its home cell, if this entry owns it."""
        owned = self.cells.get(self.home_cell(job_id))
        if owned is None:
            return defer.succeed(messages.JobReply(status=503, reason="not-owner"))
        return owned.cancel(job_id=job_id)

    def acting(self, name: str) -> cell.Cell | None:
        """Returns the cell if this entry acts as its owner, else None."""
        owned = self.cells.get(name)
        if owned is None or owned.status().state is not cell_status.CellPhase.ACTIVE:
            return None
        return owned

    def _apply_heartbeat(self, other: Entry) -> None:
        self.last_heartbeat_at[other.entry_id] = self.clock.seconds()
        known = other.ownership
        self.ownership.offer(version=known.version, record=known.record)
        configured = other.configuration
        self.configuration.offer(generation=configured.generation, head=configured.head)

    def _is_unresponsive(self, entry_id: str) -> bool:
        return self.clock.seconds() - self.last_heartbeat_at.get(entry_id, 0.0) > SILENT_S

    def _gain(self, name: str, epoch: int) -> None:
        evicting_scheduler = eviction.EvictingScheduler(
            inner=scheduler.build(name=POLICY, seed=self._seed)
        )
        self.schedulers[name] = evicting_scheduler
        opened = cell.Cell(
            name=name,
            epoch=epoch,
            entry_id=self.entry_id,
            store=self._paced,
            workers_port=self.workers_port,
            scheduler=evicting_scheduler,
            clock=self.clock,
            may_act=self.ownership.lease_valid,
            others=self._others,
            seed=self._seed,
        )
        self.cells[name] = opened
        opened.set_configuration(in_force=self._in_force)
        opened.set_workers(instances=self._listed(name))
        opened.start()

    def _lose(self, name: str) -> defer.Deferred[None]:
        lost = self.cells[name]
        closed = lost.close()
        closed.addCallback(lambda _: self._forget(name, lost))
        return closed

    def _forget(self, name: str, lost: cell.Cell) -> None:
        if self.cells.get(name) is lost:
            del self.cells[name]

    def _refresh(self) -> None:
        for name, owned in self.cells.items():
            owned.set_workers(instances=self._listed(name))
        self.clock.callLater(1.0, self._refresh)


def refusal(
    call: messages.RequestCall, reason: str, outcome: commands.Outcome
) -> messages.RequestReply:
    """Builds a reply without a response of the service."""
    fields: dict[str, Any] = {"outcome": outcome, "reason": reason}
    return messages.RequestReply(request_id=call.request.request_id, **fields)
