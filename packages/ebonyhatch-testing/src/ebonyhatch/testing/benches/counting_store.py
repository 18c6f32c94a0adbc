"""The store in memory, with counts of calls and bytes."""

from __future__ import annotations

import collections
from typing import Any

from ebonyhatch.ports import memory_store, store


class CountingStore(memory_store.MemoryStore):
    """Counts what its client asks for.

    Attributes:
        calls: Calls by kind.
        swapped_bytes: Bytes of all values written.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.calls: collections.Counter[str] = collections.Counter()
        self.swapped_bytes = 0

    @property
    def reads(self) -> int:
        """Reads: gets, and watches, of which a waiting one counts as one call."""
        return self.calls["get"] + self.calls["watch"]

    @property
    def writes(self) -> int:
        """Writes: swaps, and what is done to leases."""
        return sum(self.calls[kind] for kind in ("swap", "grant", "renew", "revoke"))

    def get(self, *, key: str) -> store.StoredOutcome:
        """Read a key."""
        self.calls["get"] += 1
        return super().get(key=key)

    def swap(
        self, *, key: str, expected_version: int, value: bytes, lease_id: str = ""
    ) -> store.VersionOutcome:
        """Write a key."""
        self.calls["swap"] += 1
        self.swapped_bytes += len(value)
        return super().swap(
            key=key, expected_version=expected_version, value=value, lease_id=lease_id
        )

    def watch(self, *, key: str, after_version: int, wait_s: float) -> store.StoredOutcome:
        """Watch a key."""
        self.calls["watch"] += 1
        return super().watch(key=key, after_version=after_version, wait_s=wait_s)

    def grant(self, *, ttl_s: float) -> store.LeaseOutcome:
        """Grant a lease."""
        self.calls["grant"] += 1
        return super().grant(ttl_s=ttl_s)

    def renew(self, *, lease_id: str) -> store.LeaseOutcome:
        """Renew a lease."""
        self.calls["renew"] += 1
        return super().renew(lease_id=lease_id)

    def revoke(self, *, lease_id: str) -> store.DoneOutcome:
        """End a lease."""
        self.calls["revoke"] += 1
        return super().revoke(lease_id=lease_id)
