"""The port to the platform's key-value service."""

from __future__ import annotations

import abc

import msgspec
from ebonyhatch.core import errors
from returns import result
from twisted.internet import defer

ABSENT = 0
"""Version of a key that holds nothing."""

VALUE_LIMIT_BYTES = 1_000_000
"""Largest value that the service holds."""


class StoreError(errors.EbonyhatchError):
    """Base of what a store call may answer instead of a value."""


class ConflictError(StoreError):
    """The key's version was not the expected one; nothing was written."""

    def __init__(self, *, key: str, expected_version: int, actual_version: int) -> None:
        super().__init__(
            problem=f"{key} is at version {actual_version}, not {expected_version}",
            remedy="read the key again and decide anew",
        )
        self.key = key
        self.expected_version = expected_version
        self.actual_version = actual_version


class RefusedError(StoreError):
    """The call certainly had no effect: overload, bad argument, no such lease, not reachable.

    `unavailable` tells that the service was not reached or takes no calls now.
    """

    def __init__(self, *, key: str, reason: str, unavailable: bool = False) -> None:
        super().__init__(
            problem=f"the store refused {key}: {reason}",
            remedy="try again later with backoff, or mend the argument",
        )
        self.key = key
        self.reason = reason
        self.unavailable = unavailable


class UnknownError(StoreError):
    """The answer was lost: the call may or may not have taken effect."""

    def __init__(self, *, key: str, reason: str) -> None:
        super().__init__(
            problem=f"the outcome of a store call on {key} is unknown: {reason}",
            remedy="read the key back and compare",
        )
        self.key = key
        self.reason = reason


class Stored(msgspec.Struct, frozen=True, kw_only=True):
    """What a key holds; version `ABSENT` and an empty value where it holds nothing."""

    key: str
    value: bytes
    version: int


class Lease(msgspec.Struct, frozen=True, kw_only=True):
    """A lease granted by the service; keys tied to it vanish when it runs out."""

    lease_id: str
    ttl_s: float


StoredOutcome = defer.Deferred[result.Result[Stored, StoreError]]
VersionOutcome = defer.Deferred[result.Result[int, StoreError]]
LeaseOutcome = defer.Deferred[result.Result[Lease, StoreError]]
DoneOutcome = defer.Deferred[result.Result[None, StoreError]]


class Store(abc.ABC):
    """Get, compare-and-swap, leases and watches; no listing, no deletion.

    Versions of a key only grow, over expiry of leases too, so that an expected version
    is never met by accident. Deferreds always fire with a result and never fail; each call
    is bounded by a timeout of the adapter's.
    """

    @abc.abstractmethod
    def start(self) -> None:
        """Make ready for calls."""

    @abc.abstractmethod
    def close(self) -> None:
        """End all calls; open ones fire with `UnknownError` or `RefusedError`."""

    @abc.abstractmethod
    def get(self, *, key: str) -> StoredOutcome:
        """Read a key."""

    @abc.abstractmethod
    def swap(
        self, *, key: str, expected_version: int, value: bytes, lease_id: str = ""
    ) -> VersionOutcome:
        """Write `value` if the key is at `expected_version` (`ABSENT`: holds nothing).

        Args:
            key: The key.
            expected_version: Version that the caller read.
            value: New value, at most `VALUE_LIMIT_BYTES`.
            lease_id: Lease to tie the key to; empty for none.

        Returns:
            The new version, or `ConflictError`, `RefusedError`, `UnknownError`.
        """

    @abc.abstractmethod
    def watch(self, *, key: str, after_version: int, wait_s: float) -> StoredOutcome:
        """Answer once the key's version differs from `after_version`, or after `wait_s`."""

    @abc.abstractmethod
    def grant(self, *, ttl_s: float) -> LeaseOutcome:
        """Grant a new lease."""

    @abc.abstractmethod
    def renew(self, *, lease_id: str) -> LeaseOutcome:
        """Renew a lease for its full time; `RefusedError` when it has run out."""

    @abc.abstractmethod
    def revoke(self, *, lease_id: str) -> DoneOutcome:
        """End a lease now; its keys vanish."""
