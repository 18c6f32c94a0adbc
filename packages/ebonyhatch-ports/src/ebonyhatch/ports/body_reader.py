"""Reads the complete body of a response within limits on its size and on pauses."""

from __future__ import annotations

from typing import Any

from ebonyhatch.core import errors
from ebonyhatch.ports import timing
from twisted.internet import defer, protocol
from twisted.python import failure as failure_module
from twisted.web import client


class BodyError(errors.EbonyhatchError):
    """The body of a response is incomplete or too large."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(
            problem=f"the response body was not read completely: {reason}",
            remedy="treat the outcome as unknown",
        )


class BodyReader(protocol.Protocol):
    """Collects a body; one without an explicit end (length or last chunk) counts as truncated."""

    def __init__(
        self, *, limit_bytes: int, clock: timing.Clock | None = None, progress_s: float = 0.0
    ) -> None:
        self._limit_bytes = limit_bytes
        self._clock = clock
        self._progress_s = progress_s
        self._timer: timing.Timer | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self._body: defer.Deferred[bytes] = defer.Deferred()

    @property
    def body(self) -> defer.Deferred[bytes]:
        """Fires with the complete body, or fails with `BodyError`."""
        return self._body

    def connectionMade(self) -> None:  # noqa: N802
        """Starts the progress timer."""
        if self._clock is not None:
            self._timer = self._clock.callLater(
                self._progress_s, self._fail, "no data within the progress time limit"
            )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Appends a part and restarts the progress timer; fails if the body exceeds the limit."""
        self._size += len(data)
        if self._size > self._limit_bytes:
            self._fail(f"more than {self._limit_bytes} bytes")
            return
        self._parts.append(data)
        if self._timer is not None and self._timer.active():
            self._timer.reset(self._progress_s)

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """Delivers a complete body, and fails on a truncated one."""
        if reason.check(client.ResponseDone) and not self._body.called:
            self._stop_timer()
            self._body.callback(b"".join(self._parts))
        else:
            self._fail("it was truncated")

    def _fail(self, reason: str) -> None:
        self._stop_timer()
        if self._body.called:
            return
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()
        self._body.errback(failure_module.Failure(BodyError(reason=reason)))

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


def read(
    response: Any,
    *,
    limit_bytes: int,
    clock: timing.Clock | None = None,
    progress_s: float = 0.0,
) -> defer.Deferred[bytes]:
    """Reads the body of a response; with a clock, each part has to arrive within `progress_s`."""
    reader = BodyReader(limit_bytes=limit_bytes, clock=clock, progress_s=progress_s)
    response.deliverBody(reader)
    return reader.body
