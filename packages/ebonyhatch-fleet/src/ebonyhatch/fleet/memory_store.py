"""An in-memory implementation of the store, on any clock, with injectable faults."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from ebonyhatch.fleet import memory_link, store
from returns import result
from twisted.internet import defer, task

MAX_HISTORY = 10_000
"""Number of changes that are retained for watches."""

VALUE_BYTES = 1_048_576
"""Size of the largest value, bytes."""

PAGE_ITEMS = 500
"""Maximum number of items in one page of a listing."""

POLL_S = 0.005
"""Interval at which a waiting watch checks for changes, seconds."""

PAGE_TIMEOUT_S = 30.0
"""Time after which a page that has not arrived completely fails, seconds: clients of the real store
wait as long as bytes arrive."""

LEASE_TIMEOUT_S = 0.5
"""Time after which the grant or renewal of a lease on a link fails, seconds."""

WATCH_TIMEOUT_MARGIN_S = 0.8
"""Time beyond its own wait after which a watch on a link fails, seconds."""

ITEM_BYTES = 150
"""Size of an item on a link without its value, bytes."""

T = TypeVar("T")


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreFaults:
    """Faults to inject, for all callers or for one.

    Attributes:
        latency_s: Duration of a call, seconds.
        refuse: Calls are refused and have no effect.
        silent: Calls get no answer and have no effect.
        lose_answers: Writes are carried out and get no answer.
        delay_s: With `lose_answers`, delay after which writes are carried out, seconds.
        silent_prefix: Listings under this prefix get no answer; empty for none.
        silent_watches: Watches of this prefix get no answer; empty for none.
    """

    latency_s: float = 0.004
    refuse: bool = False
    silent: bool = False
    lose_answers: bool = False
    delay_s: float = 0.0
    silent_prefix: str = ""
    silent_watches: str = ""


class StoreEngine:
    """State of the store, shared by all callers."""

    def __init__(self, *, clock: Any) -> None:
        self.clock = clock
        self.items: dict[str, store.Item] = {}
        self.revision = 1
        self.changes: list[store.Change] = []
        self.compacted = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.calls = 0
        self._lease_ids = itertools.count(100)

    def expire_leases(self) -> None:
        """Revokes the leases that have expired."""
        now = self.clock.seconds()
        for lease, (expires_at, _) in list(self.leases.items()):
            if expires_at <= now:
                self.revoke(lease)

    def commit(
        self,
        conditions: tuple[store.Condition, ...],
        puts: tuple[store.Put, ...],
        removes: tuple[str, ...],
    ) -> result.Result[int, store.StoreError]:
        """Writes everything or nothing."""
        self.expire_leases()
        met = [one for one in conditions if self._revision_of(one.key) == one.revision]
        if len(met) < len(conditions):
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
            self._record_change(put.key)
        for key in removes:
            if self.items.pop(key, None) is not None:
                self._record_change(key)
        return result.Success(self.revision)

    def grant(self, ttl_s: float) -> store.Lease:
        """Grants a lease."""
        lease = next(self._lease_ids)
        self.leases[lease] = (self.clock.seconds() + ttl_s, ttl_s)
        return store.Lease(lease=lease, ttl_s=ttl_s)

    def renew(self, lease: int) -> result.Result[float, store.StoreError]:
        """Renews a lease."""
        self.expire_leases()
        if lease not in self.leases:
            return result.Failure(store.NoLeaseError(lease=lease))
        ttl_s = self.leases[lease][1]
        self.leases[lease] = (self.clock.seconds() + ttl_s, ttl_s)
        return result.Success(ttl_s)

    def revoke(self, lease: int) -> None:
        """Revokes a lease and removes its keys."""
        self.leases.pop(lease, None)
        removed = [key for key, item in self.items.items() if item.lease == lease]
        if removed:
            self.revision += 1
        for key in removed:
            del self.items[key]
            self._record_change(key)

    def compact(self) -> None:
        """Discards the history so far."""
        self.compacted = self.revision
        self.changes.clear()

    def list_prefix(self, prefix: str) -> tuple[store.Item, ...]:
        """Returns the items under a prefix."""
        self.expire_leases()
        return tuple(item for key, item in sorted(self.items.items()) if key.startswith(prefix))

    def _revision_of(self, key: str) -> int:
        item = self.items.get(key)
        return store.ABSENT if item is None else item.revision

    def _record_change(self, key: str) -> None:
        change = store.Change(key=key, revision=self.revision, item=self.items.get(key))
        self.changes.append(change)
        if len(self.changes) > MAX_HISTORY:
            self.compacted = self.changes.pop(0).revision


class MemoryStore(store.Store):
    """One caller's connection to the engine, over its link if it has one."""

    def __init__(
        self,
        *,
        engine: StoreEngine,
        faults: StoreFaults | None = None,
        link: memory_link.Link | None = None,
        page_items: int = PAGE_ITEMS,
        poll_s: float = POLL_S,
    ) -> None:
        self._engine = engine
        self.faults = faults or StoreFaults()
        self._link = link
        self._page_items = page_items
        self._poll_s = poll_s
        self.timeout_s = 0.9
        self.page_timeout_s = PAGE_TIMEOUT_S

    async def get(self, *, key: str) -> result.Result[store.Item | None, store.StoreError]:
        """Reads a key."""
        return await self._over_link("get", lambda: self._get(key))

    async def _get(self, key: str) -> result.Result[store.Item | None, store.StoreError]:
        failure = await self._simulate_call("get")
        if failure is not None:
            return failure
        self._engine.expire_leases()
        return result.Success(self._engine.items.get(key))

    async def list_page(
        self, *, prefix: str, after: str = "", on_bytes: store.OnBytes = store.ignore_bytes
    ) -> result.Result[store.ListingPage, store.StoreError]:
        """Reads the first keys under a prefix that come after a key."""
        return await self._over_link(
            "list",
            lambda: self._list_page(prefix, after),
            timeout_s=self.page_timeout_s,
            on_bytes=on_bytes,
        )

    async def _list_page(
        self, prefix: str, after: str
    ) -> result.Result[store.ListingPage, store.StoreError]:
        failure = await self._simulate_call("list")
        if failure is not None:
            return failure
        if self.faults.silent_prefix and prefix.startswith(self.faults.silent_prefix):
            await task.deferLater(self._engine.clock, self.timeout_s)
            return result.Failure(store.UnknownOutcomeError(call="list", reason="no answer"))
        items = [item for item in self._engine.list_prefix(prefix) if item.key > after]
        page = store.ListingPage(
            items=tuple(items[: self._page_items]),
            has_more=len(items) > self._page_items,
            as_of=self._engine.revision,
        )
        return result.Success(page)

    async def watch(
        self, *, prefix: str, after: int, wait_s: float
    ) -> result.Result[store.Changes, store.StoreError]:
        """Waits for changes."""
        return await self._over_link(
            "watch",
            lambda: self._watch(prefix, after, wait_s),
            timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S,
        )

    async def _watch(
        self, prefix: str, after: int, wait_s: float
    ) -> result.Result[store.Changes, store.StoreError]:
        until = self._engine.clock.seconds() + wait_s
        while True:
            failure = await self._simulate_call("watch")
            if failure is not None:
                return failure
            if self.faults.silent_watches and prefix.startswith(self.faults.silent_watches):
                remaining_s = until + WATCH_TIMEOUT_MARGIN_S - self._engine.clock.seconds()
                await task.deferLater(self._engine.clock, max(0.0, remaining_s))
                return result.Failure(
                    store.UnknownOutcomeError(call="watch", reason="the call timed out")
                )
            self._engine.expire_leases()
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
            await task.deferLater(self._engine.clock, self._poll_s)

    async def commit(
        self,
        *,
        conditions: tuple[store.Condition, ...] = (),
        puts: tuple[store.Put, ...] = (),
        removes: tuple[str, ...] = (),
    ) -> result.Result[int, store.StoreError]:
        """Writes everything or nothing."""
        return await self._over_link(
            "commit",
            lambda: self._commit(conditions, puts, removes),
            request_bytes=memory_link.REQUEST_BYTES
            + sum(ITEM_BYTES + _encoded_bytes(put.value) for put in puts),
        )

    async def _commit(
        self,
        conditions: tuple[store.Condition, ...],
        puts: tuple[store.Put, ...],
        removes: tuple[str, ...],
    ) -> result.Result[int, store.StoreError]:
        if len(conditions) + len(puts) + len(removes) > store.TRANSACTION_LIMIT:
            return result.Failure(store.RejectedError(call="commit", reason="too many entries"))
        if any(len(put.value) > VALUE_BYTES for put in puts):
            return result.Failure(store.RejectedError(call="commit", reason="value too large"))
        failure = await self._simulate_call("commit")
        if failure is not None:
            return failure
        if not self.faults.lose_answers:
            return self._engine.commit(conditions, puts, removes)
        if self.faults.delay_s:
            self._engine.clock.callLater(
                self.faults.delay_s, self._engine.commit, conditions, puts, removes
            )
        else:
            self._engine.commit(conditions, puts, removes)
        await task.deferLater(self._engine.clock, self.timeout_s)
        return result.Failure(store.UnknownOutcomeError(call="commit", reason="answer lost"))

    async def grant(self, *, ttl_s: float) -> result.Result[store.Lease, store.StoreError]:
        """Grants a lease."""
        return await self._over_link("grant", lambda: self._grant(ttl_s), timeout_s=LEASE_TIMEOUT_S)

    async def _grant(self, ttl_s: float) -> result.Result[store.Lease, store.StoreError]:
        failure = await self._simulate_call("grant")
        return result.Success(self._engine.grant(ttl_s)) if failure is None else failure

    async def renew(self, *, lease: int) -> result.Result[float, store.StoreError]:
        """Renews a lease."""
        return await self._over_link("keep", lambda: self._renew(lease), timeout_s=LEASE_TIMEOUT_S)

    async def _renew(self, lease: int) -> result.Result[float, store.StoreError]:
        failure = await self._simulate_call("keep")
        return self._engine.renew(lease) if failure is None else failure

    async def revoke(self, *, lease: int) -> result.Result[None, store.StoreError]:
        """Revokes a lease."""
        return await self._over_link("end", lambda: self._revoke(lease))

    async def _revoke(self, lease: int) -> result.Result[None, store.StoreError]:
        failure = await self._simulate_call("end")
        if failure is not None:
            return failure
        self._engine.revoke(lease)
        return result.Success(None)

    async def _over_link(
        self,
        call: str,
        carry_out: Callable[[], Awaitable[result.Result[T, store.StoreError]]],
        *,
        request_bytes: int = memory_link.REQUEST_BYTES,
        timeout_s: float | None = None,
        on_bytes: store.OnBytes = store.ignore_bytes,
    ) -> result.Result[T, store.StoreError]:
        """Carries out a call; one whose answer has not passed the link in time fails."""
        link = self._link
        if link is None:
            return await carry_out()

        async def pass_link() -> result.Result[T, store.StoreError]:
            await link.send(request_bytes)
            outcome = await carry_out()
            await link.receive(_answer_bytes(outcome), on_bytes=on_bytes)
            return outcome

        try:
            return await link.bound(
                pass_link(), timeout_s=self.timeout_s if timeout_s is None else timeout_s
            )
        except defer.TimeoutError:
            return result.Failure(store.UnknownOutcomeError(call=call, reason="the call timed out"))

    async def _simulate_call(self, call: str) -> result.Result[Any, store.StoreError] | None:
        """Waits for the duration of a call; returns its failure if a fault prevents the call."""
        self._engine.calls += 1
        await task.deferLater(self._engine.clock, self.faults.latency_s)
        if self.faults.silent:
            await task.deferLater(self._engine.clock, self.timeout_s)
            return result.Failure(store.UnknownOutcomeError(call=call, reason="no answer"))
        if self.faults.refuse:
            return result.Failure(store.NotDoneError(call=call, reason="refused"))
        return None


def _answer_bytes(outcome: result.Result[Any, store.StoreError]) -> int:
    value = outcome.unwrap() if isinstance(outcome, result.Success) else None
    items: list[store.Item] = []
    if isinstance(value, store.Item):
        items = [value]
    elif isinstance(value, store.ListingPage):
        items = [*value.items]
    elif isinstance(value, store.Changes):
        items = [change.item for change in value.changes if change.item is not None]
    return memory_link.REQUEST_BYTES + sum(
        ITEM_BYTES + _encoded_bytes(item.value) for item in items
    )


def _encoded_bytes(value: bytes) -> int:
    """Returns the size of a value as base64 text."""
    return 4 * -(-len(value) // 3)
