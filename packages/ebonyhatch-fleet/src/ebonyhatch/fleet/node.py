"""One entry of the fleet (an instance that runs the daemon), assembled from its components."""

from __future__ import annotations

import os
import random
import time

import msgspec
from ebonyhatch.fleet import (
    admission,
    call_counts,
    clocks,
    configuration_exchange,
    configuration_source,
    decision_log,
    entry,
    load_report,
    loop_delay,
    messages,
    metrics,
    neighbours,
    ownership,
    poll_pace,
    queues,
    store,
    supervision,
    target_list,
    targets,
)
from ebonyhatch.fleet import network as network_module
from ebonyhatch.fleet import owner as owner_module
from ebonyhatch.fleet.budget import ledger
from ebonyhatch.fleet.evacuation import requests as evacuation_requests
from ebonyhatch.fleet.lookahead import policy
from ebonyhatch.node import coroutines, peers
from returns import result

LOAD_NOTICE_INTERVAL_S = 0.25
"""Time between two load notices of the owner, seconds."""

LINK_BYTES_PER_CORE = 3_000_000
"""Traffic of an owner that keeps one core busy, bytes a second."""

QUEUED_LINK_BYTES = 250_000
"""Bytes that may be queued on an instance's link at once: a burst of polls and orders, and parts of
a listing."""

OWNER_REVIEW_INTERVAL_S = 0.5
"""Time between two checks of whether this owner should yield, seconds."""

NO_PROGRESS_S = 4.0
"""Time in which no part of its recovery arrives after which an owner yields, seconds, beside the time
that a page takes on half of the link: the store may be slow to begin an answer."""

PAGE_BYTES = 1_400_000
"""Largest page of a listing on the link, bytes."""

MIN_REACHED_FRACTION = 0.25
"""Fraction of the targets below which an owner takes its own connection to be at fault."""

FEW_TARGETS_S = 4.0
"""Time for which an owner reaches fewer targets before it yields, seconds: longer than a fault of
the links that ends by itself, and much longer than polls take to time out."""

PROBED_TARGETS = 5
"""Number of targets that an entry polls before it accepts the ownership again."""

PROBE_INTERVAL_S = 5.0
"""Time between two such attempts, seconds."""

FLUSH_TIMEOUT_S = 1.0
"""Timeout of the last write of an owner that hands over, seconds."""


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of an entry.

    Attributes:
        name: Name of the entry, unique among the entries.
        host: IP address for peers.
        port: TCP port for peers.
        lease_s: Maximum lease that targets grant to runs, seconds.
        keep_ended_s: Time for which ended jobs are kept, seconds.
        processor_cores: Processor capacity of the instance, cores; 0 where it is unknown.
        link_bytes_per_s: Bandwidth of the instance's link, bytes a second; 0 where it is unknown.
        memory_bytes: Memory of the instance, bytes; 0 where it is unknown.
        learn_target_speed: Whether the owner learns which targets are slow and gives them less work.
        refuse_late_work: Whether entries refuse jobs that would start too late to be useful.
        placement_policy: Name of the policy by which an owner places tasks; see `lookahead.policy`.
    """

    name: str
    host: str
    port: int
    lease_s: float
    keep_ended_s: float = 600.0
    processor_cores: float = 0.0
    link_bytes_per_s: float = 0.0
    memory_bytes: float = 0.0
    learn_target_speed: bool = False
    refuse_late_work: bool = False
    placement_policy: str = policy.DEFAULT

    @property
    def capacity(self) -> float:
        """Capacity as an owner relative to other instances; the scarcer resource counts."""
        limits = []
        if self.processor_cores:
            limits.append(self.processor_cores)
        if self.link_bytes_per_s:
            limits.append(self.link_bytes_per_s / LINK_BYTES_PER_CORE)
        return round(min(limits, default=0.0), 3)

    @property
    def job_budget_bytes(self) -> int:
        """Memory for accepted jobs, bytes."""
        return ledger.budget_bytes(self.memory_bytes)

    @property
    def link_delay_s(self) -> float:
        """Time for which a call may wait on the link behind others, seconds."""
        return QUEUED_LINK_BYTES / self.link_bytes_per_s if self.link_bytes_per_s else 0.0


class Node:
    """An entry, from `start` until `close`: callers, peers, configuration, ownership and owner."""

    def __init__(
        self,
        *,
        all_clocks: clocks.Clocks,
        settings: Settings,
        network: network_module.Network,
        store_port: store.Store,
        targets_port: targets.Targets,
        target_codec: target_list.TargetCodec,
        codec: configuration_source.Codec,
        evacuation_codec: evacuation_requests.Codec | None = None,
        calls: call_counts.CallSource = call_counts.no_calls,
        caller_gauges: metrics.GaugeSource = dict,
    ) -> None:
        self._caller_gauges = caller_gauges
        self._settings = settings
        self._store = store_port
        self._targets = targets_port
        self._target_codec = target_codec
        self._clocks = all_clocks
        self._group = coroutines.CoroutineGroup(clock=all_clocks.loop)
        self._network = network
        self._load = admission.QueueLoad()
        self._poll_pace = poll_pace.PollPace(
            all_clocks=all_clocks,
            loop_delay_s=lambda: self._loop_delay.recent_s,
            link_bytes=lambda: call_counts.link_bytes(calls()),
            link_bytes_per_s=settings.link_bytes_per_s,
        )
        self._neighbours: tuple[str, ...] = ()
        self._owner: owner_module.Owner | None = None
        self._closing = False
        self._few_targets_since: float | None = None
        self._probed_targets: tuple[targets.Target, ...] = ()
        self._next_probe_at = 0.0
        self._random = random.Random(int.from_bytes(os.urandom(8), "big"))
        self._members = ownership.Ownership(
            entry=ownership.EntryRecord(
                name=settings.name,
                incarnation=os.urandom(8).hex(),
                host=settings.host,
                port=settings.port,
                capacity=settings.capacity,
            ),
            link_delay_s=settings.link_delay_s,
            granted_lease_s=settings.lease_s,
            store_port=store_port,
            all_clocks=self._clocks,
            on_gained=self._on_gained,
            on_lost=self._on_lost,
            on_entries=self._set_peers,
        )
        self._configuration = configuration_source.ConfigurationSource(
            store_port=store_port,
            codec=codec,
            all_clocks=self._clocks,
            group=self._group,
            on_change=self._on_configuration_changed,
        )
        self._evacuations = evacuation_requests.EvacuationRequests(
            store_port=store_port,
            codec=evacuation_codec,
            all_clocks=self._clocks,
            group=self._group,
            is_owner=lambda: self._owner is not None,
            on_change=self._on_evacuations_changed,
        )
        self._exchange = configuration_exchange.ConfigurationExchange(
            neighbours=lambda: self._neighbours,
            network=self._network,
            group=self._group,
            source=self._configuration,
            seed=int.from_bytes(os.urandom(8), "big"),
        )
        self._loop_delay = loop_delay.LoopDelay(all_clocks=all_clocks)
        self._metrics = metrics.Metrics(gauges=self._gauges, calls=calls)
        self._load_report = load_report.LoadReport(
            all_clocks=all_clocks, gauges=self._gauges, calls=calls, group=self._group
        )
        self._entry = entry.Entry(
            name=settings.name,
            store_port=store_port,
            network=self._network,
            members=self._members,
            all_clocks=self._clocks,
            local_owner=lambda: self._owner,
            neighbours=lambda: self._neighbours,
            load=self._load,
            job_budget_bytes=settings.job_budget_bytes,
            seed=int.from_bytes(os.urandom(8), "big"),
        )

    @property
    def entry(self) -> entry.Entry:
        """Component that serves callers."""
        return self._entry

    @property
    def configuration(self) -> queues.Configuration | None:
        """Configuration in force; None before the first one."""
        return self._configuration.current

    @property
    def owner(self) -> owner_module.Owner | None:
        """The owner, if this entry acts as the owner; else None."""
        return self._owner

    @property
    def ready(self) -> bool:
        """Whether this entry should receive calls."""
        return (
            not self._closing
            and self._configuration.current is not None
            and self._configuration.listed
            and self._members.membership_read
        )

    @property
    def metrics(self) -> metrics.Metrics:
        """Metrics of this entry."""
        return self._metrics

    @property
    def clocks(self) -> clocks.Clocks:
        """Clocks of this process."""
        return self._clocks

    @property
    def _no_progress_s(self) -> float:
        link = self._settings.link_bytes_per_s
        return NO_PROGRESS_S + (2 * PAGE_BYTES / link if link else 0.0)

    def start(self) -> None:
        """Starts all components."""
        self._metrics.start()
        self._loop_delay.start()
        self._load_report.start()
        self._network.handle(messages.LoadNotice, self._on_load_notice)
        self._network.start()
        self._entry.start()
        self._exchange.start()
        self._configuration.start()
        self._evacuations.start()
        self._members.start()
        supervision.spawn(self._group, "load-notices", self._report_load)
        supervision.spawn(self._group, "ownership-review", self._review_ownership)

    async def hand_over(self) -> None:
        """Reports this entry as not ready and hands its ownership over; calls are still served."""
        self._closing = True
        self._members.resign()
        local_owner = self._owner
        if local_owner is not None:
            await local_owner.flush(limit_s=FLUSH_TIMEOUT_S)
            self._members.relinquish("planned stop", term=local_owner.term)
        await self._members.leave()

    def close(self) -> None:
        """Stops all components."""
        self._group.close()
        self._members.close()
        if self._owner is not None:
            self._owner.close()
            self._owner = None
        self._entry.close()
        self._network.close()
        self._loop_delay.close()
        self._metrics.close()

    def _gauges(self) -> dict[str, float]:
        current = self._configuration.current
        state = {
            "is_owner": float(self._owner is not None),
            "term": 0 if self._owner is None else self._owner.term,
            "configuration_version": 0 if current is None else current.version,
            "configuration_silent_seconds": self._configuration.silent_s,
            "store_silent_seconds": self._members.store_unresponsive_s,
            "entries": len(self._members.entries),
            "peer_connections": self._network.connections,
            "poll_pause_seconds": self._poll_pace.pause_s(),
            "estimated_wait_seconds": self._load.longest_wait_s(now=self._clocks.now()),
            "loop_delay_seconds": self._loop_delay.recent_s,
            "process_cpu_seconds": time.process_time(),
        }
        state |= self._caller_gauges()
        return state if self._owner is None else state | self._owner.gauges()

    def _on_gained(self, head: ownership.Head, revision: int) -> None:
        self._few_targets_since = None
        new_owner = owner_module.Owner(
            term=head.term,
            head_revision=revision,
            store_port=self._store,
            targets_port=self._targets,
            target_codec=self._target_codec,
            evacuations=self._evacuations,
            all_clocks=self._clocks,
            granted_lease_s=self._settings.lease_s,
            former_lease_s=head.lease_s,
            keep_ended_s=self._settings.keep_ended_s,
            entry_lease_s=self._members.lease_ttl_s,
            lease_valid=lambda: self._members.term_valid,
            store_reachable=lambda: self._members.store_reachable,
            on_superseded=lambda reason: self._on_superseded(new_owner, reason),
            poll_pause_s=self._poll_pace.pause_s,
            silent=self._members.silent,
            job_budget_bytes=self._settings.job_budget_bytes,
            term_beginnings=self._members.term_beginnings,
            link_bytes_per_s=self._settings.link_bytes_per_s,
            learn_target_speed=self._settings.learn_target_speed,
            refuse_late_work=self._settings.refuse_late_work,
            placement_policy=self._settings.placement_policy,
        )
        self._owner = new_owner
        configuration = self._configuration.current or queues.Configuration(version=0)
        new_owner.start(configuration=configuration)

    async def _review_ownership(self) -> None:
        """Yields the ownership to a larger entry, or if this owner makes no progress."""
        while True:
            await self._group.sleep(OWNER_REVIEW_INTERVAL_S)
            local_owner = self._owner
            if local_owner is None or self._closing:
                self._few_targets_since = None
                if self._members.may_accept and self._clocks.now() >= self._next_probe_at:
                    self._next_probe_at = self._clocks.now() + PROBE_INTERVAL_S
                    self._group.spawn(self._review_decline())
                continue
            few_targets_s = self._few_targets_s(local_owner)
            if self._members.should_yield():
                reason, gives_up = "an entry of more capacity is present", False
            elif self._members.may_yield and local_owner.stalled_s > self._no_progress_s:
                reason, gives_up = "the recovery makes no progress", True
                self._probed_targets = ()
            elif self._members.may_yield_for_targets and few_targets_s > FEW_TARGETS_S:
                reason, gives_up = "few targets can be reached", True
                self._probed_targets = self._sample(local_owner.listed_targets)
            else:
                continue
            decision_log.write("owner.yields", term=local_owner.term, reason=reason)
            await local_owner.flush(limit_s=FLUSH_TIMEOUT_S)
            if local_owner is self._owner:
                await self._members.yield_ownership(reason, gives_up=gives_up)

    def _sample(self, listed: tuple[targets.Target, ...]) -> tuple[targets.Target, ...]:
        return tuple(self._random.sample(listed, min(len(listed), PROBED_TARGETS)))

    async def _review_decline(self) -> None:
        """Accepts the ownership again if most of some targets of the last term answer."""
        probed = self._probed_targets
        answered = [await self._answers(target) for target in probed]
        if probed is self._probed_targets and 2 * sum(answered) >= len(answered):
            self._members.accept_again()

    async def _answers(self, target: targets.Target) -> bool:
        """Returns whether a target answers; the poll changes nothing under an outdated token."""
        polled = await self._targets.renew_and_poll(
            target=target, fence=0, acknowledged=0, deadline_s=0.0, wait_s=0.0
        )
        return isinstance(polled, result.Success) or isinstance(
            polled.failure(), targets.RefusedError
        )

    def _few_targets_s(self, local_owner: owner_module.Owner) -> float:
        """Returns for how long the owner has reached few targets, seconds."""
        now = self._clocks.now()
        if local_owner.reached_fraction >= MIN_REACHED_FRACTION:
            self._few_targets_since = None
        elif self._few_targets_since is None:
            self._few_targets_since = now
        return 0.0 if self._few_targets_since is None else now - self._few_targets_since

    def _on_superseded(self, owner: owner_module.Owner, reason: str) -> None:
        """Stops the current owner; a late report about an earlier owner has no effect."""
        if owner is self._owner:
            self._members.relinquish(reason, term=owner.term)

    def _on_lost(self, reason: str) -> None:
        if self._owner is not None:
            self._owner.close()
            self._owner = None

    def _set_peers(self, entries: tuple[ownership.EntryRecord, ...]) -> None:
        """Keeps connections to the neighbours and to the owner, which every entry calls."""
        self._neighbours = neighbours.neighbours(
            self._settings.name, (record.name for record in entries)
        )
        owner = self._members.owner
        self._network.set_peers(
            linked=self._neighbours if owner is None else (*self._neighbours, owner.name),
            peers=tuple(
                peers.PeerAddress(entry_id=record.name, host=record.host, port=record.port)
                for record in entries
            ),
        )

    def _on_configuration_changed(self, configuration: queues.Configuration) -> None:
        if self._owner is not None:
            self._owner.set_configuration(configuration)
        self._exchange.announce(configuration)

    def _on_evacuations_changed(self) -> None:
        if self._owner is not None:
            self._owner.apply_evacuations()

    def _on_load_notice(self, sender: str, notice: messages.LoadNotice) -> None:
        self._load.update(term=notice.term, waits_s=notice.waits_s, now=self._clocks.now())
        self._entry.gate.report_use(notice.memory_used)

    async def _report_load(self) -> None:
        """Sends the load while there is any, and once when there is none any more."""
        reported = False
        while True:
            await self._group.sleep(LOAD_NOTICE_INTERVAL_S)
            local_owner = self._owner
            if local_owner is None or not local_owner.recovered:
                continue
            notice = messages.LoadNotice(
                term=local_owner.term,
                waits_s=local_owner.waits_s(),
                memory_used=round(local_owner.accounts.ledger.used_share, 3),
            )
            loaded = bool(notice.waits_s) or notice.memory_used >= ledger.REPORTED_SHARE
            if not loaded and not reported:
                continue
            reported = loaded
            self._on_load_notice(self._settings.name, notice)
            for peer in self._network.peers:
                self._network.send(entry_id=peer.entry_id, message=notice)
