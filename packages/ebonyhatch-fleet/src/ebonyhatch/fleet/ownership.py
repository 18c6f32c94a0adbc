"""Election of the owner: one entry at a time, by a key under its lease, with an increasing term.

An entry is an instance that runs the daemon. A term is the period of one owner.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import TypeVar

import msgspec
from ebonyhatch.fleet import (
    clocks,
    decision_log,
    decoding,
    keys,
    listing,
    silent_targets,
    store,
    supervision,
)
from ebonyhatch.fleet.takeover import leases
from ebonyhatch.node import coroutines
from returns import result

LEASE_TTL_S = 1.5
"""Duration of an entry's lease, seconds. A killed owner is replaced after it; see docs/design."""

LEASE_LINK_DELAYS = 2
"""Number of the link's delays by which a lease is longer: each of two attempts to renew it may wait
that long on a busy link."""

RENEW_INTERVAL_S = 0.4
"""Time between renewals, seconds. Three may be lost before the lease ends."""

LEASE_MARGIN_S = 0.1
"""Safety margin, seconds: an entry treats its lease as ended this long before it may end in the
store."""

WATCH_TIMEOUT_S = 3.0
"""Timeout of one watch, seconds; bounds how late an unresponsive connection is detected."""

RETRY_DELAY_S = 0.15
"""Delay before a failed call to the store is retried, seconds."""

OWNER_RETURN_S = 0.5
"""Time after the loss of its own lease during which an entry attempts no takeover, seconds. It is
longer than the retry delay of a renewal, so that the previous owner can return first."""

TAKEOVER_STAGGER_S = 0.12
"""Delay that each candidate adds to that of the candidate before it, seconds."""

MAX_TAKEOVER_DELAY_S = 1.2
"""Longest delay of a candidate, seconds; later candidates try at the same time, and one succeeds."""

YIELD_CAPACITY_RATIO = 2.0
"""Ratio of capacities from which an owner yields to a larger entry."""

YIELD_AFTER_S = 2.0
"""Time for which a larger entry has to be registered before the owner yields to it, seconds."""

MIN_YIELD_INTERVAL_S = 20.0
"""Minimum time between two times that an entry yields, seconds. An entry to which the ownership
returns sooner keeps it: the others didn't do better."""

MAX_DECLINE_S = 160.0
"""Longest time for which an entry that gave its term up publishes no capacity, seconds. The time
begins at `MIN_YIELD_INTERVAL_S` and doubles with each term that is given up."""


T = TypeVar("T")


class OwnerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Value of the owner's key."""

    name: str
    incarnation: str
    term: int


class EntryRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Value of an entry's key.

    Attributes:
        name: Name of the entry.
        incarnation: Random text that identifies the process.
        host: Host for its peers.
        port: Port for its peers.
        capacity: Capacity of the instance relative to others; 0 where it is unknown.
    """

    name: str
    incarnation: str
    host: str
    port: int
    capacity: float = 0.0


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """Value of the head key.

    Attributes:
        term: Term of the last writer.
        number: Number of its write.
        nonce: Random text, which together with term and number identifies the write.
        lease_s: Longest lease of runs that its owner, or one before, may have requested and that may
            be in force, seconds; 0 from an owner of a version that doesn't say it.
    """

    term: int
    number: int
    nonce: str
    lease_s: float = 0.0


class Ownership:
    """Maintains this entry's lease, watches the membership, and takes over if there is no owner."""

    def __init__(
        self,
        *,
        entry: EntryRecord,
        store_port: store.Store,
        all_clocks: clocks.Clocks,
        on_gained: Callable[[Head, int], None],
        on_lost: Callable[[str], None],
        on_entries: Callable[[tuple[EntryRecord, ...]], None],
        link_delay_s: float = 0.0,
        granted_lease_s: float = 0.0,
    ) -> None:
        self._entry = entry
        self._granted_lease_s = granted_lease_s
        self._published = entry
        self._declined_until = float("-inf")
        self._decline_s = MIN_YIELD_INTERVAL_S
        self._store = store_port
        self._clocks = all_clocks
        self._on_gained = on_gained
        self._on_lost = on_lost
        self._on_entries = on_entries
        self._lease_ttl_s = LEASE_TTL_S + LEASE_LINK_DELAYS * link_delay_s
        self._group = coroutines.CoroutineGroup(clock=all_clocks.loop)
        self._listings = listing.ListingReader(
            store_port=store_port, all_clocks=all_clocks, group=self._group
        )
        self._lease = 0
        self._registered_lease = 0
        self._owner_key_lease = 0
        self._registering = False
        self._lease_lost_at = float("-inf")
        self._joined_at = all_clocks.now()
        self._valid_until = 0.0
        self._entries: dict[str, EntryRecord] = {}
        self._entry_seen_at: dict[str, float] = {}
        self._yielded_at = float("-inf")
        self._owner: OwnerRecord | None = None
        self._membership_read = False
        self._leaving = False
        self._term = 0
        self._last_term = 0
        self._seen_term = 0
        self._seen_term_at = 0.0
        self._former_term_s = 0.0
        self._term_beginnings = silent_targets.TermBeginnings()
        self._silent = silent_targets.Inherited()
        self._last_renewal_succeeded = False
        self._store_answered_at = all_clocks.now()

    @property
    def owner(self) -> OwnerRecord | None:
        """Last known owner; None if there is none."""
        return self._owner

    @property
    def entries(self) -> dict[str, EntryRecord]:
        """Last known entries, by name."""
        return self._entries

    @property
    def membership_read(self) -> bool:
        """Whether the membership has been read at least once."""
        return self._membership_read

    @property
    def is_owner(self) -> bool:
        """Whether this entry acts as the owner."""
        return self._term > 0

    @property
    def term_beginnings(self) -> silent_targets.TermBeginnings:
        """When this entry first saw each term."""
        return self._term_beginnings

    @property
    def silent(self) -> silent_targets.Inherited:
        """Marks of silent targets that are stored for the term that this entry began last."""
        return self._silent

    @property
    def lease_ttl_s(self) -> float:
        """Duration of this entry's lease, seconds."""
        return self._lease_ttl_s

    @property
    def lease_valid(self) -> bool:
        """Whether the lease is certainly valid, by the clock that counts suspensions."""
        return self._clocks.boottime() < self._valid_until

    @property
    def term_valid(self) -> bool:
        """Whether the lease is certainly valid and the owner's key is known to be under it.

        After the end of a lease another entry may be the owner until the key is written again.
        """
        return self.lease_valid and self._owner_key_lease == self._lease

    @property
    def store_reachable(self) -> bool:
        """Whether the last renewal succeeded."""
        return self._last_renewal_succeeded

    @property
    def store_unresponsive_s(self) -> float:
        """Time for which the store has answered no renewal of this entry, seconds."""
        return 0.0 if self._leaving else self._clocks.now() - self._store_answered_at

    @property
    def may_yield(self) -> bool:
        """Whether this owner may yield: there are other entries, and it hasn't yielded recently."""
        return (
            self._term > 0
            and len(self._entries) > 1
            and self._clocks.now() - self._yielded_at >= MIN_YIELD_INTERVAL_S
        )

    @property
    def may_yield_for_targets(self) -> bool:
        """Whether this owner may yield because it reaches few targets.

        If the targets themselves are at fault, no entry does better: after two short terms the
        ownership stays where it is for a while.
        """
        term_s = self._clocks.now() - self._seen_term_at
        return (
            self.may_yield
            and self.term_valid
            and self.store_reachable
            and max(term_s, self._former_term_s) >= MIN_YIELD_INTERVAL_S
        )

    @property
    def declines(self) -> bool:
        """Whether this entry has given its term up and lets all others go first."""
        return self._published is not self._entry

    @property
    def may_accept(self) -> bool:
        """Whether an entry that declines has done so for long enough."""
        return self.declines and self._clocks.now() >= self._declined_until

    def start(self) -> None:
        """Joins the membership as a candidate."""
        self._store_answered_at = self._joined_at = self._clocks.now()
        supervision.spawn(self._group, "lease", self._maintain_lease)
        supervision.spawn(self._group, "membership", self._follow)

    def close(self) -> None:
        """Stops all work; the lease expires at the end of its duration."""
        self._group.close()

    def relinquish(self, reason: str, *, term: int) -> None:
        """Stops acting as the owner of a term; does nothing for any other term."""
        if self._term == term:
            decision_log.write("owner.lost", term=self._term, reason=reason)
            self._term = 0
            self._on_lost(reason)

    def should_yield(self) -> bool:
        """Returns whether this owner should yield to an entry of much more capacity."""
        now = self._clocks.now()
        return self.may_yield and any(
            record.capacity >= YIELD_CAPACITY_RATIO * self._entry.capacity
            and now - self._entry_seen_at.get(record.name, now) >= YIELD_AFTER_S
            for record in self._entries.values()
            if record.name != self._entry.name and record.capacity
        )

    async def yield_ownership(self, reason: str, *, gives_up: bool) -> None:
        """Stops acting as the owner and removes the owner's key; another entry takes over.

        An entry that gives up lets all others go first until `accept_again`: it publishes no
        capacity, so that no smaller entry yields to it.
        """
        self._yielded_at = self._clocks.now()
        if gives_up:
            self._decline()
        self.relinquish(reason, term=self._term)
        await self._remove_owner_key()

    def _decline(self) -> None:
        now = self._clocks.now()
        if now - self._declined_until > MAX_DECLINE_S:
            self._decline_s = MIN_YIELD_INTERVAL_S
        self._declined_until = now + self._decline_s
        self._decline_s = min(2 * self._decline_s, MAX_DECLINE_S)
        self._publish(msgspec.structs.replace(self._entry, capacity=0.0))

    def accept_again(self) -> None:
        """Publishes the entry's capacity again; what made it give its term up has passed."""
        if self.declines:
            decision_log.write("owner.accepts_again", capacity=self._entry.capacity)
            self._publish(self._entry)

    def _publish(self, record: EntryRecord) -> None:
        """Writes a record under the entry's key, with the next renewal of the lease."""
        self._published = record
        self._registered_lease = 0

    async def _remove_owner_key(self) -> None:
        """Removes the owner's key if it is this entry's."""
        read = await self._store.get(key=keys.OWNER)
        if isinstance(read, result.Failure):
            decision_log.write("owner.key_kept", reason=str(read.failure()))
            return
        item = read.unwrap()
        record = None if item is None else _decode_owner(item.value)
        if item is None or record is None or record.incarnation != self._entry.incarnation:
            return
        unchanged = store.Condition(key=keys.OWNER, revision=item.revision)
        removed = await self._store.commit(conditions=(unchanged,), removes=(keys.OWNER,))
        if isinstance(removed, result.Failure):
            decision_log.write("owner.key_kept", reason=str(removed.failure()))

    async def leave(self) -> None:
        """Revokes the lease, so that another entry can take over at once."""
        self._leaving = True
        if self._lease:
            await self._store.revoke(lease=self._lease)
        self._lease = 0

    def resign(self) -> None:
        """Stops this entry from becoming the owner from now on."""
        self._leaving = True

    async def _maintain_lease(self) -> None:
        while not self._leaving:
            await self._renew()
            await self._group.sleep(
                RENEW_INTERVAL_S if self._last_renewal_succeeded else RETRY_DELAY_S
            )

    async def _renew(self) -> None:
        sent_at = self._clocks.boottime()
        if not self._lease:
            granted = await self._store.grant(ttl_s=self._lease_ttl_s)
            if isinstance(granted, result.Success):
                self._lease = granted.unwrap().lease
                self._valid_until = sent_at + granted.unwrap().ttl_s - LEASE_MARGIN_S
                self._start_registration()
            self._record_renewal(granted)
            return
        renewed = await self._store.renew(lease=self._lease)
        if isinstance(renewed, result.Success):
            self._valid_until = sent_at + renewed.unwrap() - LEASE_MARGIN_S
            self._start_registration()
        elif isinstance(renewed.failure(), store.NoLeaseError):
            decision_log.write("lease.ended", lease=self._lease, owner=self.is_owner)
            self._lease = 0
            self._valid_until = 0.0
            self._lease_lost_at = self._clocks.now()
        self._record_renewal(renewed)

    def _record_renewal(self, outcome: result.Result[object, store.StoreError]) -> None:
        succeeded = isinstance(outcome, result.Success)
        if succeeded or isinstance(outcome.failure(), store.NoLeaseError):
            self._store_answered_at = self._clocks.now()
        if succeeded != self._last_renewal_succeeded:
            reason = "" if succeeded else str(outcome.failure())
            event = "dependency.back" if succeeded else "dependency.lost"
            decision_log.write(event, dependency="store", reason=reason)
        self._last_renewal_succeeded = succeeded

    def _start_registration(self) -> None:
        """Writes the entry's key unless it is written; renewals don't wait for that."""
        if self._registered_lease != self._lease and not self._registering:
            self._group.spawn(self._register())

    async def _register(self) -> None:
        """Writes the entry's key, and the owner's key if this entry acts as the owner."""
        lease = self._lease
        published = self._published
        value = msgspec.json.encode(published)
        put = store.Put(key=keys.entry(self._entry.name), value=value, lease=lease)
        self._registering = True
        try:
            written = await self._store.commit(puts=(put,))
        finally:
            self._registering = False
        if isinstance(written, result.Success):
            self._registered_lease = lease if published is self._published else 0
        else:
            decision_log.write("entry.not_registered", reason=str(written.failure()))
        if self._term:
            await self._reclaim_ownership()

    async def _reclaim_ownership(self) -> None:
        """Writes the owner's key again after its lease ended, unless the key exists."""
        lease = self._lease
        if not lease:
            return
        put = store.Put(key=keys.OWNER, value=self._owner_value(self._term), lease=lease)
        absent = store.Condition(key=keys.OWNER, revision=store.ABSENT)
        claimed = await self._store.commit(conditions=(absent,), puts=(put,))
        if isinstance(claimed, result.Success):
            self._owner_key_lease = lease
            return
        error = claimed.failure()
        if isinstance(error, store.ConflictError):
            self._check_competing_owner(error.items)

    def _check_competing_owner(self, items: tuple[store.Item, ...]) -> None:
        for item in items:
            record = _decode_owner(item.value) if item.key == keys.OWNER else None
            if record is None:
                continue
            if record.incarnation == self._entry.incarnation:
                self._owner_key_lease = item.lease
            else:
                self.relinquish("another entry is the owner", term=self._term)

    async def _follow(self) -> None:
        """Lists the membership, then watches it; lists it again after any failure."""
        while True:
            listed = await self._listings.read(keys.MEMBERSHIP)
            self._apply_listing(listed)
            await self._watch(listed.as_of)

    async def _watch(self, as_of: int) -> None:
        while True:
            if self._owner is None and self._lease_usable():
                if self._term:
                    await self._reclaim_ownership()
                elif not await self._try_takeover():
                    return
            if self._holds_key_without_acting() and not await self._resolve_held_key():
                return
            watched = await self._store.watch(
                prefix=keys.MEMBERSHIP,
                after=as_of,
                wait_s=WATCH_TIMEOUT_S if self._lease else RETRY_DELAY_S,
            )
            if isinstance(watched, result.Failure):
                await self._group.sleep(RETRY_DELAY_S)
                return
            changes = watched.unwrap()
            as_of = changes.as_of
            for change in changes.changes:
                self._apply_item(change.key, change.item)
            if changes.changes:
                self._report_entries()

    async def _try_takeover(self) -> bool:
        """Attempts a takeover in the order of the candidates; False requests a new listing."""
        if self._clocks.now() - max(self._lease_lost_at, self._joined_at) < OWNER_RETURN_S:
            # An outage may have ended the leases of all entries; the previous owner goes first, and
            # an entry that has just joined doesn't know the others yet.
            await self._group.sleep(OWNER_RETURN_S)
            return False
        await self._group.sleep(self._takeover_delay_s())
        if not self._lease_usable():
            return False
        owner_read = await self._store.get(key=keys.OWNER)
        if isinstance(owner_read, result.Failure):
            return False
        owner_item = owner_read.unwrap()
        if owner_item is not None:
            self._apply_owner(_decode_owner(owner_item.value))
            return True
        read = await self._store.get(key=keys.HEAD)
        if isinstance(read, result.Failure):
            return False
        # Read after the head, on whose revision the takeover depends: no owner writes one without
        # the other. If it can't be read, its marks aren't confirmed and no longer count.
        silent_read = await self._store.get(key=keys.SILENT_TARGETS)
        read_at = self._clocks.boottime()
        lease = self._lease
        if not lease:
            # The lease ended during the read. A key without a lease would outlive this entry.
            return False
        item = read.unwrap()
        last = _decode_head(item.value) if item is not None else None
        term = 1 if last is None else last.term + 1
        former_lease_s = leases.requested_s(self._granted_lease_s) if last is None else last.lease_s
        head = Head(
            term=term,
            number=0,
            nonce=self._entry.incarnation,
            lease_s=former_lease_s or self._granted_lease_s,
        )
        conditions = (
            store.Condition(key=keys.OWNER, revision=store.ABSENT),
            store.Condition(
                key=keys.HEAD, revision=store.ABSENT if item is None else item.revision
            ),
        )
        silent_item = silent_read.unwrap() if isinstance(silent_read, result.Success) else None
        silent = silent_targets.confirmed(silent_item, term=term - 1, read_at=read_at)
        puts = (
            store.Put(key=keys.OWNER, value=self._owner_value(term), lease=lease),
            store.Put(key=keys.HEAD, value=msgspec.json.encode(head)),
            *(
                (silent_targets.put_inherited(silent, term=term, at=read_at),)
                if silent.since
                else ()
            ),
        )
        committed = await self._store.commit(conditions=conditions, puts=puts)
        if isinstance(committed, result.Failure):
            decision_log.write("owner.takeover_failed", term=term, reason=str(committed.failure()))
            await self._group.sleep(RETRY_DELAY_S)
            return False
        self._owner = _decode_owner(self._owner_value(term))
        self._owner_key_lease = lease
        self._begin_term(head, committed.unwrap(), silent=silent)
        return True

    def _holds_key_without_acting(self) -> bool:
        """Returns whether the owner's key is this entry's although it doesn't act as the owner."""
        owner = self._owner
        is_own = owner is not None and owner.incarnation == self._entry.incarnation
        return is_own and not self._term and not self._leaving

    async def _resolve_held_key(self) -> bool:
        """Begins the term of the key if it is new, else removes the key; False as in the callees."""
        owner = self._owner
        if owner is not None and owner.term > self._last_term:
            return await self._resume_ownership()
        # The term was given up. Its run numbers may be in use, so it must not begin again.
        await self._remove_owner_key()
        await self._group.sleep(RETRY_DELAY_S)
        return False

    async def _resume_ownership(self) -> bool:
        """Begins the term of a takeover whose answer was lost; False requests a new listing.

        The key keeps all other entries from taking over, so the fleet would stay without an owner.
        """
        read = await self._store.get(key=keys.HEAD)
        if isinstance(read, result.Failure):
            await self._group.sleep(RETRY_DELAY_S)
            return False
        item = read.unwrap()
        head = None if item is None else _decode_head(item.value)
        owner = self._owner
        if item is None or head is None or owner is None or head.term != owner.term:
            decision_log.write("owner.key_without_head", term=0 if owner is None else owner.term)
            if self._lease:
                await self._store.revoke(lease=self._lease)
            await self._group.sleep(RETRY_DELAY_S)
            return False
        silent_read = await self._store.get(key=keys.SILENT_TARGETS)
        if isinstance(silent_read, result.Failure):
            # The takeover may have confirmed marks, to which this owner has to keep.
            await self._group.sleep(RETRY_DELAY_S)
            return False
        silent = silent_targets.confirmed(
            silent_read.unwrap(), term=head.term, read_at=self._clocks.boottime()
        )
        decision_log.write("owner.taken_up", term=head.term, head_revision=item.revision)
        self._begin_term(head, item.revision, silent=silent)
        return True

    def _begin_term(self, head: Head, revision: int, *, silent: silent_targets.Inherited) -> None:
        if self._term:
            self._on_lost("a new term begins")
        self._term = self._last_term = head.term
        self._note_term(head.term)
        self._silent = silent
        decision_log.write("owner.gained", term=head.term, head_revision=revision)
        self._on_gained(head, revision)

    def _takeover_delay_s(self) -> float:
        if self.declines:
            return MAX_TAKEOVER_DELAY_S
        return min(MAX_TAKEOVER_DELAY_S, TAKEOVER_STAGGER_S * self._candidate_position())

    def _candidate_position(self) -> int:
        """Returns this entry's position: larger candidates first, equal ones by their names' hashes."""
        candidates = {**self._entries, self._entry.name: self._published}
        names = sorted(
            candidates, key=lambda name: (-candidates[name].capacity, _candidate_hash(name))
        )
        return names.index(self._entry.name)

    def _lease_usable(self) -> bool:
        return bool(self._lease) and self.lease_valid and not self._leaving

    def _apply_listing(self, listed: listing.Listed) -> None:
        listed_names = {item.key.removeprefix(keys.ENTRIES) for item in listed.items}
        for name in [name for name in self._entries if name not in listed_names]:
            del self._entries[name]
        self._owner = None
        self._owner_key_lease = 0
        for item in listed.items:
            self._apply_item(item.key, item)
        self._membership_read = True
        self._report_entries()

    def _apply_item(self, key: str, item: store.Item | None) -> None:
        if key == keys.OWNER:
            owner = None if item is None else _decode_owner(item.value)
            is_own = owner is not None and owner.incarnation == self._entry.incarnation
            self._owner_key_lease = item.lease if item is not None and is_own else 0
            self._apply_owner(owner)
        elif key.startswith(keys.ENTRIES):
            name = key.removeprefix(keys.ENTRIES)
            record = None if item is None else _decode_entry(item.value)
            if record is None:
                self._entries.pop(name, None)
                return
            if self._entries.get(name) != record:
                self._entry_seen_at[name] = self._clocks.now()
            self._entries[name] = record

    def _apply_owner(self, record: OwnerRecord | None) -> None:
        if record is not None and record.term < self._term:
            # A change from before this entry's takeover, which the watch reports late.
            return
        if record != self._owner:
            decision_log.write(
                "owner.seen",
                owner="none" if record is None else record.name,
                term=0 if record is None else record.term,
            )
        self._owner = record
        if record is not None:
            self._note_term(record.term)
        if record is None or not self._term:
            return
        if record.incarnation != self._entry.incarnation:
            self.relinquish(f"{record.name} is the owner of term {record.term}", term=self._term)

    def _note_term(self, term: int) -> None:
        """Notes when a term was first seen, and how long the one before it lasted."""
        if term == self._seen_term:
            return
        self._term_beginnings.note(term, at=self._clocks.boottime())
        now = self._clocks.now()
        self._former_term_s = now - self._seen_term_at if self._seen_term else 0.0
        self._seen_term, self._seen_term_at = term, now

    def _report_entries(self) -> None:
        self._on_entries(tuple(self._entries.values()))

    def _owner_value(self, term: int) -> bytes:
        return msgspec.json.encode(
            OwnerRecord(name=self._entry.name, incarnation=self._entry.incarnation, term=term)
        )


def _candidate_hash(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


def _decode_owner(value: bytes) -> OwnerRecord | None:
    return _decode(value, OwnerRecord)


def _decode_entry(value: bytes) -> EntryRecord | None:
    return _decode(value, EntryRecord)


def _decode_head(value: bytes) -> Head | None:
    return _decode(value, Head)


def _decode(value: bytes, kind: type[T]) -> T | None:
    try:
        return decoding.decode(value, kind)
    except decoding.UnreadableError as error:
        decision_log.write("record.unreadable", kind=kind.__name__, reason=str(error))
        return None
