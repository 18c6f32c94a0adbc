"""Detects which unresponsive entries have failed: their key is absent from the store.

The key of an entry exists as long as the entry's lease.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Collection

from ebonyhatch.node import membership, ownership_record
from ebonyhatch.ports import backoff, store, timing
from returns import result

PROBE_INTERVAL_S = 0.9
"""Interval between two probes of an entry that became unresponsive recently, seconds."""

FREQUENT_PROBE_S = 10.0
"""Time after which an unresponsive entry whose key still exists is probed less often, seconds."""

MAX_PROBE_INTERVAL_S = 8.0
"""Maximum interval between two probes of an unresponsive entry whose key exists, seconds."""

RANK_DELAY_S = 0.7
"""Head start of each entry over the next one in taking over a failed entry's cells, seconds."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _Probe:
    """State of the probes of one unresponsive entry."""

    delays: backoff.Backoff
    unresponsive_since: float
    due_at: float = 0.0
    absent_since: float | None = None


class FailureDetector:
    """Probes the keys of unresponsive entries, at most one key per call."""

    def __init__(
        self, *, store_port: store.Store, clock: timing.Clock, generator: random.Random
    ) -> None:
        self._store = store_port
        self._clock = clock
        self._generator = generator
        self._probes: dict[str, _Probe] = {}

    def set_unresponsive(self, unresponsive: Collection[str]) -> None:
        """Replaces the set of entries that are unresponsive."""
        for entry_id in list(self._probes):
            if entry_id not in unresponsive:
                del self._probes[entry_id]
        for entry_id in unresponsive:
            if entry_id not in self._probes:
                delays = backoff.Backoff(
                    generator=self._generator, base_s=PROBE_INTERVAL_S, limit_s=MAX_PROBE_INTERVAL_S
                )
                now = self._clock.seconds()
                self._probes[entry_id] = _Probe(delays=delays, unresponsive_since=now)

    async def poll(self) -> None:
        """Reads the key of the entry whose probe has been due longest."""
        now = self._clock.seconds()
        due = [
            (probe.due_at, entry_id)
            for entry_id, probe in self._probes.items()
            if probe.due_at <= now
        ]
        if not due:
            return
        _, entry_id = min(due)
        probe = self._probes[entry_id]
        outcome = await self._store.get(key=ownership_record.entry_key(entry_id))
        recent = now - probe.unresponsive_since < FREQUENT_PROBE_S
        probe.due_at = now + (PROBE_INTERVAL_S if recent else probe.delays.next_s())
        if not isinstance(outcome, result.Success):
            return
        if not _is_absent(outcome.unwrap()):
            probe.absent_since = None
        elif probe.absent_since is None:
            probe.absent_since = now

    def due_for_takeover(self, *, rank: int) -> list[str]:
        """Returns the entries whose key has been absent long enough for an entry of this rank.

        Each rank waits `RANK_DELAY_S` longer, so that one entry at a time tries to take over.
        """
        latest = self._clock.seconds() - rank * RANK_DELAY_S
        return sorted(
            entry_id
            for entry_id, probe in self._probes.items()
            if probe.absent_since is not None and probe.absent_since <= latest
        )

    async def confirm_removed(self, entry_id: str) -> bool:
        """Confirms by a compare-and-swap that an entry's key is absent, and writes the tombstone.

        A read may be stale; the swap is made against the store's current state, and the
        tombstone that it writes orders the entry's own next write of the key after it.
        """
        key = ownership_record.entry_key(entry_id)
        written = await self._store.swap(
            key=key, expected_version=store.ABSENT, value=membership.TOMBSTONE
        )
        if isinstance(written, result.Success):
            return True
        error = written.failure()
        if not isinstance(error, store.ConflictError):
            return False
        read = await self._store.get(key=key)
        if not isinstance(read, result.Success):
            return False
        stored = read.unwrap()
        return stored.version >= error.actual_version and stored.value == membership.TOMBSTONE


def _is_absent(stored: store.Stored) -> bool:
    return stored.version == store.ABSENT or stored.value == membership.TOMBSTONE
