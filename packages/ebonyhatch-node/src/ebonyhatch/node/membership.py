"""Store lease of an entry, timed on the entry's own clock."""

from __future__ import annotations

import random
from collections.abc import Callable

from ebonyhatch.node import coroutines, ownership_record
from ebonyhatch.ports import backoff, store, timing
from returns import result

LEASE_TTL_S = 6.0
"""Time for which the lease is valid without a renewal, seconds."""

RENEW_INTERVAL_S = 2.0
"""Interval between two renewals, seconds."""

DRIFT_MARGIN_S = 0.5
"""Allowance for the difference between this clock and the store's, seconds."""

MAX_RETRY_INTERVAL_S = 1.0
"""Maximum time between two attempts to renew while the lease is valid, seconds."""

TOMBSTONE = b"gone"
"""Value of an entry's key whose absence another entry has confirmed."""


class Membership:
    """Holds the lease and the entry's key; reports when both have been established anew."""

    def __init__(
        self,
        *,
        entry_id: str,
        store_port: store.Store,
        clock: timing.Clock,
        group: coroutines.CoroutineGroup,
        generator: random.Random,
        on_established: Callable[[str], None],
    ) -> None:
        self._key = ownership_record.entry_key(entry_id)
        self._store = store_port
        self._clock = clock
        self._group = group
        self._generator = generator
        self._on_established = on_established
        self._lease_id = ""
        self._valid_until = float("-inf")

    @property
    def lease_id(self) -> str:
        """Id of the current or last lease; empty before the first."""
        return self._lease_id

    @property
    def valid(self) -> bool:
        """Whether the lease is certainly still valid at the store."""
        return self._clock.seconds() < self._valid_until

    def start(self) -> None:
        """Starts to obtain a lease and to renew it."""
        self._group.spawn(self._run())

    async def revoke(self) -> None:
        """Revokes the lease."""
        self._valid_until = float("-inf")
        if self._lease_id:
            await self._store.revoke(lease_id=self._lease_id)

    async def _run(self) -> None:
        while True:
            await self._establish()
            await self._renew_until_expired()

    async def _establish(self) -> None:
        delays = backoff.Backoff(generator=self._generator)
        while not await self._try_to_establish():
            await self._group.sleep(delays.next_s())

    async def _try_to_establish(self) -> bool:
        sent_at = self._clock.seconds()
        granted = await self._store.grant(ttl_s=LEASE_TTL_S)
        if not isinstance(granted, result.Success):
            return False
        lease = granted.unwrap()
        if not await self._write_key(lease.lease_id):
            return False
        self._lease_id = lease.lease_id
        self._extend(sent_at)
        self._on_established(lease.lease_id)
        return True

    async def _write_key(self, lease_id: str) -> bool:
        present = await self._store.get(key=self._key)
        if not isinstance(present, result.Success):
            return False
        stored = present.unwrap()
        written = await self._store.swap(
            key=self._key,
            expected_version=stored.version,
            value=lease_id.encode(),
            lease_id=lease_id,
        )
        return isinstance(written, result.Success)

    async def _renew_until_expired(self) -> None:
        """Renews the lease until it has expired."""
        delays = backoff.Backoff(generator=self._generator, limit_s=MAX_RETRY_INTERVAL_S)
        await self._group.sleep(RENEW_INTERVAL_S)
        while self.valid:
            sent_at = self._clock.seconds()
            renewed = await self._store.renew(lease_id=self._lease_id)
            if isinstance(renewed, result.Success):
                self._extend(sent_at)
                delays.reset()
                await self._group.sleep(RENEW_INTERVAL_S)
            else:
                await self._group.sleep(delays.next_s())

    def _extend(self, sent_at: float) -> None:
        self._valid_until = sent_at + LEASE_TTL_S - DRIFT_MARGIN_S
