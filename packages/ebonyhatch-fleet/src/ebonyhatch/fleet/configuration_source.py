"""The configuration in force: from the operators' key, or from a peer that received it first."""

from __future__ import annotations

import abc
from collections.abc import Callable, Iterable

from ebonyhatch.fleet import (
    clocks,
    decision_log,
    listing,
    queues,
    store,
    supervision,
)
from ebonyhatch.node import coroutines
from returns import result
from twisted.internet import defer

WATCH_TIMEOUT_S = 1.5
"""Timeout of one watch, seconds; bounds how long an unresponsive connection hides a version."""

RETRY_DELAY_S = 0.15
"""Delay before a failed call to the store is retried, seconds."""

Watched = result.Result[store.Changes, store.StoreError]
"""Outcome of one watch."""


class Codec(abc.ABC):
    """Location and encoding of the operators' configuration."""

    @property
    @abc.abstractmethod
    def key(self) -> str:
        """Key of the configuration in the store."""

    @abc.abstractmethod
    def decode(self, value: bytes) -> queues.Configuration | None:
        """Returns a decoded version; logs an unreadable one and returns None."""


class ConfigurationSource:
    """Watches the operators' key; a version replaces only an older one."""

    def __init__(
        self,
        *,
        store_port: store.Store,
        codec: Codec,
        all_clocks: clocks.Clocks,
        group: coroutines.CoroutineGroup,
        on_change: Callable[[queues.Configuration], None],
    ) -> None:
        self._store = store_port
        self._clocks = all_clocks
        self._listed = False
        self._answered_at = all_clocks.now()
        self._watch_failing = False
        self._listings = listing.ListingReader(
            store_port=store_port, all_clocks=all_clocks, group=group
        )
        self._codec = codec
        self._group = group
        self._on_change = on_change
        self._current: queues.Configuration | None = None
        self._value = b""
        self._revision = 0
        self._announced = True
        self._watching: defer.Deferred[Watched] | None = None

    @property
    def current(self) -> queues.Configuration | None:
        """Configuration in force; None before the first one."""
        return self._current

    @property
    def value(self) -> bytes:
        """Encoded configuration in force; empty before the first one."""
        return self._value

    @property
    def revision(self) -> int:
        """Store revision of the configuration in force; 0 before the first one."""
        return self._revision

    @property
    def listed(self) -> bool:
        """Whether the store has answered a listing of the key, even if it holds no version."""
        return self._listed

    @property
    def silent_s(self) -> float:
        """Time for which the store has answered no listing or watch of the key, seconds."""
        return self._clocks.now() - self._answered_at

    def start(self) -> None:
        """Starts to watch the operators' key."""
        supervision.spawn(self._group, "configuration", self._follow)

    def apply_from_peer(self, value: bytes, *, revision: int, peer: str) -> None:
        """Applies a version that a peer received first, if it is newer than the current one.

        The watch goes on after its revision. On a thin link the watch would otherwise transfer all
        versions up to this one, each of them whole.
        """
        before = self._revision
        self._apply(value, revision=revision, source=f"peer {peer}")
        if self._revision > before and self._watching is not None:
            self._watching.cancel()

    def _apply(self, value: bytes, *, revision: int, source: str) -> bool:
        """Applies a version that is newer than the current one; returns whether it is readable."""
        decoded = self._codec.decode(value)
        if decoded is None:
            return False
        if self._current is not None and decoded.version <= self._current.version:
            self._announce()
            return True
        decision_log.write(
            "configuration.in_force",
            version=decoded.version,
            before=0 if self._current is None else self._current.version,
            queues=len(decoded.queues),
            bytes=len(value),
            source=source,
            store_silent_s=round(self.silent_s, 3),
        )
        self._current, self._value, self._revision = decoded, value, revision
        self._announced = False
        self._announce()
        return True

    def _announce(self) -> None:
        """Calls `on_change` with the current version, unless that has succeeded before."""
        if self._current is not None and not self._announced:
            self._on_change(self._current)
            self._announced = True

    async def _follow(self) -> None:
        while True:
            listed = await self._listings.read(self._codec.key)
            self._record_answer()
            self._apply_newest(listed.items)
            self._listed = True
            await self._watch(listed.as_of)

    async def _watch(self, as_of: int) -> None:
        """Follows the key until the history is compacted; a listing transfers the whole version."""
        while True:
            as_of = max(as_of, self._revision)
            watched = await self._watch_once(as_of)
            if watched is None:
                continue
            if isinstance(watched, result.Failure):
                if isinstance(watched.failure(), store.CompactedError):
                    return
                self._record_failure(watched.failure())
                await self._group.sleep(RETRY_DELAY_S)
                continue
            self._record_answer()
            as_of = watched.unwrap().as_of
            changes = watched.unwrap().changes
            self._apply_newest([change.item for change in changes if change.item is not None])

    async def _watch_once(self, as_of: int) -> Watched | None:
        """Returns the outcome of one watch; None if a peer's version made it superfluous."""
        call = self._store.watch(prefix=self._codec.key, after=as_of, wait_s=WATCH_TIMEOUT_S)
        self._watching = defer.Deferred.fromCoroutine(call)
        try:
            return await self._watching
        except defer.CancelledError:
            if self._group.closed:
                raise
            return None
        finally:
            self._watching = None

    def _record_answer(self) -> None:
        if self._watch_failing:
            decision_log.write("configuration.watch_answered", silent_s=round(self.silent_s, 3))
        self._answered_at = self._clocks.now()
        self._watch_failing = False

    def _record_failure(self, error: store.StoreError) -> None:
        """Logs the first of several failed watches in a row."""
        if not self._watch_failing:
            decision_log.write(
                "configuration.watch_failed",
                version=0 if self._current is None else self._current.version,
                reason=str(error),
                silent_s=round(self.silent_s, 3),
            )
        self._watch_failing = True

    def _apply_newest(self, items: Iterable[store.Item]) -> None:
        """Applies the last readable version; those before it are superseded."""
        for item in sorted(items, key=lambda item: -item.revision):
            source = f"store revision {item.revision}"
            if item.key == self._codec.key and self._apply(
                item.value, revision=item.revision, source=source
            ):
                return
