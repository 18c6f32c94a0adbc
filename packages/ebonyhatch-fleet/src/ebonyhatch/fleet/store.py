"""The port to a key-value store with listings, leases, watches and conditional transactions."""

from __future__ import annotations

import abc
from collections.abc import Callable

import msgspec
from ebonyhatch.core import errors
from returns import result

ABSENT = 0
"""Revision of a key that doesn't exist."""

TRANSACTION_LIMIT = 32
"""Maximum entries of one transaction, conditions included; the service's documented limit."""


class StoreError(errors.EbonyhatchError):
    """Base class of the errors that a call may return."""


class NotDoneError(StoreError):
    """The call had no effect: it was refused, or the store was overloaded or unreachable."""

    def __init__(self, *, call: str, reason: str) -> None:
        super().__init__(
            problem=f"the store did not carry out {call}: {reason}", remedy="retry with backoff"
        )
        self.call = call
        self.reason = reason


class RejectedError(NotDoneError):
    """The store never carries out this call: the call or a value in it exceeds a limit."""

    def __init__(self, *, call: str, reason: str) -> None:
        StoreError.__init__(
            self,
            problem=f"the store rejects {call}: {reason}",
            remedy="write smaller values, or fewer in one call",
        )
        self.call = call
        self.reason = reason


class UnknownOutcomeError(StoreError):
    """No answer arrived: the call may take effect now, later or never."""

    def __init__(self, *, call: str, reason: str) -> None:
        super().__init__(
            problem=f"the outcome of {call} is unknown: {reason}",
            remedy="read the keys again, or repeat the call under the same conditions",
        )
        self.call = call
        self.reason = reason


class Item(msgspec.Struct, frozen=True, kw_only=True):
    """A key and its value; `revision` is that of its last change, `created` that of its creation.

    `lease` is the lease that removes it, and 0 stands for none.
    """

    key: str
    value: bytes
    revision: int
    created: int = 0
    lease: int = 0


class ConflictError(StoreError):
    """A condition of a transaction did not hold; nothing was written.

    Attributes:
        items: Current state of those keys in the conditions that exist.
    """

    def __init__(self, *, items: tuple[Item, ...]) -> None:
        super().__init__(
            problem=f"keys have changed: {[(item.key, item.revision) for item in items]}",
            remedy="decide again from the current state",
        )
        self.items = items


class NoLeaseError(StoreError):
    """The lease expired or was revoked."""

    def __init__(self, *, lease: int) -> None:
        super().__init__(problem=f"lease {lease} has ended", remedy="request a new lease")
        self.lease = lease


class CompactedError(StoreError):
    """The history after the given revision has been compacted."""

    def __init__(self, *, after: int) -> None:
        super().__init__(
            problem=f"the history after revision {after} has been compacted",
            remedy="list the keys again",
        )
        self.after = after


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A change of a key; `item` is None where it was deleted."""

    key: str
    revision: int
    item: Item | None


class ListingPage(msgspec.Struct, frozen=True, kw_only=True):
    """A page of the items under a prefix, in the order of their keys.

    Attributes:
        items: Items of the page.
        has_more: Whether more items follow.
        as_of: Revision of the store when the page was read.
    """

    items: tuple[Item, ...]
    has_more: bool
    as_of: int


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """Items under a prefix; `as_of` is the store's revision before the first page was read."""

    items: tuple[Item, ...]
    as_of: int


class Changes(msgspec.Struct, frozen=True, kw_only=True):
    """Changes under a prefix; the next watch continues from `as_of`."""

    changes: tuple[Change, ...]
    as_of: int


class Condition(msgspec.Struct, frozen=True, kw_only=True):
    """Requires that a key is at this revision (`ABSENT`: that it does not exist)."""

    key: str
    revision: int


class Put(msgspec.Struct, frozen=True, kw_only=True):
    """A value to write; it is removed with its lease, and `lease` 0 stands for none."""

    key: str
    value: bytes
    lease: int = 0


class Lease(msgspec.Struct, frozen=True, kw_only=True):
    """A granted lease; its keys are removed when it expires or is revoked."""

    lease: int
    ttl_s: float


OnBytes = Callable[[], None]
"""Called whenever a part of an answer arrives."""


def ignore_bytes() -> None:
    """Does nothing when a part of an answer arrives."""


class Store(abc.ABC):
    """Calls to one store; each is bounded by a timeout and returns the store's errors as results."""

    @abc.abstractmethod
    async def get(self, *, key: str) -> result.Result[Item | None, StoreError]:
        """Reads a key; returns None if it does not exist. The read is linearizable."""

    @abc.abstractmethod
    async def list_page(
        self, *, prefix: str, after: str = "", on_bytes: OnBytes = ignore_bytes
    ) -> result.Result[ListingPage, StoreError]:
        """Reads the first keys under a prefix that come after a key; the store limits their number.

        Args:
            prefix: The prefix.
            after: The key.
            on_bytes: Called whenever a part of the answer arrives.
        """

    async def list(self, *, prefix: str) -> result.Result[Listing, StoreError]:
        """Reads all keys under a prefix, page by page; the pages are not one snapshot.

        Fails with the first page that fails.
        """
        items: list[Item] = []
        as_of: int | None = None
        after = ""
        while True:
            outcome = await self.list_page(prefix=prefix, after=after)
            if isinstance(outcome, result.Failure):
                return outcome
            page = outcome.unwrap()
            items += page.items
            # A watch from the first page's revision also covers changes made while later pages
            # were read.
            as_of = page.as_of if as_of is None else as_of
            if not page.has_more or not page.items:
                return result.Success(Listing(items=tuple(items), as_of=as_of))
            after = page.items[-1].key

    @abc.abstractmethod
    async def watch(
        self, *, prefix: str, after: int, wait_s: float
    ) -> result.Result[Changes, StoreError]:
        """Waits for changes after a revision; returns none after `wait_s`.

        Fails with `CompactedError` where the history after that revision has been compacted.
        """

    @abc.abstractmethod
    async def commit(
        self,
        *,
        conditions: tuple[Condition, ...] = (),
        puts: tuple[Put, ...] = (),
        removes: tuple[str, ...] = (),
    ) -> result.Result[int, StoreError]:
        """Writes everything or nothing, and returns the new revision.

        Fails with `ConflictError` if a condition does not hold, and with `NoLeaseError` if the
        lease of a put does not exist.
        """

    @abc.abstractmethod
    async def grant(self, *, ttl_s: float) -> result.Result[Lease, StoreError]:
        """Requests a lease."""

    @abc.abstractmethod
    async def renew(self, *, lease: int) -> result.Result[float, StoreError]:
        """Renews a lease and returns its length, seconds; fails with `NoLeaseError` if it has ended."""

    @abc.abstractmethod
    async def revoke(self, *, lease: int) -> result.Result[None, StoreError]:
        """Revokes a lease; its keys are removed."""
