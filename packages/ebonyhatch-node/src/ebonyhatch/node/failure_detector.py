"""Finds out which silent entries are gone: their key has vanished from the store."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Collection

from ebonyhatch.node import membership, ownership_record
from ebonyhatch.ports import backoff, store, timing
from returns import result

PROBE_INTERVAL_S = 0.9
"""Time between two looks at an entry that fell silent lately, seconds."""

FREQUENT_PROBE_S = 10.0
"""Time after which a silent entry whose key is still there is looked at less often, seconds."""

MAX_PROBE_INTERVAL_S = 8.0
"""Longest time between two looks at an entry that is silent but present, seconds."""

RANK_DELAY_S = 0.7
"""Time that each entry leaves to the one before it to take a gone one's cells over, seconds."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _Probe:
    """Looks at one silent entry."""

    delays: backoff.Backoff
    unresponsive_since: float
    due_at: float = 0.0
    absent_since: float | None = None


class FailureDetector:
    """Looks at the keys of silent entries, at most one a call."""

    def __init__(
        self, *, store_port: store.Store, clock: timing.Clock, generator: random.Random
    ) -> None:
        self._store = store_port
        self._clock = clock
        self._generator = generator
        self._probes: dict[str, _Probe] = {}

    def set(self, unresponsive: Collection[str]) -> None:
        """Say which entries are silent now."""
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
        """Read the key of the entry whose look is due longest."""
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

    def ready(self, *, rank: int) -> list[str]:
        """Entries that look gone for so long that it is this entry's turn to take over."""
        limit = self._clock.seconds() - rank * RANK_DELAY_S
        return sorted(
            entry_id
            for entry_id, probe in self._probes.items()
            if probe.absent_since is not None and probe.absent_since <= limit
        )

    async def confirm_removed(self, entry_id: str) -> bool:
        """Prove by a compare-and-swap that an entry's key is absent.

        A read may come from the store's past; the swap is made against its present, and what
        it writes makes the entry's own next write of the key follow it.
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
