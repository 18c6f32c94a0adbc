"""In-memory state of a key-value service: keys, versions, leases and watches."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import math

from ebonyhatch.ports import store, timing
from twisted.internet import defer

HISTORY_LENGTH = 64
"""Maximum number of values retained for each key, the current one included, for stale reads."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _Row:
    """The value of a key and its past values."""

    stored: store.Stored
    lease_id: str = ""
    history: collections.deque[tuple[float, store.Stored]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=HISTORY_LENGTH)
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class _LeaseRow:
    """An unexpired lease and the keys that are attached to it."""

    lease: store.Lease
    timer: timing.Timer
    keys: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _Watcher:
    """A watch call that waits for its key to change."""

    key: str
    after_version: int
    completion: defer.Deferred[store.Stored]
    timer: timing.Timer | None = None


class StoreEngine:
    """Keys whose versions come from one counter that only increases."""

    def __init__(self, *, clock: timing.Clock) -> None:
        self._clock = clock
        self._rows: dict[str, _Row] = {}
        self._leases: dict[str, _LeaseRow] = {}
        self._watchers: dict[str, list[_Watcher]] = {}
        self._versions = itertools.count(1)
        self._lease_numbers = itertools.count(1)
        self._counts: collections.Counter[str] = collections.Counter()

    @property
    def counts(self) -> collections.Counter[str]:
        """Number of calls so far by kind: get, swap, watch, grant, renew, revoke."""
        return self._counts

    def close(self) -> None:
        """Cancels all timers, so that no lease expires any more."""
        for row in self._leases.values():
            row.timer.cancel()
        self._leases.clear()
        for watchers in self._watchers.values():
            for watcher in watchers:
                if watcher.timer is not None:
                    watcher.timer.cancel()
        self._watchers.clear()

    def get(self, *, key: str, age_s: float = 0.0) -> store.Stored:
        """Returns a key as it was `age_s` seconds ago."""
        self._counts["get"] += 1
        return self._read(key, age_s)

    def swap(
        self, *, key: str, expected_version: int, value: bytes, lease_id: str = ""
    ) -> store.Stored:
        """Writes a key if it is at the expected version.

        Raises:
            store.ConflictError: If it is at another version.
            store.RefusedError: If the value is too large or the lease has expired.
        """
        self._counts["swap"] += 1
        if len(value) > store.VALUE_LIMIT_BYTES:
            raise store.RefusedError(
                key=key, reason=f"the value of {len(value)} bytes is too large"
            )
        if lease_id and lease_id not in self._leases:
            raise store.RefusedError(key=key, reason=f"there is no lease {lease_id}")
        actual = self._read(key, 0.0).version
        if actual != expected_version:
            raise store.ConflictError(
                key=key, expected_version=expected_version, actual_version=actual
            )
        stored = store.Stored(key=key, value=value, version=next(self._versions))
        self._write(stored, lease_id)
        return stored

    def watch(
        self, *, key: str, after_version: int, wait_s: float, age_s: float = 0.0
    ) -> defer.Deferred[store.Stored]:
        """Returns the key's value once its version differs from `after_version`, or after `wait_s`."""
        self._counts["watch"] += 1
        stored = self._read(key, age_s)
        if stored.version != after_version or wait_s <= 0:
            return defer.succeed(stored)
        watcher = _Watcher(key=key, after_version=after_version, completion=defer.Deferred())
        watcher.timer = self._clock.callLater(wait_s, self._complete, watcher)
        self._watchers.setdefault(key, []).append(watcher)
        return watcher.completion

    def grant(self, *, ttl_s: float) -> store.Lease:
        """Grants a lease.

        Raises:
            store.RefusedError: If the duration is not a positive finite number.
        """
        self._counts["grant"] += 1
        if not (math.isfinite(ttl_s) and ttl_s > 0):
            raise store.RefusedError(
                key="lease", reason=f"ttl_s {ttl_s} is not positive and finite"
            )
        lease = store.Lease(lease_id=f"lease-{next(self._lease_numbers)}", ttl_s=ttl_s)
        timer = self._clock.callLater(ttl_s, self._end_lease, lease.lease_id)
        self._leases[lease.lease_id] = _LeaseRow(lease=lease, timer=timer)
        return lease

    def renew(self, *, lease_id: str) -> store.Lease:
        """Renews a lease for its full duration.

        Raises:
            store.RefusedError: If it has expired.
        """
        self._counts["renew"] += 1
        row = self._leases.get(lease_id)
        if row is None:
            raise store.RefusedError(key=lease_id, reason="the lease has expired")
        row.timer.reset(row.lease.ttl_s)
        return row.lease

    def revoke(self, *, lease_id: str) -> None:
        """Ends a lease immediately; also succeeds if it has expired."""
        self._counts["revoke"] += 1
        row = self._leases.get(lease_id)
        if row is not None:
            row.timer.cancel()
            self._end_lease(lease_id)

    def _read(self, key: str, age_s: float) -> store.Stored:
        absent = store.Stored(key=key, value=b"", version=store.ABSENT)
        row = self._rows.get(key)
        if row is None:
            return absent
        if age_s <= 0:
            return row.stored
        then = self._clock.seconds() - age_s
        older = [stored for at, stored in row.history if at <= then]
        return older[-1] if older else absent

    def _write(self, stored: store.Stored, lease_id: str) -> None:
        row = self._rows.setdefault(stored.key, _Row(stored=stored))
        if row.lease_id in self._leases:
            self._leases[row.lease_id].keys.discard(stored.key)
        row.stored = stored
        row.lease_id = lease_id
        row.history.append((self._clock.seconds(), stored))
        if lease_id:
            self._leases[lease_id].keys.add(stored.key)
        self._notify(stored)

    def _notify(self, stored: store.Stored) -> None:
        for watcher in list(self._watchers.get(stored.key, ())):
            if watcher.after_version != stored.version:
                self._complete(watcher)

    def _complete(self, watcher: _Watcher) -> None:
        waiting = self._watchers[watcher.key]
        waiting.remove(watcher)
        if not waiting:
            del self._watchers[watcher.key]
        if watcher.timer is not None and watcher.timer.active():
            watcher.timer.cancel()
        watcher.completion.callback(self._read(watcher.key, 0.0))

    def _end_lease(self, lease_id: str) -> None:
        row = self._leases.pop(lease_id)
        for key in sorted(row.keys):
            self._write(store.Stored(key=key, value=b"", version=store.ABSENT), "")
