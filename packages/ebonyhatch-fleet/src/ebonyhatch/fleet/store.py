"""The port to a store with listings, leases, watches and conditional transactions."""

from __future__ import annotations

import abc

import msgspec
from ebonyhatch.core import errors
from returns import result

ABSENT = 0
"""Revision of a key that doesn't exist."""

TRANSACTION_LIMIT = 32
"""Most entries of one transaction, conditions included; the service's documented limit."""


class StoreError(errors.EbonyhatchError):
    """What a call may give instead of a value."""


class NotDoneError(StoreError):
    """The call certainly had no effect: refused, overloaded or not reached."""

    def __init__(self, *, call: str, reason: str) -> None:
        super().__init__(
            problem=f"the store did not do {call}: {reason}", remedy="try again with backoff"
        )
        self.call = call
        self.reason = reason


class UnknownOutcomeError(StoreError):
    """No answer: the call may take effect now, later or never."""

    def __init__(self, *, call: str, reason: str) -> None:
        super().__init__(
            problem=f"the outcome of {call} is unknown: {reason}",
            remedy="read back, or repeat it under the same condition",
        )
        self.call = call
        self.reason = reason


class Item(msgspec.Struct, frozen=True, kw_only=True):
    """What a key holds; `revision` is that of its last change."""

    key: str
    value: bytes
    revision: int
    created: int = 0
    lease: int = 0


class ConflictError(StoreError):
    """A condition of a transaction didn't hold; nothing was done.

    Attributes:
        items: Current state of the keys in the conditions, those that exist.
    """

    def __init__(self, *, items: tuple[Item, ...]) -> None:
        super().__init__(
            problem=f"keys have changed: {[(item.key, item.revision) for item in items]}",
            remedy="decide anew from the current state",
        )
        self.items = items


class NoLeaseError(StoreError):
    """The lease has ended."""

    def __init__(self, *, lease: int) -> None:
        super().__init__(problem=f"lease {lease} has ended", remedy="take a new lease")
        self.lease = lease


class CompactedError(StoreError):
    """The history after the given revision is gone."""

    def __init__(self, *, after: int) -> None:
        super().__init__(problem=f"no history after {after}", remedy="list the keys again")
        self.after = after


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A change of a key; `item` is None where it was deleted."""

    key: str
    revision: int
    item: Item | None


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """Items under a prefix; `as_of` is the store's revision before the first page."""

    items: tuple[Item, ...]
    as_of: int


class Changes(msgspec.Struct, frozen=True, kw_only=True):
    """What changed; the next watch goes on from `as_of`."""

    changes: tuple[Change, ...]
    as_of: int


class Condition(msgspec.Struct, frozen=True, kw_only=True):
    """A key must be at this revision (`ABSENT`: must not exist)."""

    key: str
    revision: int


class Put(msgspec.Struct, frozen=True, kw_only=True):
    """A value to write; `lease` 0 ties it to none."""

    key: str
    value: bytes
    lease: int = 0


class Lease(msgspec.Struct, frozen=True, kw_only=True):
    """A granted lease; its keys are removed when it ends."""

    lease: int
    ttl_s: float


class Store(abc.ABC):
    """One store; each call is bounded by a timeout and never raises for the store's answers."""

    @abc.abstractmethod
    async def get(self, *, key: str) -> result.Result[Item | None, StoreError]:
        """Read a key; None where it doesn't exist. Linearizable."""

    @abc.abstractmethod
    async def list(self, *, prefix: str) -> result.Result[Listing, StoreError]:
        """Read all keys under a prefix, page by page. Pages are not a snapshot."""

    @abc.abstractmethod
    async def watch(
        self, *, prefix: str, after: int, wait_s: float
    ) -> result.Result[Changes, StoreError]:
        """Wait for changes after a revision; none after `wait_s`. May give `CompactedError`."""

    @abc.abstractmethod
    async def commit(
        self,
        *,
        conditions: tuple[Condition, ...] = (),
        puts: tuple[Put, ...] = (),
        removes: tuple[str, ...] = (),
    ) -> result.Result[int, StoreError]:
        """Do all or nothing; gives the revision, `ConflictError` or `NoLeaseError`."""

    @abc.abstractmethod
    async def grant(self, *, ttl_s: float) -> result.Result[Lease, StoreError]:
        """Take a lease."""

    @abc.abstractmethod
    async def keep(self, *, lease: int) -> result.Result[float, StoreError]:
        """Renew a lease; gives its time, seconds, or `NoLeaseError`."""

    @abc.abstractmethod
    async def end(self, *, lease: int) -> result.Result[None, StoreError]:
        """End a lease; its keys are removed."""
