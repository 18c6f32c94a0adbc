"""Ownership of cells by entries: one record in the store, changed by compare-and-swap.

An entry is an instance that runs the daemon; each cell is owned by one entry at a time.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

import msgspec
from ebonyhatch.core import errors, rendezvous
from ebonyhatch.node import (
    cell_claims,
    coroutines,
    failure_detector,
    membership,
    ownership_cache,
    ownership_plan,
    ownership_record,
)
from ebonyhatch.ports import backoff, store, timing
from returns import result
from twisted.internet import defer

Member = ownership_record.Member
Owner = ownership_record.Owner

ROUND_S = 1.0
"""Interval at which members and cells are checked, seconds."""

MIN_PRESENCE_S = 5.0
"""Time for which an entry must have been in the record before it gets cells, seconds."""

START_TIMEOUT_S = 10.0
"""Time limit for `start` to add this entry to the record, seconds; it then fails, and the entry
keeps trying to join."""

HAND_OVER_TIMEOUT_S = 5.0
"""Maximum wait for the store while cells are handed over on closing, seconds."""


class NotJoinedError(errors.EbonyhatchError):
    """The entry was not in the record after `START_TIMEOUT_S`."""

    def __init__(self) -> None:
        super().__init__(
            problem=f"the entry could not join: not in the store's record after {START_TIMEOUT_S} s",
            remedy="check that the store can be reached; the entry keeps trying to join",
        )


StartOutcome = defer.Deferred[result.Result[None, errors.EbonyhatchError]]


class Ownership:
    """Registers this entry, claims and hands over cells, and takes over those of failed entries."""

    def __init__(
        self,
        *,
        member: Member,
        store: store.Store,
        clock: timing.Clock,
        seed: int,
        domains: Callable[[], tuple[str, ...]],
        cells_per_domain: int,
        is_unresponsive: Callable[[str], bool],
        on_gain: Callable[[str, int], None],
        on_loss: Callable[[str], defer.Deferred[None]],
    ) -> None:
        self._member = member
        self._store = store
        self._clock = clock
        self._random = random.Random(f"{seed}/{member.entry_id}/ownership")
        self._domains = domains
        self._cells_per_domain = cells_per_domain
        self._is_unresponsive = is_unresponsive
        self._group = coroutines.CoroutineGroup(clock=clock)
        self._cache = ownership_cache.OwnershipCache(
            store_port=store,
            group=self._group,
            generator=self._random,
            writer=member.entry_id,
            on_change=self._apply_record,
        )
        self._membership = membership.Membership(
            entry_id=member.entry_id,
            store_port=store,
            clock=clock,
            group=self._group,
            generator=self._random,
            on_established=self._adopt_lease,
        )
        self._failure_detector = failure_detector.FailureDetector(
            store_port=store, clock=clock, generator=self._random
        )
        self._claims = cell_claims.CellClaims(on_gain=on_gain, on_loss=on_loss)
        self._present_since: dict[tuple[str, str], float] = {}
        self._registered_lease = ""
        self._started: StartOutcome = defer.Deferred()
        self._closing = False

    @property
    def owners(self) -> Mapping[str, Owner]:
        """Owners by cell, from the newest record that the store or a peer has sent."""
        return self._cache.newest.record.cells

    @property
    def members(self) -> Mapping[str, Member]:
        """Entries by id, from the newest record that the store or a peer has sent."""
        return self._cache.newest.record.members

    @property
    def version(self) -> int:
        """Version of the newest record that the store or a peer has sent."""
        return self._cache.newest.version

    @property
    def record(self) -> bytes:
        """The newest record that the store or a peer has sent, encoded as in the store."""
        return self._cache.newest.value

    @property
    def cells_per_domain(self) -> int:
        """Number of cells per failure domain, the same for all entries; 0 before it is known."""
        return self._cache.newest.record.cells_per_domain

    @property
    def _record(self) -> ownership_record.Record:
        return self._cache.stored

    @property
    def owned_epochs(self) -> Mapping[str, int]:
        """Epochs of the cells that this entry owns."""
        return self._claims.epochs

    @property
    def fault(self) -> errors.EbonyhatchError | None:
        """Error that keeps the record from being read; None without one."""
        return self._cache.fault

    def start(self) -> StartOutcome:
        """Joins; fires once this entry is in the record, or fails after `START_TIMEOUT_S`."""
        self._membership.start()
        self._cache.start()
        self._group.spawn(self._monitor())
        self._group.spawn(self._time_out_start())
        return self._started

    def close(self) -> defer.Deferred[None]:
        """Hands all cells over, removes this entry from the record and revokes the lease."""
        return defer.Deferred.fromCoroutine(self._close())

    def lease_valid(self) -> bool:
        """Returns whether the lease is valid and the record has named this process under it."""
        registered = self._registered_lease == self._membership.lease_id
        return registered and self._membership.valid

    def offer(self, *, version: int, record: bytes) -> None:
        """Receives a peer's record; a newer one serves routing and stops superseded cells."""
        newer = self._cache.offer(version=version, value=record)
        if newer is not None:
            self._claims.stop_superseded(newer, entry_id=self._member.entry_id)

    def _adopt_lease(self, lease_id: str) -> None:
        if not self._member.incarnation:
            self._member = msgspec.structs.replace(self._member, incarnation=lease_id)
        self._member = msgspec.structs.replace(self._member, lease_id=lease_id)
        self._group.spawn(self._join())

    async def _time_out_start(self) -> None:
        await self._group.sleep(START_TIMEOUT_S)
        if not self._started.called:
            self._started.callback(result.Failure(NotJoinedError()))

    async def _join(self) -> None:
        """Writes this process and its lease into the record, and retries until it is there."""
        delays = backoff.Backoff(generator=self._random)
        await self._cache.refresh()
        while not self._closing and not self._is_registered():
            await self._cache.change(self._with_self)
            if not self._is_registered():
                await self._group.sleep(delays.next_s())
        if not self._started.called:
            self._started.callback(result.Success(None))

    def _is_registered(self) -> bool:
        return self._record.members.get(self._member.entry_id) == self._member

    def _with_self(self, record: ownership_record.Record) -> ownership_record.Record:
        if not record.cells_per_domain:
            record = msgspec.structs.replace(record, cells_per_domain=self._cells_per_domain)
        return ownership_record.with_member(record, self._member)

    def _apply_record(self) -> None:
        """Applies a newer record from the store."""
        self._track_members()
        if self._is_registered():
            self._registered_lease = self._member.lease_id
        self._claims.apply_record(self._record, member=self._member)

    def _track_members(self) -> None:
        now = self._clock.seconds()
        present = {
            (member.entry_id, member.incarnation) for member in self._record.members.values()
        }
        self._present_since = {key: self._present_since.get(key, now) for key in present}

    async def _monitor(self) -> None:
        """Runs rounds; a random delay of the first one spreads those of all entries in time."""
        await self._group.sleep(ROUND_S * self._random.random())
        while True:
            if self._is_registered() and not self._closing:
                await self._run_round()
            await self._group.sleep(ROUND_S)

    async def _run_round(self) -> None:
        unresponsive = {
            name
            for name in self._record.members
            if name != self._member.entry_id and self._is_unresponsive(name)
        }
        self._failure_detector.set_unresponsive(unresponsive)
        await self._failure_detector.poll()
        if self._closing or not self._is_registered():
            return
        rank = self._rank(unresponsive)
        await self._take_over(self._failure_detector.due_for_takeover(rank=rank), unresponsive)
        if self._closing:
            return
        await self._assign_unowned(unresponsive, rank=rank)
        await self._move_one(unresponsive)

    def _rank(self, unresponsive: set[str]) -> int:
        """Returns the position of this entry in the order in which responsive ones take over."""
        live = [name for name in self._record.members if name not in unresponsive]
        return rendezvous.ranked(key=ownership_record.KEY, candidates=live).index(
            self._member.entry_id
        )

    async def _take_over(self, absent: list[str], unresponsive: set[str]) -> None:
        """Assigns the cells of failed entries to live ones, by one compare-and-swap."""
        version = self._cache.version
        removed = {name for name in absent if await self._failure_detector.confirm_removed(name)}
        if not removed:
            return

        def change(record: ownership_record.Record) -> ownership_record.Record:
            pruned = ownership_record.without_members(record, removed)
            cells = ownership_plan.unowned_cells(pruned)
            candidates = self._candidates(unresponsive) or {self._member.entry_id}
            return ownership_plan.assign(pruned, cells=cells, candidates=candidates)

        await self._cache.change(change, version=version)

    async def _assign_unowned(self, unresponsive: set[str], *, rank: int) -> None:
        """Assigns cells that are new or without an owner; only the entry of rank 0 does it."""
        unowned = ownership_plan.missing_cells(self._record, domains=self._domains())
        unowned += ownership_plan.unowned_cells(self._record)
        if not unowned or rank > 0:
            return
        candidates = self._candidates(unresponsive) or {self._member.entry_id}

        def change(record: ownership_record.Record) -> ownership_record.Record:
            return ownership_plan.assign(record, cells=unowned, candidates=candidates)

        await self._cache.change(change, version=self._cache.version)

    async def _move_one(self, unresponsive: set[str]) -> None:
        """Hands one cell over to the entry that should own it, if that entry is a candidate."""
        candidates = self._candidates(unresponsive)
        if self._closing or not self.lease_valid() or self._member.entry_id not in candidates:
            return
        move = ownership_plan.next_move(
            self._record, entry_id=self._member.entry_id, candidates=candidates
        )
        if move is not None:
            await self._claims.release(move[0])
            await self._reassign([move[0]], candidates=candidates)

    def _candidates(self, unresponsive: set[str]) -> set[str]:
        """Returns the entries that may get cells.

        They have been in the record for `MIN_PRESENCE_S`, answer, and are not draining.
        """
        latest = self._clock.seconds() - MIN_PRESENCE_S
        return {
            member.entry_id
            for member in self._record.members.values()
            if member.entry_id not in unresponsive
            and not member.draining
            and self._present_since.get((member.entry_id, member.incarnation), latest + 1) <= latest
        }

    async def _reassign(self, cells: list[str], *, candidates: set[str]) -> None:
        """Writes the new owners of released cells, and retries until that is certain."""
        delays = backoff.Backoff(generator=self._random)

        def change(record: ownership_record.Record) -> ownership_record.Record:
            own_cells = [cell for cell in cells if self._owns(record, cell)]
            return ownership_plan.assign(record, cells=own_cells, candidates=candidates)

        while any(self._owns(self._record, cell) for cell in cells):
            if await self._cache.change(change):
                return
            await self._group.sleep(delays.next_s())

    def _owns(self, record: ownership_record.Record, cell: str) -> bool:
        owner = record.cells.get(cell)
        return owner is not None and owner.entry_id == self._member.entry_id

    async def _close(self) -> None:
        self._closing = True
        if self._is_registered():
            self._group.spawn(self._cache.change(self._with_draining))
        await self._claims.release_all()
        leaving: defer.Deferred[None] = defer.Deferred()
        self._group.spawn(self._leave(leaving))
        timer = self._clock.callLater(HAND_OVER_TIMEOUT_S, _complete, leaving)
        await leaving
        if timer.active():
            timer.cancel()
        self._group.close()

    def _with_draining(self, record: ownership_record.Record) -> ownership_record.Record:
        self._member = msgspec.structs.replace(self._member, draining=True)
        return ownership_record.with_member(record, self._member)

    async def _leave(self, done: defer.Deferred[None]) -> None:
        """Hands all cells over, removes this entry from the record, revokes the lease."""
        delays = backoff.Backoff(generator=self._random)
        while self._member.entry_id in self._record.members:
            if not await self._cache.change(self._without_self):
                await self._group.sleep(delays.next_s())
        await self._membership.revoke()
        _complete(done)

    def _without_self(self, record: ownership_record.Record) -> ownership_record.Record:
        cells = [cell for cell in record.cells if self._owns(record, cell)]
        pruned = ownership_record.without_members(record, {self._member.entry_id})
        for cell in cells:
            pruned = ownership_record.with_owner(pruned, cell, ownership_record.NO_OWNER)
        unresponsive = {name for name in pruned.members if self._is_unresponsive(name)}
        live = set(pruned.members) - unresponsive
        return ownership_plan.assign(pruned, cells=cells, candidates=live)


def _complete(waiting: defer.Deferred[None]) -> None:
    if not waiting.called:
        waiting.callback(None)
