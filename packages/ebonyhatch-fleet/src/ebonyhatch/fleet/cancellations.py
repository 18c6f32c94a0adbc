"""Stored cancellations of jobs, and the calls that wait for one."""

from __future__ import annotations

import msgspec
from ebonyhatch.fleet import decoding
from twisted.internet import defer


class Cancellation(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A stored cancellation.

    Attributes:
        at: Time of day at which it was stored, seconds since 1970; 0 where it is unknown.
    """

    at: float = 0.0


def encode(*, at: float) -> bytes:
    """Returns the encoded cancellation."""
    return msgspec.json.encode(Cancellation(at=at))


def time_of(value: bytes) -> float:
    """Returns when a cancellation was stored, seconds since 1970; 0 where that can't be read."""
    try:
        return decoding.decode(value, Cancellation).at
    except decoding.UnreadableError:
        return 0.0


class Waiters:
    """Calls that wait until the cancellation of a job is durable."""

    def __init__(self) -> None:
        self._waiting: dict[str, list[defer.Deferred[None]]] = {}

    def add(self, job_id: str) -> defer.Deferred[None]:
        """Returns a result that fires once the end of a job is durable, or is cancelled by `close`."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiting.setdefault(job_id, []).append(waiter)
        return waiter

    def fire(self, job_id: str) -> None:
        """Answers the calls that wait for a job, whose end is durable."""
        for waiter in self._waiting.pop(job_id, []):
            waiter.callback(None)

    def close(self) -> None:
        """Cancels all calls that still wait."""
        for waiters in self._waiting.values():
            for waiter in waiters:
                if not waiter.called:
                    waiter.cancel()
