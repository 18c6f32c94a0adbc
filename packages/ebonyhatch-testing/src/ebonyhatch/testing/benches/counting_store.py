"""In-memory store that counts calls and bytes written."""

from __future__ import annotations

import collections
from typing import Any

from ebonyhatch.ports import memory_store, store


class CountingStore(memory_store.MemoryStore):
    """Counts the calls of its client.

    Attributes:
        calls: Number of calls by kind.
        swapped_bytes: Total size of all values passed to `swap`.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.calls: collections.Counter[str] = collections.Counter()
        self.swapped_bytes = 0

    @property
    def reads(self) -> int:
        """Number of gets and watches; a watch counts as one call however long it waits."""
        return self.calls["get"] + self.calls["watch"]

    @property
    def writes(self) -> int:
        """Number of swaps and of calls that grant, renew or revoke a lease."""
        return sum(self.calls[kind] for kind in ("swap", "grant", "renew", "revoke"))

    def get(self, *, key: str) -> store.StoredOutcome:
        """Counts a read and forwards it."""
        self.calls["get"] += 1
        return super().get(key=key)

    def swap(
        self, *, key: str, expected_version: int, value: bytes, lease_id: str = ""
    ) -> store.VersionOutcome:
        """Counts a write and its bytes and forwards it."""
        self.calls["swap"] += 1
        self.swapped_bytes += len(value)
        return super().swap(
            key=key, expected_version=expected_version, value=value, lease_id=lease_id
        )

    def watch(self, *, key: str, after_version: int, wait_s: float) -> store.StoredOutcome:
        """Counts a watch and forwards it."""
        self.calls["watch"] += 1
        return super().watch(key=key, after_version=after_version, wait_s=wait_s)

    def grant(self, *, ttl_s: float) -> store.LeaseOutcome:
        """Counts a grant and forwards it."""
        self.calls["grant"] += 1
        return super().grant(ttl_s=ttl_s)

    def renew(self, *, lease_id: str) -> store.LeaseOutcome:
        """Counts a renewal and forwards it."""
        self.calls["renew"] += 1
        return super().renew(lease_id=lease_id)

    def revoke(self, *, lease_id: str) -> store.DoneOutcome:
        """Counts a revocation and forwards it."""
        self.calls["revoke"] += 1
        return super().revoke(lease_id=lease_id)
