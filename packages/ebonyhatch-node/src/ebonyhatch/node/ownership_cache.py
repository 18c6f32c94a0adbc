"""Cached ownership record: watched in the store, received from peers, and changed."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec
from ebonyhatch.core import errors
from ebonyhatch.node import confirmed_store, coroutines, ownership_record
from ebonyhatch.ports import backoff, store
from returns import result
from twisted.internet import defer

WATCH_S = 30.0
"""Maximum wait of one watch on the record, seconds."""

Change = Callable[[ownership_record.Record], ownership_record.Record]


class VersionedRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A record at a version, decoded and encoded as in the store."""

    version: int = store.ABSENT
    value: bytes = b""
    record: ownership_record.Record = ownership_record.Record()


class OwnershipCache:
    """Keeps the newest record from the store, and the newest from the store or a peer."""

    def __init__(
        self,
        *,
        store_port: store.Store,
        group: coroutines.CoroutineGroup,
        generator: random.Random,
        writer: str,
        on_change: Callable[[], None],
    ) -> None:
        self._store = store_port
        self._group = group
        self._random = generator
        self._writer = writer
        self._on_change = on_change
        self._calls = confirmed_store.ConfirmedStore(
            store_port=store_port, group=group, generator=generator
        )
        self._lock = defer.DeferredLock()
        self._stored = VersionedRecord()
        self._newest = VersionedRecord()
        self._fault: errors.EbonyhatchError | None = None

    @property
    def stored(self) -> ownership_record.Record:
        """The newest record from the store itself; decisions are based on this one only."""
        return self._stored.record

    @property
    def version(self) -> int:
        """Version of the newest record from the store itself."""
        return self._stored.version

    @property
    def newest(self) -> VersionedRecord:
        """The newest record from the store or a peer; for routing."""
        return self._newest

    @property
    def fault(self) -> errors.EbonyhatchError | None:
        """Error that keeps the record from being read; None without one."""
        return self._fault

    def start(self) -> None:
        """Starts to watch the record."""
        self._group.spawn(self._watch())

    def offer(self, *, version: int, value: bytes) -> ownership_record.Record | None:
        """Receives a record from a peer; returns it decoded if it is newer."""
        if version <= self._newest.version:
            return None
        try:
            record = ownership_record.decode(value)
        except errors.EbonyhatchError:
            return None
        self._newest = VersionedRecord(version=version, value=value, record=record)
        self._group.spawn(self.refresh(at_least=version))
        return record

    async def refresh(self, *, at_least: int = store.ABSENT) -> None:
        """Reads the record until the store returns this version or a newer one."""
        self._apply(await self._calls.read(ownership_record.KEY, at_least=at_least))

    async def change(self, change: Change, *, version: int | None = None) -> bool:
        """Changes the record by one compare-and-swap from the stored version that is known.

        Args:
            change: Returns the new record.
            version: Change it only if this is still the known version.

        Returns:
            Whether the change is in the store.
        """
        await self._lock.acquire()
        try:
            unchanged = version in (None, self._stored.version)
            if not unchanged or self._fault is not None:
                return False
            return await self._swap(change(self._stored.record))
        finally:
            self._lock.release()

    async def _swap(self, record: ownership_record.Record) -> bool:
        nonce = f"{self._writer}/{self._random.getrandbits(64):016x}"
        value = ownership_record.encode(msgspec.structs.replace(record, nonce=nonce))
        key = ownership_record.KEY
        write_outcome = await self._calls.swap(
            key, expected_version=self._stored.version, value=value, fail_if_refused=True
        )
        if isinstance(write_outcome, confirmed_store.Written):
            self._apply(store.Stored(key=key, value=value, version=write_outcome.version))
            return True
        if isinstance(write_outcome, confirmed_store.Superseded):
            self._apply(write_outcome.stored)
        return False

    async def _watch(self) -> None:
        delays = backoff.Backoff(generator=self._random)
        while True:
            outcome = await self._store.watch(
                key=ownership_record.KEY, after_version=self._stored.version, wait_s=WATCH_S
            )
            if isinstance(outcome, result.Success) and self._apply(outcome.unwrap()):
                delays.reset()
            else:
                await self._group.sleep(delays.next_s())

    def _apply(self, stored: store.Stored) -> bool:
        """Applies a value from the store; returns whether it is newer and readable."""
        if stored.version <= self._stored.version:
            return False
        try:
            record = ownership_record.decode(stored.value)
        except errors.EbonyhatchError as error:
            self._fault = error
            return False
        self._fault = None
        self._stored = VersionedRecord(version=stored.version, value=stored.value, record=record)
        if stored.version > self._newest.version:
            self._newest = self._stored
        self._on_change()
        return True
