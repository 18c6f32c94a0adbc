"""Store that limits the rate of journal writes over all cells of an entry together."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Any

from ebonyhatch.ports import store, timing
from twisted.internet import defer

WRITES_PER_S = 8.0
"""Maximum number of writes of journals and snapshots per second.

The lease and the ownership record need the rest of an entry's ten writes per second.
"""

PACED_PREFIX = "cell/"
"""Keys whose writes are paced."""


class PacedStore(store.Store):
    """Passes every call on; writes of cells are queued and sent in order, at a limited rate."""

    def __init__(
        self,
        *,
        store_port: store.Store,
        clock: timing.Clock,
        writes_per_s: float = WRITES_PER_S,
    ) -> None:
        self._store = store_port
        self._clock = clock
        self._interval_s = 1.0 / writes_per_s
        self._waiting: collections.deque[Callable[[], None]] = collections.deque()
        self._next_write_at = float("-inf")
        self._timer: Any = None

    def start(self) -> None:
        """Prepares the underlying store for calls."""
        self._store.start()

    def close(self) -> None:
        """Ends all calls; queued writes are passed on and end like the others."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._store.close()
        while self._waiting:
            self._waiting.popleft()()

    def get(self, *, key: str) -> store.StoredOutcome:
        """Reads a key."""
        return self._store.get(key=key)

    def swap(
        self, *, key: str, expected_version: int, value: bytes, lease_id: str = ""
    ) -> store.VersionOutcome:
        """Writes a key, at once or, for keys of cells, when the rate allows it."""

        def write() -> store.VersionOutcome:
            return self._store.swap(
                key=key, expected_version=expected_version, value=value, lease_id=lease_id
            )

        if not key.startswith(PACED_PREFIX):
            return write()
        outcome: store.VersionOutcome = defer.Deferred()
        self._waiting.append(lambda: _chain(write(), outcome))
        self._write_next()
        return outcome

    def watch(self, *, key: str, after_version: int, wait_s: float) -> store.StoredOutcome:
        """Returns the value once the key's version differs."""
        return self._store.watch(key=key, after_version=after_version, wait_s=wait_s)

    def grant(self, *, ttl_s: float) -> store.LeaseOutcome:
        """Grants a new lease."""
        return self._store.grant(ttl_s=ttl_s)

    def renew(self, *, lease_id: str) -> store.LeaseOutcome:
        """Renews a lease."""
        return self._store.renew(lease_id=lease_id)

    def revoke(self, *, lease_id: str) -> store.DoneOutcome:
        """Revokes a lease."""
        return self._store.revoke(lease_id=lease_id)

    def _write_next(self) -> None:
        if self._timer is not None and self._timer.active():
            return
        now = self._clock.seconds()
        if not self._waiting:
            return
        if now < self._next_write_at:
            self._timer = self._clock.callLater(self._next_write_at - now, self._write_next)
            return
        self._next_write_at = now + self._interval_s
        write = self._waiting.popleft()
        self._timer = self._clock.callLater(self._interval_s, self._write_next)
        write()


def _chain(answered: store.VersionOutcome, outcome: store.VersionOutcome) -> None:
    """Passes an answer on to the waiting caller, unless that was cancelled in the meantime."""
    answered.addCallback(lambda answer: None if outcome.called else outcome.callback(answer))
