"""HTTP connections that stay within limits and the budget of the process.

All listeners of a process share one `Supervisor`. It parses what clients sent in parts, one
connection after the other, so that timers and other connections get their turn.
"""

from __future__ import annotations

import collections
import contextlib
import io
import os
import resource
from collections.abc import Callable, Mapping
from typing import Any

from ebonyhatch.node import chunked_body, request_budget
from ebonyhatch.ports import timing
from twisted.internet import interfaces, protocol, tcp
from twisted.web import http
from zope.interface import implementer

PART_BYTES = 2_048
"""Bytes that one connection has parsed before the next one's turn, unless they belong to one large
chunk or body, which costs little to receive: 341 chunks of one byte, or some 20 header lines."""

PARTS_PER_TURN = 64
"""Maximum number of parts that are parsed in one iteration of the event loop."""

TURN_S = 0.005
"""Time of an iteration after which no further part is parsed, seconds; heartbeats and renewals wait
as long."""

EAGER_BYTES = 16_384
"""Bytes that are read ahead while a request is answered; a connection that isn't read doesn't report
that its client closed it."""

ACCEPT_PAUSE_S = 0.01
"""Pause before connections are accepted again when there is no room for one, seconds. They wait in the
backlog of the port; to accept and close them would turn ordinary callers away with a crowd."""

SWEEP_PERIOD_S = 0.5
"""Time between two checks of the time limits, seconds."""

SWEEPS_PER_REPORT = 2
"""Checks of the time limits for each line of refusals in the log."""

SWEEPS_PER_DESCRIPTOR_COUNT = 10
"""Checks of the time limits for each count of the open descriptors, which takes 1 ms for 4,000."""

DISCARD_BYTES = 1_048_576
"""Bytes that are still read, and discarded, from a client that was refused: closing a connection with
unread bytes resets it, and the client might not read the refusal."""

_LIBRARY_DECODER = http._ChunkedTransferDecoder
"""Bound once: each access to an attribute of `twisted.web.http` passes through a proxy for deprecated
names, which takes some microseconds."""

DESCRIPTORS_FOLDER = "/proc/self/fd"

STATUSES = {
    request_budget.Cause.BODY_TOO_LARGE: http.REQUEST_ENTITY_TOO_LARGE,
    request_budget.Cause.HEAD_TOO_LARGE: 431,
    request_budget.Cause.MALFORMED: http.BAD_REQUEST,
    request_budget.Cause.HEAD_TIMEOUT: http.REQUEST_TIMEOUT,
    request_budget.Cause.BODY_TIMEOUT: http.REQUEST_TIMEOUT,
    request_budget.Cause.BUDGET: http.SERVICE_UNAVAILABLE,
    request_budget.Cause.CONNECTIONS: http.SERVICE_UNAVAILABLE,
}
"""Status of the refusal by cause; connections that end for another cause get none."""

PHRASES = {431: b"Request Header Fields Too Large"}

Refusal = Callable[[int, request_budget.Cause], tuple[bytes, bytes]]
"""Returns the media type and the body of a refusal by status and cause."""

Report = Callable[[Mapping[request_budget.Cause, int], "Supervisor"], None]
"""Logs the refusals since the last report, by cause."""


def descriptors_of_process() -> int:
    """Returns the maximum number of descriptors that this process may open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


class Supervisor:
    """Keeps the connections of all listeners of a process within the budget."""

    def __init__(
        self, *, clock: timing.Clock, budget: request_budget.Budget, report: Report
    ) -> None:
        """Creates the supervisor of a process.

        Args:
            clock: Clock that runs the timers.
            budget: What the process may hold for callers.
            report: Logs refusals; called at most once a second.
        """
        self._clock = clock
        self._budget = request_budget.RequestBudget(budget=budget)
        self._report = report
        self._channels: dict[request_budget.Connection, BoundedChannel] = {}
        self._backlog: collections.deque[BoundedChannel] = collections.deque()
        self._parsing = False
        self._sweeping = False
        self._sweeps = 0
        self._unreported: collections.Counter[request_budget.Cause] = collections.Counter()
        self._refused: collections.Counter[request_budget.Cause] = collections.Counter()

    @property
    def clock(self) -> timing.Clock:
        """Clock that runs the timers."""
        return self._clock

    @property
    def budget(self) -> request_budget.RequestBudget:
        """What the connections hold."""
        return self._budget

    @property
    def refused(self) -> Mapping[request_budget.Cause, int]:
        """Number of refusals and closed connections by cause."""
        return self._refused

    def gauges(self) -> dict[str, float]:
        """Returns the state of the callers' connections: metric names and values."""
        state = {
            "caller_connections": float(len(self._budget)),
            "caller_connections_limit": float(self._budget.max_connections),
            "caller_held_bytes": float(self._budget.held_bytes),
        }
        for cause in request_budget.Cause:
            name = f"caller_refusals_{cause.value.replace('-', '_')}"
            state[name] = float(self._refused[cause])
        return state

    def admits(self) -> bool:
        """Returns whether a new connection is accepted."""
        if not self._budget.full:
            return True
        self.relieve()
        if not self._budget.full:
            return True
        self.count(request_budget.Cause.CONNECTIONS)
        return False

    def room(self) -> int:
        """Returns the number of connections that may be accepted, after room was made for some."""
        self.relieve()
        return self._budget.max_connections - len(self._budget)

    def opened(
        self, channel: BoundedChannel, limits: request_budget.CallerLimits
    ) -> request_budget.Connection:
        """Adds a connection."""
        connection = self._budget.open(limits=limits, now=self.clock.seconds())
        self._channels[connection] = channel
        if not self._sweeping:
            self._sweeping = True
            self.clock.callLater(SWEEP_PERIOD_S, self._sweep)
        self.relieve()
        return connection

    def closed(self, connection: request_budget.Connection) -> None:
        """Removes a connection."""
        self._budget.close(connection)
        self._channels.pop(connection, None)

    def count(self, cause: request_budget.Cause) -> None:
        """Counts a refusal or a closed connection."""
        self._refused[cause] += 1
        self._unreported[cause] += 1

    def relieve(self) -> None:
        """Closes the most wasteful connections while the budget is exceeded."""
        if not self._budget.exceeded:
            return
        for connection in self._budget.to_close(now=self.clock.seconds()):
            self._channels[connection].end(request_budget.Cause.BUDGET)

    def schedule(self, channel: BoundedChannel) -> None:
        """Gives a connection a turn to parse what it has received."""
        self._backlog.append(channel)
        if not self._parsing:
            self._parsing = True
            self.clock.callLater(0.0, self._parse)

    def _parse(self) -> None:
        started_at = self.clock.seconds()
        for _ in range(PARTS_PER_TURN):
            if not self._backlog:
                break
            self._backlog.popleft().parse_part()
            if self.clock.seconds() - started_at > TURN_S:
                break
        self._parsing = bool(self._backlog)
        if self._parsing:
            self.clock.callLater(0.0, self._parse)

    def _sweep(self) -> None:
        """Applies the time limits, counts descriptors and reports refusals."""
        self._sweeps += 1
        for connection in self._budget:
            self._channels[connection].count_untaken()
        for connection, cause in self._budget.expired(now=self.clock.seconds()):
            self._channels[connection].end(cause)
        if self._sweeps % SWEEPS_PER_DESCRIPTOR_COUNT == 0:
            self._count_descriptors()
        if self._unreported and self._sweeps % SWEEPS_PER_REPORT == 0:
            unreported, self._unreported = self._unreported, collections.Counter()
            self._report(unreported, self)
        self.relieve()
        self._sweeping = bool(self._channels or self._unreported)
        if self._sweeping:
            self.clock.callLater(SWEEP_PERIOD_S, self._sweep)

    def _count_descriptors(self) -> None:
        """Counts the descriptors open for other uses, while the connections come close to a limit."""
        if len(self._channels) * 2 < self._budget.max_connections:
            return
        with contextlib.suppress(OSError):
            others = len(os.listdir(DESCRIPTORS_FOLDER)) - len(self._channels)
            self._budget.set_other_descriptors(max(0, others))


class _Port(tcp.Port):
    """A listening port that accepts no more connections at a time than there is room for."""

    supervisor: Supervisor

    def doRead(self) -> None:  # noqa: N802
        """Accepts connections."""
        room = self.supervisor.room()
        if room <= 0:
            self.stopReading()
            self.reactor.callLater(ACCEPT_PAUSE_S, self._accept_again)
            return
        self.numberAccepts = min(self.numberAccepts, room)
        super().doRead()

    def _accept_again(self) -> None:
        if self.connected and not self.disconnecting:
            self.startReading()


def listen(
    *,
    reactor: Any,
    supervisor: Supervisor,
    factory: Any,
    host: str,
    port: int,
    backlog: int,
) -> Any:
    """Listens for callers.

    Returns:
        The listening port.

    Raises:
        twisted.internet.error.CannotListenError: When the address can't be bound.
    """
    if not interfaces.IReactorFDSet.providedBy(reactor):
        return reactor.listenTCP(port, factory, interface=host, backlog=backlog)
    listening = _Port(port, factory, backlog, host, reactor)
    listening.supervisor = supervisor
    listening.startListening()
    return listening


@implementer(interfaces.IPushProducer)
class _Input:
    """A connection's input, which is read only while neither the channel nor the parser pauses it."""

    def __init__(self, producer: Any) -> None:
        self._producer = producer
        self._paused_by_channel = False
        self._paused_by_parser = False

    def pauseProducing(self) -> None:  # noqa: N802
        self._paused_by_channel = True
        self._producer.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        self._paused_by_channel = False
        if not self._paused_by_parser:
            self._producer.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        self._producer.stopProducing()

    def unregisterProducer(self) -> None:  # noqa: N802
        self._producer.unregisterProducer()

    def pause_for_parser(self) -> None:
        if not self._paused_by_parser:
            self._paused_by_parser = True
            self._producer.pauseProducing()

    def resume_for_parser(self) -> None:
        if self._paused_by_parser:
            self._paused_by_parser = False
            if not self._paused_by_channel:
                self._producer.resumeProducing()


class BoundedBody:
    """Mixed into a request: its body is held in memory, up to the limit of its connection.

    The library writes large bodies to temporary files, but instances have no disks.
    """

    channel: Any
    content: Any

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepares for a body of `length` bytes, or of unknown length if None."""
        self.content = io.BytesIO()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Adds a part of the body, unless it exceeds the limit."""
        if self.channel.take_body(len(data)):
            self.content.write(data)


class BoundedChannel(http.HTTPChannel):
    """A connection from a caller."""

    supervisor: Supervisor
    limits: Callable[[], request_budget.CallerLimits]
    refusal: Refusal
    transport: Any

    def __init__(self) -> None:
        super().__init__()
        self._pending = bytearray()
        self._connection: request_budget.Connection | None = None
        self._input: Any = None
        self._scheduled = False
        self._refused = False
        self._discarded_bytes = 0
        self._body_bytes = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Adds the connection to the budget."""
        super().connectionMade()
        self._input = _Input(self._networkProducer)
        self._networkProducer = self._input
        limits = self.limits()
        self.totalHeadersSize = limits.header_bytes
        self._connection = self.supervisor.opened(self, limits)

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """Removes the connection from the budget."""
        self._refused = True
        self._pending.clear()
        if self._connection is not None:
            self.supervisor.closed(self._connection)
            self._connection = None
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses what was received, or the first part of it."""
        connection = self._connection
        if connection is None or self._refused:
            self._discard(len(data))
            return
        if connection.phase is request_budget.Phase.IDLE:
            self._begin_head(connection)
        connection.received_bytes += len(data)
        if self._scheduled or self._pending or self._handlingRequest or self._waitingForTransport:
            self._pending += data
            if not self._handlingRequest or len(self._pending) > EAGER_BYTES:
                self._input.pause_for_parser()
            self._account()
            return
        if len(data) <= PART_BYTES or self._receives_plain_body():
            self._parse(data)
        else:
            self._parse(data[:PART_BYTES])
            self._parse_rest(data[PART_BYTES:])
        if self._pending or connection.phase is not request_budget.Phase.IDLE:
            self._account()

    def _parse_rest(self, rest: bytes) -> None:
        """Parses the rest at once if it is cheap, and otherwise keeps it for later turns."""
        if self._refused or self._connection is None:
            return
        if self._receives_plain_body() and not self._pending:
            self._parse(rest)
            return
        self._pending += rest
        if not self._handlingRequest:
            self._input.pause_for_parser()
            self._schedule()
        elif len(self._pending) > EAGER_BYTES:
            self._input.pause_for_parser()

    def _parse(self, data: bytes) -> None:
        self.paused = False
        super().dataReceived(data)
        if self.paused and self._buffer:
            self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self.supervisor.schedule(self)

    def parse_part(self) -> None:
        """Parses a part of what was received, and asks for another turn if more is left."""
        self._scheduled = False
        if self._connection is None or self._refused:
            return
        if self._handlingRequest or self._waitingForTransport:
            return
        if self._connection.phase is request_budget.Phase.IDLE:
            self._begin_head(self._connection)
            self._connection.received_bytes = len(self._pending) + len(self._buffer)
        size = self._part_bytes()
        part = bytes(self._pending[:size])
        del self._pending[:size]
        self._parse(part)
        if self._refused:
            return
        if self._pending and not self._handlingRequest:
            self._schedule()
        if not self._pending:
            self._input.resume_for_parser()
        self._account()

    def _part_bytes(self) -> int:
        if self._receives_plain_body():
            return len(self._pending)
        decoder = self._transferDecoder
        if isinstance(decoder, chunked_body.ChunkedBody):
            return max(PART_BYTES, decoder.remaining)
        return PART_BYTES

    def _receives_plain_body(self) -> bool:
        """Returns whether received bytes belong to a body of a declared length."""
        return not self.line_mode and not self._handlingRequest and bool(self.length)

    def _begin_head(self, connection: request_budget.Connection) -> None:
        now = self.supervisor.clock.seconds()
        self.supervisor.budget.enter(connection, request_budget.Phase.HEAD, now=now)
        limits = self.limits()
        connection.limits = limits
        self.totalHeadersSize = limits.header_bytes

    def setLineMode(self, extra: bytes = b"") -> None:  # noqa: N802
        """Waits for the next head; bytes that have arrived are parsed in a turn of their own."""
        self.line_mode = 1
        if extra:
            self._pending[:0] = extra

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Parses a line of a head."""
        if not self._refused:
            super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuses a line that is too long."""
        self.refuse(request_budget.Cause.HEAD_TOO_LARGE)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses a part of a body."""
        if self._refused:
            return
        try:
            super().rawDataReceived(data)
        except chunked_body.MalformedError:
            self.refuse(request_budget.Cause.MALFORMED)

    def _maybeChooseTransferDecoder(self, header: bytes, data: bytes) -> bool:  # noqa: N802
        if header != b"Content-Length" and header != b"Transfer-Encoding":
            return True
        chosen = super()._maybeChooseTransferDecoder(header, data)
        if chosen and isinstance(self._transferDecoder, _LIBRARY_DECODER):
            self._transferDecoder = chunked_body.ChunkedBody(
                on_data=self.requests[-1].handleContentChunk, on_end=self._finishRequestBody
            )
        return chosen

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Refuses a declared length beyond the limit before the client is told to continue."""
        self._body_bytes = 0
        connection = self._connection
        if connection is None:
            return
        if self.length is not None and self.length > connection.limits.body_bytes:
            self.refuse(request_budget.Cause.BODY_TOO_LARGE)
            return
        super().allHeadersReceived()

    def take_body(self, size: int) -> bool:
        """Returns whether `size` further bytes of a body are within the limit, or refuses it."""
        connection = self._connection
        if connection is None or self._refused:
            return False
        self._body_bytes += size
        if self._body_bytes > connection.limits.body_bytes:
            self.refuse(request_budget.Cause.BODY_TOO_LARGE)
            return False
        return True

    def allContentReceived(self) -> None:  # noqa: N802
        """Passes the request on, unless it was refused with the last part of its body."""
        if self._refused:
            return
        if self._connection is not None:
            now = self.supervisor.clock.seconds()
            self.supervisor.budget.enter(self._connection, request_budget.Phase.PASSED_ON, now=now)
        super().allContentReceived()

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Waits for the next request, which is parsed in a turn of its own."""
        self._body_bytes = 0
        super().requestDone(request)
        self.paused = True
        if self._connection is None or self._refused:
            return
        now = self.supervisor.clock.seconds()
        self.supervisor.budget.enter(self._connection, request_budget.Phase.IDLE, now=now)
        if self._pending or self._buffer:
            self._schedule()
            self._account()
        else:
            self.supervisor.budget.hold(self._connection, self._connection.untaken_bytes)

    def resumeProducing(self) -> None:  # noqa: N802
        """Goes on, as the client has taken what was written."""
        super().resumeProducing()
        if self._pending or (self.paused and self._buffer):
            self._schedule()

    def loseConnection(self) -> None:  # noqa: N802
        """Closes the connection after what was written, and discards what is still received."""
        self._refused = True
        self._pending.clear()
        if self._connection is not None:
            now = self.supervisor.clock.seconds()
            self.supervisor.budget.enter(self._connection, request_budget.Phase.CLOSING, now=now)
            self.supervisor.budget.hold(self._connection, 0)
        super().loseConnection()

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        too_large = self._receivedHeaderSize > self.totalHeadersSize
        too_many = self._receivedHeaderCount > self.maxHeaders
        cause = request_budget.Cause
        self.refuse(cause.HEAD_TOO_LARGE if too_large or too_many else cause.MALFORMED)

    def refuse(self, cause: request_budget.Cause) -> None:
        """Refuses a request that hasn't been passed on, and closes the connection."""
        if self._refused or self._connection is None:
            return
        self.supervisor.count(cause)
        self._connection.refused = True
        self._write_refusal(cause)
        self._drop_body()
        if interfaces.IHalfCloseableDescriptor.providedBy(self.transport):
            # The client may be sending still: it gets time to read the refusal.
            self._refused = True
            self._pending.clear()
            now = self.supervisor.clock.seconds()
            self.supervisor.budget.enter(self._connection, request_budget.Phase.CLOSING, now=now)
            self.supervisor.budget.hold(self._connection, 0)
            self._input.unregisterProducer()
            self._input.resumeProducing()
            self._input.resume_for_parser()
            self.transport.loseWriteConnection()
        else:
            self.loseConnection()

    def end(self, cause: request_budget.Cause) -> None:
        """Ends the connection for the budget's sake or because of a time limit."""
        connection = self._connection
        if connection is None:
            return
        phase = connection.phase
        if phase is not request_budget.Phase.CLOSING:
            self.supervisor.count(cause)
        if phase in (request_budget.Phase.HEAD, request_budget.Phase.BODY):
            self._write_refusal(cause)
        self._drop_body()
        aborts = (
            phase is request_budget.Phase.CLOSING
            or cause is request_budget.Cause.UNREAD
            or bool(connection.untaken_bytes)
        )
        if phase is not request_budget.Phase.CLOSING:
            self.loseConnection()
        if aborts:
            self.transport.abortConnection()
        self.supervisor.budget.end(connection)

    def count_untaken(self) -> None:
        """Counts the answers that the client hasn't taken yet."""
        connection = self._connection
        if connection is None:
            return
        untaken_bytes = self._untaken_bytes()
        if untaken_bytes or connection.untaken_bytes:
            budget = self.supervisor.budget
            budget.leave_untaken(connection, untaken_bytes, now=self.supervisor.clock.seconds())
            if self._refused:
                budget.hold(connection, untaken_bytes)
            self._account()

    def _untaken_bytes(self) -> int:
        transport: Any = self.transport
        buffered = getattr(transport, "dataBuffer", b"")
        return (
            len(buffered) - getattr(transport, "offset", 0) + getattr(transport, "_tempDataLen", 0)
        )

    def _write_refusal(self, cause: request_budget.Cause) -> None:
        status = STATUSES.get(cause)
        if status is None or self._waitingForTransport:
            return
        media_type, body = self.refusal(status, cause)
        phrase = PHRASES.get(status) or http.RESPONSES[status]
        retry = b"Retry-After: 1\r\n" if status == http.SERVICE_UNAVAILABLE else b""
        self.transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\nContent-Length: %d\r\n%bConnection: close\r\n\r\n%b"
            % (status, phrase, media_type, len(body), retry, body)
        )

    def _drop_body(self) -> None:
        if self.requests and not self._handlingRequest:
            self.requests[-1].content = None
        self._buffer = b""

    def _discard(self, size: int) -> None:
        self._discarded_bytes += size
        if self._discarded_bytes > DISCARD_BYTES and self._connection is not None:
            self.transport.abortConnection()
            self.supervisor.budget.end(self._connection)

    def _account(self) -> None:
        """Tells the budget what the connection holds and which phase it is in."""
        connection = self._connection
        if connection is None or self._refused:
            return
        budget = self.supervisor.budget
        phase = connection.phase
        if phase is request_budget.Phase.HEAD:
            if not self.line_mode and not self._handlingRequest:
                now = self.supervisor.clock.seconds()
                budget.enter(connection, request_budget.Phase.BODY, now=now)
            elif not (self.requests or self._buffer or self._pending):
                now = self.supervisor.clock.seconds()
                budget.enter(connection, request_budget.Phase.IDLE, now=now)
        if connection.phase is request_budget.Phase.BODY:
            now = self.supervisor.clock.seconds()
            budget.progress(connection, useful_bytes=self._body_bytes, now=now)
        connection.backlogged = bool(self._pending) and not self._waitingForTransport
        held = len(self._pending) + len(self._buffer) + self._body_bytes
        held += self._receivedHeaderSize
        held += self._receivedHeaderCount * request_budget.HEADER_LINE_BYTES
        held += connection.untaken_bytes
        budget.hold(connection, held)
        self.supervisor.relieve()


def bound(
    channel: BoundedChannel,
    *,
    supervisor: Supervisor,
    limits: Callable[[], request_budget.CallerLimits],
    refusal: Refusal,
) -> None:
    """Sets the supervisor and the limits of a new connection; its factory calls it."""
    channel.supervisor = supervisor
    channel.limits = limits
    channel.refusal = refusal
    # The supervisor applies the time limits.
    channel.timeOut = None
