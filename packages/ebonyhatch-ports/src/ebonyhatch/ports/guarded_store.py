"""A store that spares the service: a limit on calls, a circuit breaker, and counts."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable
from typing import Any

from ebonyhatch.ports import backoff, call_rate, circuit, store, timing
from returns import result
from twisted.internet import defer
from twisted.python import failure

CALLS_PER_S = 50.0
"""Most calls a second that one entry makes."""

PROBE_LIMIT_S = 2.0
"""Upper bound of the delay between two probes, seconds."""


class Kind(enum.StrEnum):
    """Kinds of calls."""

    GET = "get"
    SWAP = "swap"
    WATCH = "watch"
    GRANT = "grant"
    RENEW = "renew"
    REVOKE = "revoke"


class CallOutcome(enum.StrEnum):
    """How a call ended; the last two were not sent."""

    OK = "ok"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    OVER_LIMIT = "over-limit"
    CIRCUIT_OPEN = "circuit-open"


PRIORITY_KINDS = frozenset({Kind.GRANT, Kind.RENEW, Kind.REVOKE})
"""Calls that keep a lease, which go first when calls are short."""

FAILED_OUTCOMES = frozenset({CallOutcome.UNAVAILABLE, CallOutcome.UNKNOWN})
"""Outcomes that speak against the service."""

Observe = Callable[[Kind, CallOutcome], None]


def ignore(kind: Kind, outcome: CallOutcome) -> None:
    """Observe nothing."""


class GuardedStore(store.Store):
    """Wraps a store; a call that is not sent ends with `RefusedError` at once."""

    def __init__(
        self,
        *,
        inner: store.Store,
        clock: timing.Clock,
        generator: random.Random,
        calls_per_s: float = CALLS_PER_S,
        observe: Observe = ignore,
    ) -> None:
        self._inner = inner
        self._observe = observe
        self._rate = call_rate.CallRate(clock=clock, calls_per_s=calls_per_s)
        delays = backoff.Backoff(generator=generator, limit_s=PROBE_LIMIT_S)
        self._circuit = circuit.Circuit(clock=clock, backoff=delays)

    @property
    def available(self) -> bool:
        """Whether calls are sent as usual."""
        return not self._circuit.open

    def start(self) -> None:
        """Make ready for calls."""
        self._inner.start()

    def close(self) -> None:
        """End all calls."""
        self._inner.close()

    def get(self, *, key: str) -> store.StoredOutcome:
        """Read a key."""
        return self._call(Kind.GET, key, lambda: self._inner.get(key=key))

    def swap(
        self, *, key: str, expected_version: int, value: bytes, lease_id: str = ""
    ) -> store.VersionOutcome:
        """Write a key that is at `expected_version`."""
        return self._call(
            Kind.SWAP,
            key,
            lambda: self._inner.swap(
                key=key, expected_version=expected_version, value=value, lease_id=lease_id
            ),
        )

    def watch(self, *, key: str, after_version: int, wait_s: float) -> store.StoredOutcome:
        """Answer once the key's version differs; as a probe, at once."""
        wait_s = 0.0 if self._circuit.open else wait_s
        return self._call(
            Kind.WATCH,
            key,
            lambda: self._inner.watch(key=key, after_version=after_version, wait_s=wait_s),
        )

    def grant(self, *, ttl_s: float) -> store.LeaseOutcome:
        """Grant a new lease."""
        return self._call(Kind.GRANT, "lease", lambda: self._inner.grant(ttl_s=ttl_s))

    def renew(self, *, lease_id: str) -> store.LeaseOutcome:
        """Renew a lease for its full time."""
        return self._call(Kind.RENEW, lease_id, lambda: self._inner.renew(lease_id=lease_id))

    def revoke(self, *, lease_id: str) -> store.DoneOutcome:
        """End a lease now."""
        return self._call(Kind.REVOKE, lease_id, lambda: self._inner.revoke(lease_id=lease_id))

    def _call(self, kind: Kind, key: str, send: Callable[[], Any]) -> Any:
        if not self._circuit.allows():
            return self._refuse(kind, key, CallOutcome.CIRCUIT_OPEN)
        if not self._rate.take(priority=kind in PRIORITY_KINDS):
            return self._refuse(kind, key, CallOutcome.OVER_LIMIT)
        probe = self._circuit.open
        if probe:
            self._circuit.probe()
        return send().addBoth(self._ended, kind, probe)

    def _refuse(self, kind: Kind, key: str, outcome: CallOutcome) -> Any:
        self._observe(kind, outcome)
        refused = store.RefusedError(key=key, reason=outcome.value, unavailable=True)
        return defer.succeed(result.Failure(refused))

    def _ended(self, answer: Any, kind: Kind, probe: bool) -> Any:
        outcome = _outcome_of(answer)
        self._observe(kind, outcome)
        well = outcome not in FAILED_OUTCOMES
        self._circuit.ended(well=well, probe=probe)
        if probe and well:
            self._rate.drain()
        return answer


def _outcome_of(answer: Any) -> CallOutcome:
    if isinstance(answer, failure.Failure):
        return CallOutcome.UNKNOWN
    if isinstance(answer, result.Success):
        return CallOutcome.OK
    error = answer.failure()
    if isinstance(error, store.ConflictError):
        return CallOutcome.CONFLICT
    if isinstance(error, store.RefusedError):
        return CallOutcome.UNAVAILABLE if error.unavailable else CallOutcome.REFUSED
    return CallOutcome.UNKNOWN
