"""Which cells this entry owns: one record in the store, changed by compare-and-swap."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

import msgspec
from ebonyhatch.core import errors, rendezvous
from ebonyhatch.node import (
    coroutines,
    held_cells,
    membership,
    ownership_plan,
    ownership_record,
    shared_record,
    silent_members,
)
from ebonyhatch.ports import backoff, store, timing
from returns import result
from twisted.internet import defer

Member = ownership_record.Member
Owner = ownership_record.Owner

ROUND_S = 1.0
"""Time between two rounds of looking after members and cells, seconds."""

STABLE_S = 5.0
"""Time for which an entry must have been seen before cells are moved to it, seconds."""

START_TIMEOUT_S = 10.0
"""Time after which `start` answers that the store doesn't, seconds."""

HAND_OVER_TIMEOUT_S = 5.0
"""Longest wait for the store while cells are given away on closing, seconds."""


class NotJoinedError(errors.EbonyhatchError):
    """The entry could not join yet."""

    def __init__(self) -> None:
        super().__init__(
            problem=f"the store did not answer within {START_TIMEOUT_S} s",
            remedy="check that the store can be reached; the entry goes on trying",
        )


StartOutcome = defer.Deferred[result.Result[None, errors.EbonyhatchError]]


class Ownership:
    """Joins the entries, owns cells, hands them on, and takes over those of gone entries."""

    def __init__(
        self,
        *,
        member: Member,
        store: store.Store,
        clock: timing.Clock,
        seed: int,
        domains: Callable[[], tuple[str, ...]],
        cells_per_domain: int,
        is_silent: Callable[[str], bool],
        on_gain: Callable[[str, int], None],
        on_loss: Callable[[str], defer.Deferred[None]],
    ) -> None:
        self._member = member
        self._store = store
        self._clock = clock
        self._random = random.Random(f"{seed}/{member.entry_id}/ownership")
        self._domains = domains
        self._cells_per_domain = cells_per_domain
        self._is_silent = is_silent
        self._group = coroutines.CoroutineGroup(clock=clock)
        self._shared = shared_record.SharedRecord(
            store_port=store,
            group=self._group,
            generator=self._random,
            writer=member.entry_id,
            on_change=self._follow,
        )
        self._membership = membership.Membership(
            entry_id=member.entry_id,
            store_port=store,
            clock=clock,
            group=self._group,
            generator=self._random,
            on_established=self._take_lease,
        )
        self._silent = silent_members.SilentMembers(
            store_port=store, clock=clock, generator=self._random
        )
        self._held = held_cells.HeldCells(on_gain=on_gain, on_loss=on_loss)
        self._seen_since: dict[tuple[str, str], float] = {}
        self._entered_lease = ""
        self._started: StartOutcome = defer.Deferred()
        self._closing = False

    @property
    def owners(self) -> Mapping[str, Owner]:
        """Owners by cell, by the newest record that is known from anywhere."""
        return self._shared.newest.record.cells

    @property
    def members(self) -> Mapping[str, Member]:
        """Entries by id, by the newest record that is known from anywhere."""
        return self._shared.newest.record.members

    @property
    def version(self) -> int:
        """Version of the newest record that is known from anywhere."""
        return self._shared.newest.version

    @property
    def record(self) -> bytes:
        """The newest record that is known from anywhere, as the store holds it."""
        return self._shared.newest.value

    @property
    def cells_per_domain(self) -> int:
        """Cells of each failure domain that all entries use; 0 before it is known."""
        return self._shared.newest.record.cells_per_domain

    @property
    def _record(self) -> ownership_record.Record:
        return self._shared.stored

    @property
    def held(self) -> Mapping[str, int]:
        """Epochs of the cells that this entry owns."""
        return self._held.epochs

    @property
    def fault(self) -> errors.EbonyhatchError | None:
        """Why the record can't be read, if so."""
        return self._shared.fault

    def start(self) -> StartOutcome:
        """Join; fires once this entry is in the record, or after a while without the store."""
        self._membership.start()
        self._shared.start()
        self._group.spawn(self._look_after())
        self._group.spawn(self._give_up_start())
        return self._started

    def close(self) -> defer.Deferred[None]:
        """Hand all cells on, leave the record and end the lease."""
        return defer.Deferred.fromCoroutine(self._close())

    def lease_valid(self) -> bool:
        """Whether the lease runs and the record names this process since it was granted."""
        entered = self._entered_lease == self._membership.lease_id
        return entered and self._membership.valid

    def offer(self, *, version: int, record: bytes) -> None:
        """Take a record from a peer, if it is newer: for routing, and to stop acting."""
        newer = self._shared.offer(version=version, value=record)
        if newer is not None:
            self._held.stop_superseded(newer, entry_id=self._member.entry_id)

    def _take_lease(self, lease_id: str) -> None:
        if not self._member.incarnation:
            self._member = msgspec.structs.replace(self._member, incarnation=lease_id)
        self._member = msgspec.structs.replace(self._member, lease_id=lease_id)
        self._group.spawn(self._join())

    async def _give_up_start(self) -> None:
        await self._group.sleep(START_TIMEOUT_S)
        if not self._started.called:
            self._started.callback(result.Failure(NotJoinedError()))

    async def _join(self) -> None:
        """Enter this process and its lease into the record."""
        delays = backoff.Backoff(generator=self._random)
        await self._shared.refresh()
        while not self._closing and not self._entered():
            await self._shared.change(self._with_self)
            if not self._entered():
                await self._group.sleep(delays.next_s())
        if not self._started.called:
            self._started.callback(result.Success(None))

    def _entered(self) -> bool:
        return self._record.members.get(self._member.entry_id) == self._member

    def _with_self(self, record: ownership_record.Record) -> ownership_record.Record:
        if not record.cells_per_domain:
            record = msgspec.structs.replace(record, cells_per_domain=self._cells_per_domain)
        return ownership_record.with_member(record, self._member)

    def _follow(self) -> None:
        """Act on a newer record from the store."""
        self._note_members()
        if self._entered():
            self._entered_lease = self._member.lease_id
        self._held.follow(self._record, member=self._member)

    def _note_members(self) -> None:
        now = self._clock.seconds()
        present = {
            (member.entry_id, member.incarnation) for member in self._record.members.values()
        }
        self._seen_since = {key: self._seen_since.get(key, now) for key in present}

    async def _look_after(self) -> None:
        """Go round after round; the first one is delayed by chance, so that entries spread."""
        await self._group.sleep(ROUND_S * self._random.random())
        while True:
            if self._entered() and not self._closing:
                await self._round()
            await self._group.sleep(ROUND_S)

    async def _round(self) -> None:
        silent = {
            name
            for name in self._record.members
            if name != self._member.entry_id and self._is_silent(name)
        }
        self._silent.set(silent)
        await self._silent.look()
        if self._closing or not self._entered():
            return
        rank = self._rank(silent)
        await self._take_over(self._silent.ready(rank=rank), silent)
        if self._closing:
            return
        await self._assign_free(silent, rank=rank)
        await self._move_one(silent)

    def _rank(self, silent: set[str]) -> int:
        """Place of this entry among those that may take cells over."""
        live = [name for name in self._record.members if name not in silent]
        return rendezvous.ranked(key=ownership_record.KEY, candidates=live).index(
            self._member.entry_id
        )

    async def _take_over(self, gone: list[str], silent: set[str]) -> None:
        """Give the cells of gone entries to live ones, by one swap."""
        version = self._shared.version
        proved = {name for name in gone if await self._silent.prove_gone(name)}
        if not proved:
            return

        def change(record: ownership_record.Record) -> ownership_record.Record:
            struck = ownership_record.without_members(record, proved)
            cells = ownership_plan.ownerless_cells(struck)
            candidates = self._candidates(silent) or {self._member.entry_id}
            return ownership_plan.assign(struck, cells=cells, candidates=candidates)

        await self._shared.change(change, version=version)

    async def _assign_free(self, silent: set[str], *, rank: int) -> None:
        """Give cells that are new or nobody's to entries; the first entry does it."""
        free = ownership_plan.missing_cells(self._record, domains=self._domains())
        free += ownership_plan.ownerless_cells(self._record)
        if not free or rank > 0:
            return
        candidates = self._candidates(silent) or {self._member.entry_id}

        def change(record: ownership_record.Record) -> ownership_record.Record:
            return ownership_plan.assign(record, cells=free, candidates=candidates)

        await self._shared.change(change, version=self._shared.version)

    async def _move_one(self, silent: set[str]) -> None:
        """Hand one cell to the entry that should own it, if that one has been there a while."""
        candidates = self._candidates(silent)
        if self._closing or not self.lease_valid() or self._member.entry_id not in candidates:
            return
        move = ownership_plan.next_move(
            self._record, entry_id=self._member.entry_id, candidates=candidates
        )
        if move is not None:
            await self._held.release(move[0])
            await self._give_away([move[0]], candidates=candidates)

    def _candidates(self, silent: set[str]) -> set[str]:
        """Entries that may get cells: present for a while, not silent, not draining."""
        limit = self._clock.seconds() - STABLE_S
        return {
            member.entry_id
            for member in self._record.members.values()
            if member.entry_id not in silent
            and not member.draining
            and self._seen_since.get((member.entry_id, member.incarnation), limit + 1) <= limit
        }

    async def _give_away(self, cells: list[str], *, candidates: set[str]) -> None:
        """Write new owners of released cells; repeated until that is certain."""
        delays = backoff.Backoff(generator=self._random)

        def change(record: ownership_record.Record) -> ownership_record.Record:
            ours = [cell for cell in cells if self._owns(record, cell)]
            return ownership_plan.assign(record, cells=ours, candidates=candidates)

        while any(self._owns(self._record, cell) for cell in cells):
            if await self._shared.change(change):
                return
            await self._group.sleep(delays.next_s())

    def _owns(self, record: ownership_record.Record, cell: str) -> bool:
        owner = record.cells.get(cell)
        return owner is not None and owner.entry_id == self._member.entry_id

    async def _close(self) -> None:
        self._closing = True
        if self._entered():
            self._group.spawn(self._shared.change(self._with_draining))
        await self._held.release_all()
        leaving: defer.Deferred[None] = defer.Deferred()
        self._group.spawn(self._leave(leaving))
        timer = self._clock.callLater(HAND_OVER_TIMEOUT_S, _fire, leaving)
        await leaving
        if timer.active():
            timer.cancel()
        self._group.close()

    def _with_draining(self, record: ownership_record.Record) -> ownership_record.Record:
        self._member = msgspec.structs.replace(self._member, draining=True)
        return ownership_record.with_member(record, self._member)

    async def _leave(self, left: defer.Deferred[None]) -> None:
        """Give everything to the others, strike this entry, end the lease."""
        delays = backoff.Backoff(generator=self._random)
        while self._member.entry_id in self._record.members:
            if not await self._shared.change(self._without_self):
                await self._group.sleep(delays.next_s())
        await self._membership.revoke()
        _fire(left)

    def _without_self(self, record: ownership_record.Record) -> ownership_record.Record:
        cells = [cell for cell in record.cells if self._owns(record, cell)]
        struck = ownership_record.without_members(record, {self._member.entry_id})
        for cell in cells:
            struck = ownership_record.with_owner(struck, cell, ownership_record.NOBODY)
        silent = {name for name in struck.members if self._is_silent(name)}
        live = set(struck.members) - silent
        return ownership_plan.assign(struck, cells=cells, candidates=live)


def _fire(waiting: defer.Deferred[None]) -> None:
    if not waiting.called:
        waiting.callback(None)
