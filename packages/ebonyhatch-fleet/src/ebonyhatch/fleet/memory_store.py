"""The store's twin in memory, on any clock, with switches for its faults."""

from __future__ import annotations

import dataclasses
import itertools
from typing import Any

from ebonyhatch.fleet import store
from returns import result
from twisted.internet import task

HISTORY_LIMIT = 10_000
"""Changes that are remembered for watches."""

POLL_S = 0.005
"""Time between two looks of a waiting watch, seconds."""


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreFaults:
    """What goes wrong, for all callers or for one.

    Attributes:
        latency_s: Time that a call takes, seconds.
        refuse: Calls are refused and nothing is done.
        silent: Calls get no answer and nothing is done.
        lose_answers: Writes are done and not answered.
        late_s: With `lose_answers`, writes are done so much later, seconds.
    """

    latency_s: float = 0.004
    refuse: bool = False
    silent: bool = False
    lose_answers: bool = False
    late_s: float = 0.0


class StoreEngine:
    """State of the store; one for all callers."""

    def __init__(self, *, clock: Any) -> None:
        self.clock = clock
        self.items: dict[str, store.Item] = {}
        self.revision = 1
        self.changes: list[store.Change] = []
        self.compacted = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.calls = 0
        self._numbers = itertools.count(100)

    def sweep(self) -> None:
        """End leases whose time is over."""
        now = self.clock.seconds()
        for lease, (until, _) in list(self.leases.items()):
            if until <= now:
                self.end(lease)

    def commit(
        self,
        conditions: tuple[store.Condition, ...],
        puts: tuple[store.Put, ...],
        removes: tuple[str, ...],
    ) -> result.Result[int, store.StoreError]:
        """Do all or nothing."""
        self.sweep()
        held = [one for one in conditions if self._revision_of(one.key) == one.revision]
        if len(held) < len(conditions):
            items = tuple(self.items[one.key] for one in conditions if one.key in self.items)
            return result.Failure(store.ConflictError(items=items))
        for put in puts:
            if put.lease and put.lease not in self.leases:
                return result.Failure(store.NoLeaseError(lease=put.lease))
        self.revision += 1
        for put in puts:
            before = self.items.get(put.key)
            self.items[put.key] = store.Item(
                key=put.key,
                value=put.value,
                revision=self.revision,
                created=self.revision if before is None else before.created,
                lease=put.lease,
            )
            self._note(put.key)
        for key in removes:
            if self.items.pop(key, None) is not None:
                self._note(key)
        return result.Success(self.revision)

    def grant(self, ttl_s: float) -> store.Lease:
        """Take a lease."""
        lease = next(self._numbers)
        self.leases[lease] = (self.clock.seconds() + ttl_s, ttl_s)
        return store.Lease(lease=lease, ttl_s=ttl_s)

    def keep(self, lease: int) -> result.Result[float, store.StoreError]:
        """Renew a lease."""
        self.sweep()
        if lease not in self.leases:
            return result.Failure(store.NoLeaseError(lease=lease))
        ttl_s = self.leases[lease][1]
        self.leases[lease] = (self.clock.seconds() + ttl_s, ttl_s)
        return result.Success(ttl_s)

    def end(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        gone = [key for key, item in self.items.items() if item.lease == lease]
        if gone:
            self.revision += 1
        for key in gone:
            del self.items[key]
            self._note(key)

    def compact(self) -> None:
        """Forget the history so far."""
        self.compacted = self.revision
        self.changes.clear()

    def under(self, prefix: str) -> tuple[store.Item, ...]:
        """Give the items under a prefix."""
        self.sweep()
        return tuple(item for key, item in sorted(self.items.items()) if key.startswith(prefix))

    def _revision_of(self, key: str) -> int:
        item = self.items.get(key)
        return store.ABSENT if item is None else item.revision

    def _note(self, key: str) -> None:
        change = store.Change(key=key, revision=self.revision, item=self.items.get(key))
        self.changes.append(change)
        if len(self.changes) > HISTORY_LIMIT:
            self.compacted = self.changes.pop(0).revision


class MemoryStore(store.Store):
    """One caller's way to the engine."""

    def __init__(self, *, engine: StoreEngine, faults: StoreFaults | None = None) -> None:
        self._engine = engine
        self.faults = faults or StoreFaults()
        self.timeout_s = 0.9

    async def get(self, *, key: str) -> result.Result[store.Item | None, store.StoreError]:
        """Read a key."""
        refused = await self._pass("get")
        if refused is not None:
            return refused
        self._engine.sweep()
        return result.Success(self._engine.items.get(key))

    async def list(self, *, prefix: str) -> result.Result[store.Listing, store.StoreError]:
        """Read all keys under a prefix."""
        refused = await self._pass("list")
        if refused is not None:
            return refused
        items = self._engine.under(prefix)
        return result.Success(store.Listing(items=items, as_of=self._engine.revision))

    async def watch(
        self, *, prefix: str, after: int, wait_s: float
    ) -> result.Result[store.Changes, store.StoreError]:
        """Wait for changes."""
        until = self._engine.clock.seconds() + wait_s
        while True:
            refused = await self._pass("watch")
            if refused is not None:
                return refused
            self._engine.sweep()
            if after < self._engine.compacted:
                return result.Failure(store.CompactedError(after=after))
            changes = tuple(
                change
                for change in self._engine.changes
                if change.revision > after and change.key.startswith(prefix)
            )
            if changes or self._engine.clock.seconds() >= until:
                return result.Success(
                    store.Changes(changes=changes, as_of=max(after, self._engine.revision))
                )
            await task.deferLater(self._engine.clock, POLL_S)

    async def commit(
        self,
        *,
        conditions: tuple[store.Condition, ...] = (),
        puts: tuple[store.Put, ...] = (),
        removes: tuple[str, ...] = (),
    ) -> result.Result[int, store.StoreError]:
        """Do all or nothing."""
        if len(conditions) + len(puts) + len(removes) > store.TRANSACTION_LIMIT:
            return result.Failure(store.NotDoneError(call="commit", reason="too many entries"))
        refused = await self._pass("commit")
        if refused is not None:
            return refused
        if not self.faults.lose_answers:
            return self._engine.commit(conditions, puts, removes)
        if self.faults.late_s:
            self._engine.clock.callLater(
                self.faults.late_s, self._engine.commit, conditions, puts, removes
            )
        else:
            self._engine.commit(conditions, puts, removes)
        await task.deferLater(self._engine.clock, self.timeout_s)
        return result.Failure(store.UnknownOutcomeError(call="commit", reason="answer lost"))

    async def grant(self, *, ttl_s: float) -> result.Result[store.Lease, store.StoreError]:
        """Take a lease."""
        refused = await self._pass("grant")
        return result.Success(self._engine.grant(ttl_s)) if refused is None else refused

    async def keep(self, *, lease: int) -> result.Result[float, store.StoreError]:
        """Renew a lease."""
        refused = await self._pass("keep")
        return self._engine.keep(lease) if refused is None else refused

    async def end(self, *, lease: int) -> result.Result[None, store.StoreError]:
        """End a lease."""
        refused = await self._pass("end")
        if refused is not None:
            return refused
        self._engine.end(lease)
        return result.Success(None)

    async def _pass(self, call: str) -> result.Result[Any, store.StoreError] | None:
        """Take the time of a call; gives what it ends as where it isn't carried out."""
        self._engine.calls += 1
        await task.deferLater(self._engine.clock, self.faults.latency_s)
        if self.faults.silent:
            await task.deferLater(self._engine.clock, self.timeout_s)
            return result.Failure(store.UnknownOutcomeError(call=call, reason="no answer"))
        if self.faults.refuse:
            return result.Failure(store.NotDoneError(call=call, reason="refused"))
        return None
