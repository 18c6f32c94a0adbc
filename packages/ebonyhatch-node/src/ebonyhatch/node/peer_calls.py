"""Calls to peers that await their reply; replies are matched by id alone."""

from __future__ import annotations

import dataclasses
import os
from typing import Any

from ebonyhatch.core import errors
from ebonyhatch.node import messages
from returns import result
from twisted.internet import defer

INCARNATION_BYTES = 8
COUNTER_BYTES = 8


class PeerError(errors.EbonyhatchError):
    """Base of the errors that a call to a peer returns instead of a reply."""


class PeerNotSentError(PeerError):
    """The call was certainly not delivered."""

    def __init__(self, *, entry_id: str, reason: str) -> None:
        super().__init__(
            problem=f"nothing was sent to peer {entry_id}: {reason}",
            remedy="choose another peer, or try again later",
        )
        self.entry_id = entry_id
        self.reason = reason


class PeerUnknownError(PeerError):
    """The call may or may not have been handled."""

    def __init__(self, *, entry_id: str, reason: str) -> None:
        super().__init__(
            problem=f"the outcome of a call to peer {entry_id} is unknown: {reason}",
            remedy="repeat it only if it is idempotent",
        )
        self.entry_id = entry_id
        self.reason = reason


Reply = result.Result[messages.Message, PeerError]


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """One call that awaits its reply; `size` is that of its frame in bytes."""

    entry_id: str
    size: int
    done: defer.Deferred[Reply]
    timeout: Any


class Calls:
    """All calls that await a reply, with their number and bytes for each peer."""

    __slots__ = ("_bytes", "_calls", "_counter", "_counts", "_incarnation", "_reactor")

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor
        self._calls: dict[bytes, Call] = {}
        self._counts: dict[str, int] = {}
        self._bytes: dict[str, int] = {}
        # Random, so that a late reply to a call of an earlier process of this entry matches no
        # call of this one.
        self._incarnation = os.urandom(INCARNATION_BYTES)
        self._counter = 0

    def next_id(self) -> bytes:
        """Returns an id that no other call has, also across restarts."""
        self._counter += 1
        return self._incarnation + self._counter.to_bytes(COUNTER_BYTES, "big")

    def count(self, entry_id: str) -> int:
        """Returns the number of calls that await a reply from a peer."""
        return self._counts.get(entry_id, 0)

    def size(self, entry_id: str) -> int:
        """Returns the total bytes of the calls that await a reply from a peer."""
        return self._bytes.get(entry_id, 0)

    def add(
        self, *, correlation: bytes, entry_id: str, size: int, timeout_s: float
    ) -> defer.Deferred[Reply]:
        """Registers a call and returns its result; unknown after `timeout_s` seconds."""
        unknown = PeerUnknownError(entry_id=entry_id, reason=f"no reply within {timeout_s:.3f} s")
        timeout = self._reactor.callLater(
            timeout_s, self.resolve, correlation, result.Failure(unknown)
        )

        def cancelled(_: defer.Deferred[Reply]) -> None:
            self._drop(correlation)

        done: defer.Deferred[Reply] = defer.Deferred(cancelled)
        self._calls[correlation] = Call(entry_id=entry_id, size=size, done=done, timeout=timeout)
        self._counts[entry_id] = self.count(entry_id) + 1
        self._bytes[entry_id] = self.size(entry_id) + size
        return done

    def entry_of(self, correlation: bytes) -> str | None:
        """Returns the entry id of the peer that a call was sent to, or None."""
        call = self._calls.get(correlation)
        return None if call is None else call.entry_id

    def resolve(self, correlation: bytes, outcome: Reply) -> bool:
        """Completes a call with its outcome; returns False when it is no longer pending."""
        call = self._drop(correlation)
        if call is None:
            return False
        call.done.callback(outcome)
        return True

    def resolve_all(self, *, entry_id: str | None, reason: str) -> None:
        """Completes all calls to one peer, or to all peers, with an unknown outcome."""
        for correlation, call in list(self._calls.items()):
            if entry_id in (None, call.entry_id):
                unknown = PeerUnknownError(entry_id=call.entry_id, reason=reason)
                self.resolve(correlation, result.Failure(unknown))

    def _drop(self, correlation: bytes) -> Call | None:
        call = self._calls.pop(correlation, None)
        if call is None:
            return None
        self._release(call)
        if call.timeout.active():
            call.timeout.cancel()
        return call

    def _release(self, call: Call) -> None:
        self._counts[call.entry_id] -= 1
        self._bytes[call.entry_id] -= call.size
        if not self._counts[call.entry_id]:
            del self._counts[call.entry_id]
            del self._bytes[call.entry_id]
