"""The port to the platform's key-value service."""

from __future__ import annotations

import abc

import msgspec
from ebonyhatch.core import errors
from returns import result
from twisted.internet import defer

ABSENT = 0
"""Version of a key without a value."""

VALUE_LIMIT_BYTES = 1_000_000
"""Size limit of a value, bytes."""


class StoreError(errors.EbonyhatchError):
    """Base class of the errors of a call to the store."""


class ConflictError(StoreError):
    """The key's version was not the expected one; nothing was written."""

    def __init__(self, *, key: str, expected_version: int, actual_version: int) -> None:
        super().__init__(
            problem=f"{key} is at version {actual_version}, not {expected_version}",
            remedy="read the key again and decide on its current value",
        )
        self.key = key
        self.expected_version = expected_version
        self.actual_version = actual_version


class RefusedError(StoreError):
    """The call certainly had no effect: overload, bad argument, no such lease, not reachable.

    `unavailable` is true if the service could not be reached or accepts no calls at present.
    """

    def __init__(self, *, key: str, reason: str, unavailable: bool = False) -> None:
        super().__init__(
            problem=f"the store refused {key}: {reason}",
            remedy="try again later with backoff, or correct the argument",
        )
        self.key = key
        self.reason = reason
        self.unavailable = unavailable


class UnknownError(StoreError):
    """The response was lost: the call may or may not have taken effect."""

    def __init__(self, *, key: str, reason: str) -> None:
        super().__init__(
            problem=f"the outcome of a store call on {key} is unknown: {reason}",
            remedy="read the key back and compare",
        )
        self.key = key
        self.reason = reason


class Stored(msgspec.Struct, frozen=True, kw_only=True):
    """Value and version of a key; a key without a value has version `ABSENT` and empty bytes."""

    key: str
    value: bytes
    version: int


class Lease(msgspec.Struct, frozen=True, kw_only=True):
    """A lease granted by the service; keys attached to it are removed when it expires."""

    lease_id: str
    ttl_s: float


StoredOutcome = defer.Deferred[result.Result[Stored, StoreError]]
VersionOutcome = defer.Deferred[result.Result[int, StoreError]]
LeaseOutcome = defer.Deferred[result.Result[Lease, StoreError]]
DoneOutcome = defer.Deferred[result.Result[None, StoreError]]


class Store(abc.ABC):
    """Offers get, compare-and-swap, leases and watches, but neither listing nor deletion.

    The versions of a key only increase, also across the expiry of a lease, so that an expected
    version never matches by accident. Deferreds always fire with a result and never fail; each
    call is bounded by a timeout of the adapter.
    """

    @abc.abstractmethod
    def start(self) -> None:
        """Prepares for calls."""

    @abc.abstractmethod
    def close(self) -> None:
        """Ends all calls; open ones fire with `UnknownError` or `RefusedError`."""

    @abc.abstractmethod
    def get(self, *, key: str) -> StoredOutcome:
        """Reads a key."""

    @abc.abstractmethod
    def swap(
        self, *, key: str, expected_version: int, value: bytes, lease_id: str = ""
    ) -> VersionOutcome:
        """Writes `value` if the key is at `expected_version` (`ABSENT`: has no value).

        Args:
            key: The key.
            expected_version: Version that the caller read.
            value: New value, at most `VALUE_LIMIT_BYTES`.
            lease_id: Lease to which the key is attached; empty for none.

        Returns:
            The new version, or `ConflictError`, `RefusedError`, `UnknownError`.
        """

    @abc.abstractmethod
    def watch(self, *, key: str, after_version: int, wait_s: float) -> StoredOutcome:
        """Returns the key's value once its version differs from `after_version`, or after `wait_s`."""

    @abc.abstractmethod
    def grant(self, *, ttl_s: float) -> LeaseOutcome:
        """Grants a new lease."""

    @abc.abstractmethod
    def renew(self, *, lease_id: str) -> LeaseOutcome:
        """Renews a lease for its full duration; `RefusedError` if it has expired."""

    @abc.abstractmethod
    def revoke(self, *, lease_id: str) -> DoneOutcome:
        """Ends a lease immediately, which removes its keys."""
