"""Protects the store service by a rate limit and a circuit breaker, and reports outcomes."""

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
"""Upper bound of the calls per second of one entry."""

MAX_PROBE_DELAY_S = 2.0
"""Upper bound of the delay between two probes, seconds."""


class Kind(enum.StrEnum):
    """Kind of a call."""

    GET = "get"
    SWAP = "swap"
    WATCH = "watch"
    GRANT = "grant"
    RENEW = "renew"
    REVOKE = "revoke"


class CallOutcome(enum.StrEnum):
    """Outcome of a call; a call with one of the last two was not sent."""

    OK = "ok"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    OVER_LIMIT = "over-limit"
    CIRCUIT_OPEN = "circuit-open"


PRIORITY_KINDS = frozenset({Kind.GRANT, Kind.RENEW, Kind.REVOKE})
"""Calls that concern leases; they alone may use the fraction of the rate reserved for priority."""

FAILED_OUTCOMES = frozenset({CallOutcome.UNAVAILABLE, CallOutcome.UNKNOWN})
"""Outcomes that count as failures of the service."""

Observer = Callable[[Kind, CallOutcome], None]


def ignore_call(kind: Kind, outcome: CallOutcome) -> None:
    """Ignores the outcome of a call."""


class GuardedStore(store.Store):
    """Wraps a store; a call that is not sent ends with `RefusedError` immediately."""

    def __init__(
        self,
        *,
        inner: store.Store,
        clock: timing.Clock,
        generator: random.Random,
        calls_per_s: float = CALLS_PER_S,
        observe: Observer = ignore_call,
    ) -> None:
        self._inner = inner
        self._observe = observe
        self._rate = call_rate.CallRate(clock=clock, calls_per_s=calls_per_s)
        delays = backoff.Backoff(generator=generator, limit_s=MAX_PROBE_DELAY_S)
        self._circuit = circuit.Circuit(clock=clock, backoff=delays)

    @property
    def available(self) -> bool:
        """Whether calls are sent, i.e. the circuit is closed."""
        return not self._circuit.open

    def start(self) -> None:
        """Prepares for calls."""
        self._inner.start()

    def close(self) -> None:
        """Ends all calls."""
        self._inner.close()

    def get(self, *, key: str) -> store.StoredOutcome:
        """Reads a key."""
        return self._call(Kind.GET, key, lambda: self._inner.get(key=key))

    def swap(
        self, *, key: str, expected_version: int, value: bytes, lease_id: str = ""
    ) -> store.VersionOutcome:
        """Writes a key if it is at `expected_version`."""
        return self._call(
            Kind.SWAP,
            key,
            lambda: self._inner.swap(
                key=key, expected_version=expected_version, value=value, lease_id=lease_id
            ),
        )

    def watch(self, *, key: str, after_version: int, wait_s: float) -> store.StoredOutcome:
        """Returns the key's value once its version differs; as a probe, immediately."""
        wait_s = 0.0 if self._circuit.open else wait_s
        return self._call(
            Kind.WATCH,
            key,
            lambda: self._inner.watch(key=key, after_version=after_version, wait_s=wait_s),
        )

    def grant(self, *, ttl_s: float) -> store.LeaseOutcome:
        """Grants a new lease."""
        return self._call(Kind.GRANT, "lease", lambda: self._inner.grant(ttl_s=ttl_s))

    def renew(self, *, lease_id: str) -> store.LeaseOutcome:
        """Renews a lease for its full duration."""
        return self._call(Kind.RENEW, lease_id, lambda: self._inner.renew(lease_id=lease_id))

    def revoke(self, *, lease_id: str) -> store.DoneOutcome:
        """Ends a lease immediately."""
        return self._call(Kind.REVOKE, lease_id, lambda: self._inner.revoke(lease_id=lease_id))

    def _call(self, kind: Kind, key: str, send: Callable[[], Any]) -> Any:
        if not self._circuit.allows():
            return self._refuse(kind, key, CallOutcome.CIRCUIT_OPEN)
        if not self._rate.acquire(priority=kind in PRIORITY_KINDS):
            return self._refuse(kind, key, CallOutcome.OVER_LIMIT)
        probe = self._circuit.open
        if probe:
            self._circuit.probe()
        return send().addBoth(self._record_outcome, kind, probe)

    def _refuse(self, kind: Kind, key: str, outcome: CallOutcome) -> Any:
        self._observe(kind, outcome)
        refused = store.RefusedError(key=key, reason=outcome.value, unavailable=True)
        return defer.succeed(result.Failure(refused))

    def _record_outcome(self, call_result: Any, kind: Kind, probe: bool) -> Any:
        outcome = _outcome_of(call_result)
        self._observe(kind, outcome)
        succeeded = outcome not in FAILED_OUTCOMES
        self._circuit.record_outcome(succeeded=succeeded, probe=probe)
        if probe and succeeded:
            self._rate.drain()
        return call_result


def _outcome_of(call_result: Any) -> CallOutcome:
    if isinstance(call_result, failure.Failure):
        return CallOutcome.UNKNOWN
    if isinstance(call_result, result.Success):
        return CallOutcome.OK
    error = call_result.failure()
    if isinstance(error, store.ConflictError):
        return CallOutcome.CONFLICT
    if isinstance(error, store.RefusedError):
        return CallOutcome.UNAVAILABLE if error.unavailable else CallOutcome.REFUSED
    return CallOutcome.UNKNOWN
