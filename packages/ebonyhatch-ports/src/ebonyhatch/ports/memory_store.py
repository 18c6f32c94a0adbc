"""In-memory store, for the embedded default and for tests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ebonyhatch.ports import fault_switches, memory_calls, store, store_engine, timing

CALL_TIMEOUT_S = 2.0
"""Time limit of a call, seconds."""


class MemoryStore(store.Store):
    """Calls a `StoreEngine` in this process.

    Several clients may share one engine; each has its own faults.
    """

    def __init__(
        self,
        *,
        clock: timing.Clock,
        engine: store_engine.StoreEngine | None = None,
        faults: fault_switches.Faults | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._engine = engine or store_engine.StoreEngine(clock=clock)
        self._owns_engine = engine is None
        self._faults = faults or fault_switches.Faults()
        self._calls = memory_calls.MemoryCalls(clock=clock, faults=self._faults)
        self._timeout_s = timeout_s

    @property
    def engine(self) -> store_engine.StoreEngine:
        """The state that this client reads and writes."""
        return self._engine

    @property
    def faults(self) -> fault_switches.Faults:
        """Faults that are injected into the calls of this client."""
        return self._faults

    def start(self) -> None:
        """Prepares for calls."""
        self._calls.start()

    def close(self) -> None:
        """Ends open calls, and closes the engine unless it was passed in."""
        self._calls.close()
        if self._owns_engine:
            self._engine.close()

    def get(self, *, key: str) -> store.StoredOutcome:
        """Reads a key."""
        return self._call(key, lambda: self._engine.get(key=key, age_s=self._faults.stale_s))

    def swap(
        self, *, key: str, expected_version: int, value: bytes, lease_id: str = ""
    ) -> store.VersionOutcome:
        """Writes a key if it is at `expected_version`."""

        def effect() -> int:
            stored = self._engine.swap(
                key=key, expected_version=expected_version, value=value, lease_id=lease_id
            )
            return stored.version

        return self._call(key, effect)

    def watch(self, *, key: str, after_version: int, wait_s: float) -> store.StoredOutcome:
        """Returns the key's value once its version differs from `after_version`, or after `wait_s`."""

        def effect() -> Any:
            return self._engine.watch(
                key=key, after_version=after_version, wait_s=wait_s, age_s=self._faults.stale_s
            )

        return self._call(key, effect, extra_s=max(wait_s, 0.0))

    def grant(self, *, ttl_s: float) -> store.LeaseOutcome:
        """Grants a new lease."""
        return self._call("lease", lambda: self._engine.grant(ttl_s=ttl_s))

    def renew(self, *, lease_id: str) -> store.LeaseOutcome:
        """Renews a lease for its full duration."""
        return self._call(lease_id, lambda: self._engine.renew(lease_id=lease_id))

    def revoke(self, *, lease_id: str) -> store.DoneOutcome:
        """Ends a lease immediately."""
        return self._call(lease_id, lambda: self._engine.revoke(lease_id=lease_id))

    def _call(self, key: str, effect: Callable[[], Any], *, extra_s: float = 0.0) -> Any:
        return self._calls.call(
            effect=effect,
            refused=lambda reason: store.RefusedError(key=key, reason=reason, unavailable=True),
            unknown=lambda reason: store.UnknownError(key=key, reason=reason),
            timeout_s=self._timeout_s + extra_s,
        )
