"""Reading the whole body of an answer, within a limit and with progress."""

from __future__ import annotations

from typing import Any

from ebonyhatch.core import errors
from ebonyhatch.ports import timing
from twisted.internet import defer, protocol
from twisted.python import failure as failure_module
from twisted.web import client


class BodyError(errors.EbonyhatchError):
    """An answer's body did not arrive whole."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(
            problem=f"the answer is not whole: {reason}", remedy="treat the outcome as unknown"
        )


class BodyReader(protocol.Protocol):
    """Collects a body; one whose end is not marked counts as cut off."""

    def __init__(
        self, *, limit_bytes: int, clock: timing.Clock | None = None, progress_s: float = 0.0
    ) -> None:
        self._limit_bytes = limit_bytes
        self._clock = clock
        self._progress_s = progress_s
        self._timer: timing.Timer | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self._whole: defer.Deferred[bytes] = defer.Deferred()

    @property
    def whole(self) -> defer.Deferred[bytes]:
        """Fires with the whole body, or fails with `BodyError`."""
        return self._whole

    def connectionMade(self) -> None:  # noqa: N802
        """Begin to wait for progress."""
        if self._clock is not None:
            self._timer = self._clock.callLater(self._progress_s, self._fail, "no progress")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep a part."""
        self._size += len(data)
        if self._size > self._limit_bytes:
            self._fail(f"more than {self._limit_bytes} bytes")
            return
        self._parts.append(data)
        if self._timer is not None and self._timer.active():
            self._timer.reset(self._progress_s)

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """Tell a whole body from one that was cut off."""
        if reason.check(client.ResponseDone) and not self._whole.called:
            self._stop_timer()
            self._whole.callback(b"".join(self._parts))
        else:
            self._fail("it broke off")

    def _fail(self, reason: str) -> None:
        self._stop_timer()
        if self._whole.called:
            return
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()
        self._whole.errback(failure_module.Failure(BodyError(reason=reason)))

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
    """Read the body of a response; with a clock, within `progress_s` from part to part."""
    reader = BodyReader(limit_bytes=limit_bytes, clock=clock, progress_s=progress_s)
    response.deliverBody(reader)
    return reader.whole
