"""An in-memory model of one entry's network link and processor, for its in-memory ports."""

from __future__ import annotations

import collections
from collections.abc import Coroutine
from typing import Any, TypeVar

from ebonyhatch.fleet import store
from twisted.internet import defer

SEGMENT_BYTES = 14_600
"""Bytes that one call has in transit: TCP's initial window."""

REQUEST_BYTES = 300
"""Size of a request without a body of its own, bytes; also of an answer without rows."""

T = TypeVar("T")


class Channel:
    """A resource that serves one piece of work at a time, in order of arrival."""

    def __init__(self, *, clock: Any) -> None:
        self._clock = clock
        self._waiting: collections.deque[tuple[float, defer.Deferred[None]]] = collections.deque()
        self._serving = False
        self._busy_s = 0.0

    @property
    def busy_s(self) -> float:
        """Time that all work begun so far takes, seconds."""
        return self._busy_s

    async def occupy(self, duration_s: float) -> None:
        """Waits for this piece of work to be served; one that is cancelled before takes no time."""
        served: defer.Deferred[None] = defer.Deferred()
        self._waiting.append((duration_s, served))
        if not self._serving:
            self._serve_next()
        await served

    def _serve_next(self) -> None:
        self._serving = False
        while self._waiting and not self._serving:
            duration_s, served = self._waiting.popleft()
            if served.called:
                continue
            self._serving = True
            self._busy_s += duration_s
            self._clock.callLater(duration_s, self._complete, served)

    def _complete(self, served: defer.Deferred[None]) -> None:
        self._serve_next()
        if not served.called:
            served.callback(None)


class Link:
    """The network link and the processor of one entry, shared by all its calls.

    A message passes in segments: those of concurrent messages take turns, and a cancelled call
    sends no more of them.

    Attributes:
        bytes_per_s: Bandwidth of each direction, bytes per second.
        call_cost_s: Processor time of a call, seconds: half for its request, half for its answer.
        sent_bytes: Bytes sent so far.
        received_bytes: Bytes received so far.
    """

    def __init__(self, *, clock: Any, bytes_per_s: float, call_cost_s: float = 0.0) -> None:
        self._clock = clock
        self.bytes_per_s = bytes_per_s
        self.call_cost_s = call_cost_s
        self.sent_bytes = 0
        self.received_bytes = 0
        self._outgoing = Channel(clock=clock)
        self._incoming = Channel(clock=clock)
        self._processor = Channel(clock=clock)

    @property
    def processor_busy_s(self) -> float:
        """Processor time that all calls so far took, seconds."""
        return self._processor.busy_s

    async def send(self, size_bytes: int) -> None:
        """Waits until a request is processed and has passed the link."""
        await self._process()
        await self._pass(self._outgoing, size_bytes)
        self.sent_bytes += size_bytes

    async def receive(
        self, size_bytes: int, *, on_bytes: store.OnBytes = store.ignore_bytes
    ) -> None:
        """Waits until an answer has passed the link and is processed; reports each segment."""
        await self._pass(self._incoming, size_bytes, on_bytes)
        self.received_bytes += size_bytes
        await self._process()

    async def bound(self, call: Coroutine[Any, Any, T], *, timeout_s: float) -> T:
        """Waits for a call; cancels it and raises `defer.TimeoutError` after `timeout_s`."""
        pending = defer.Deferred.fromCoroutine(call)
        pending.addTimeout(timeout_s, self._clock)
        return await pending

    async def _process(self) -> None:
        if self.call_cost_s:
            await self._processor.occupy(self.call_cost_s / 2)

    async def _pass(
        self, channel: Channel, size_bytes: int, on_bytes: store.OnBytes = store.ignore_bytes
    ) -> None:
        remaining = size_bytes
        while remaining > 0:
            segment = min(remaining, SEGMENT_BYTES)
            remaining -= segment
            await channel.occupy(segment / self.bytes_per_s)
            on_bytes()
