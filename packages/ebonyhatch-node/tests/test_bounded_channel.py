from __future__ import annotations

import io

import hypothesis
import pytest
from ebonyhatch.node import bounded_channel, request_budget
from hypothesis import strategies
from twisted.internet import task, testing
from twisted.web import http

Cause = request_budget.Cause
BODY_LIMIT_BYTES = 10_000
LIMITS = request_budget.CallerLimits(body_bytes=BODY_LIMIT_BYTES, header_bytes=1_000)
CHUNKED = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"


TURN_S = 1e-6


class _TurnClock(task.Clock):
    """A clock on which a call without a delay is made in the next turn, as on a reactor."""

    def callLater(self, delay, *args, **kwargs):  # noqa: N802
        return super().callLater(max(TURN_S, delay), *args, **kwargs)


class _Request(bounded_channel.BoundedBody, http.Request):
    def process(self):
        self.channel.factory.handle(self)


class _Server(http.HTTPFactory):
    """Answers each request with its body, at once or when told to."""

    protocol = bounded_channel.BoundedChannel

    def __init__(self, *, held_bytes=1_000_000, max_fds=400, limits=LIMITS, at_once=True):
        self.clock = _TurnClock()
        super().__init__(reactor=self.clock)
        self.reports = []
        self.supervisor = bounded_channel.Supervisor(
            clock=self.clock,
            budget=request_budget.Budget(held_bytes=held_bytes, max_fds=max_fds),
            report=lambda counts, _: self.reports.append(dict(counts)),
        )
        self.limits = limits
        self.at_once = at_once
        self.received = []
        self.waiting = []

    def handle(self, request):
        assert type(request.content) is io.BytesIO
        self.received.append((request.path, request.content.read()))
        self.waiting.append(request)
        if self.at_once:
            self.answer()

    def answer(self):
        request = self.waiting.pop(0)
        request.setHeader("Content-Length", "2")
        request.write(b"ok")
        request.finish()

    def buildProtocol(self, addr):  # noqa: N802
        channel = super().buildProtocol(addr)
        channel.requestFactory = _Request
        bounded_channel.bound(
            channel,
            supervisor=self.supervisor,
            limits=lambda: self.limits,
            refusal=lambda status, cause: (b"text/plain", cause.value.encode()),
        )
        return channel

    def connect(self, data=b""):
        transport = _Transport()
        channel = self.buildProtocol(None)
        channel.makeConnection(transport)
        transport.protocol = channel
        if data:
            channel.dataReceived(data)
        return transport

    def log(self, request):
        pass

    def turns(self, count=1):
        for _ in range(count):
            self.clock.advance(TURN_S)


class _Transport(testing.StringTransport):
    aborted = False
    dataBuffer = b""  # noqa: N815

    def abortConnection(self):  # noqa: N802
        self.aborted = True
        super().abortConnection()

    def statuses(self):
        parts = self.value().split(b"HTTP/1.1 ")[1:]
        return [int(part[:3]) for part in parts]


def test_declared_length_over_the_limit_is_refused_from_the_head():
    """Guards against bodies that are received in vain; the client isn't told to continue."""
    server = _Server()
    caller = server.connect(
        b"POST /a HTTP/1.1\r\nContent-Length: 10001\r\nExpect: 100-continue\r\n\r\n"
    )
    assert caller.statuses() == [413]
    assert caller.disconnecting
    assert server.received == []


def test_body_at_the_limit_is_served_and_told_to_continue():
    """Guards against limits that refuse a caller that meets them."""
    server = _Server()
    caller = server.connect(
        b"POST /a HTTP/1.1\r\nContent-Length: 10000\r\nExpect: 100-continue\r\n\r\n"
    )
    assert caller.statuses() == [100]
    caller.protocol.dataReceived(b"x" * 10_000)
    assert server.received == [(b"/a", b"x" * 10_000)]


def test_undeclared_length_is_refused_as_soon_as_it_exceeds_the_limit():
    """Guards against bodies without an end."""
    server = _Server()
    caller = server.connect(CHUNKED)
    caller.protocol.dataReceived(b"1\r\nx\r\n" * 10_000)
    server.turns(100)
    assert caller.statuses() == []
    caller.protocol.dataReceived(b"1\r\nx\r\n")
    server.turns()
    assert caller.statuses() == [413]
    assert server.received == []


def test_body_in_chunks_of_one_byte_is_served():
    """Guards against limits on framing that refuse a caller that meets the others."""
    server = _Server()
    caller = server.connect(CHUNKED + b"1\r\nx\r\n" * 10_000 + b"0\r\n\r\n")
    server.turns(100)
    assert caller.statuses() == [200]
    assert server.received == [(b"/a", b"x" * 10_000)]


def test_too_much_framing_is_refused():
    """Guards against clients that make the process parse many bytes for each byte of a body."""
    server = _Server()
    caller = server.connect(CHUNKED + b"000000001\r\nx\r\n" * 1_000)
    server.turns(100)
    assert caller.statuses() == [400]


def test_other_callers_have_their_turn_while_a_long_input_is_parsed():
    """Guards against a loop that parses chunk after chunk before it serves anybody else."""
    server = _Server(held_bytes=100_000_000)
    busy = [server.connect(CHUNKED) for _ in range(bounded_channel.PARTS_PER_TURN)]
    for caller in busy:
        caller.protocol.dataReceived(b"1\r\nx\r\n" * 10_000 + b"0\r\n\r\n")
    server.turns()
    ordinary = server.connect(b"GET /b HTTP/1.1\r\n\r\n")
    assert ordinary.statuses() == [200]
    assert server.received == [(b"/b", b"")]
    assert all(caller.producerState == "paused" for caller in busy)
    server.turns(100)
    assert len(server.received) == 1 + len(busy)
    assert all(caller.producerState == "producing" for caller in busy)


def test_pipelined_requests_are_answered_one_in_a_turn():
    """Guards against a client that has thousands of requests handled before anybody else's."""
    server = _Server()
    caller = server.connect(b"GET /a HTTP/1.1\r\n\r\n" * 500)
    assert len(server.received) == 1
    server.turns()
    assert len(server.received) <= 1 + bounded_channel.PARTS_PER_TURN
    server.turns(1_000)
    assert caller.statuses() == [200] * 500


def test_input_ahead_of_an_answer_is_bounded():
    """Guards against clients that fill the memory while their first request is in progress."""
    server = _Server(at_once=False)
    caller = server.connect(b"GET /a HTTP/1.1\r\n\r\n")
    caller.protocol.dataReceived(b"GET /b HTTP/1.1\r\n\r\n")
    assert caller.producerState == "producing"
    caller.protocol.dataReceived(CHUNKED + b"4400\r\n" + b"x" * 17_000)
    assert caller.producerState == "paused"
    server.answer()
    server.turns()
    assert [path for path, _ in server.received] == [b"/a", b"/b"]
    server.answer()
    server.turns(100)
    assert caller.statuses() == [200, 200, 413]


@pytest.mark.parametrize(
    "head",
    [b"GET /" + b"a" * 1_100, b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 400 + b"\r\n"],
    ids=["line", "lines"],
)
def test_heads_over_the_limit_are_refused(head):
    """Guards against heads without an end."""
    server = _Server()
    caller = server.connect(head + b"\r\n" * head.startswith(b"GET /a"))
    server.turns(10)
    assert caller.statuses() == [431]
    assert server.received == []


def test_malformed_head_is_refused_once():
    """Guards against a second answer, which the client would take for the next request's."""
    server = _Server()
    caller = server.connect(b"GET / HTTP/1.1\r\nbad\r\nworse\r\n\r\nGET / HTTP/1.1\r\n\r\n")
    server.turns(10)
    assert caller.statuses() == [400]
    assert server.received == []


@pytest.mark.parametrize(
    ("sent", "kept_s", "statuses"),
    [
        (b"", 15.0, []),
        (b"GET / HTTP/1.1\r\n", 3.0, [408]),
        (CHUNKED + b"5\r\nab", 10.0, [408]),
        (b"GET / HTTP/1.1\r\n\r\n", 15.0, [200]),
    ],
    ids=["new", "head", "body", "idle"],
)
def test_time_limits_end_connections(sent, kept_s, statuses):
    """Guards against connections that stay open without end."""
    server = _Server()
    caller = server.connect(sent)
    server.clock.pump([0.25] * round(4 * kept_s))
    assert not caller.disconnecting
    server.clock.pump([0.25] * 4)
    assert caller.statuses() == statuses
    assert caller.disconnecting
    server.clock.pump([0.25] * 12)
    assert caller.aborted


def test_request_that_was_passed_on_is_kept_however_long_it_takes():
    """Guards against an accepted job whose caller gets no answer."""
    server = _Server(held_bytes=1, at_once=False)
    caller = server.connect(b"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc")
    server.clock.pump([0.5] * 1_000)
    assert not caller.disconnecting
    server.answer()
    assert caller.statuses() == [200]


def test_the_most_wasteful_is_closed_when_the_budget_is_exceeded():
    """Guards against a process that ends for lack of memory."""
    server = _Server(held_bytes=50_000)
    first = server.connect(b"POST /a HTTP/1.1\r\nContent-Length: 10000\r\n\r\n" + b"x" * 9_999)
    server.clock.advance(0.1)
    others = [server.connect(CHUNKED + b"2\r\nx") for _ in range(5)]
    assert first.statuses() == [503]
    assert b"Retry-After: 1" in first.value()
    assert first.disconnecting
    assert [caller.disconnecting for caller in others].count(False) >= 4
    assert not server.supervisor.budget.exceeded


def test_no_more_connections_than_the_descriptors_allow():
    """Guards against a process that runs out of descriptors."""
    server = _Server(max_fds=100)
    callers = []
    for _ in range(200):
        if server.supervisor.admits():
            callers.append(server.connect(CHUNKED))
        still_open = [caller for caller in callers if not caller.disconnected]
        assert len(still_open) <= 36
        for caller in callers:
            if caller.disconnecting and not caller.disconnected:
                caller.disconnected = True
                caller.protocol.connectionLost(None)
    assert len(callers) > 36


def test_refusals_are_reported_together():
    """Guards against a crowd that fills the log."""
    server = _Server()
    for _ in range(50):
        server.connect(b"POST /a HTTP/1.1\r\nContent-Length: 10001\r\n\r\n")
    server.clock.pump([0.5] * 4)
    assert server.reports == [{Cause.BODY_TOO_LARGE: 50}]


def test_slow_reader_of_answers_is_ended_when_it_takes_nothing():
    """Guards against answers that fill the memory as their clients don't take them."""
    server = _Server()
    caller = server.connect(b"GET / HTTP/1.1\r\n\r\n")
    caller.dataBuffer = b"x" * 50_000
    server.clock.pump([0.5] * 20)
    assert server.supervisor.budget.held_bytes > 50_000
    assert not caller.disconnecting
    server.clock.pump([0.5] * 14)
    assert caller.aborted


def test_requests_after_an_answer_that_was_not_taken_wait():
    """Guards against answers without end for a client that never reads."""
    server = _Server()
    caller = server.connect()
    caller.protocol.pauseProducing()
    caller.protocol.dataReceived(b"GET / HTTP/1.1\r\n\r\n" * 100)
    server.turns(200)
    assert server.received == []
    caller.protocol.resumeProducing()
    server.turns(200)
    assert len(server.received) == 100


def test_limits_of_a_new_configuration_hold_for_open_connections():
    """Guards against limits that change only with a new connection."""
    server = _Server()
    caller = server.connect(b"GET / HTTP/1.1\r\n\r\n")
    server.limits = request_budget.CallerLimits(body_bytes=10)
    caller.protocol.dataReceived(b"POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n")
    assert caller.statuses() == [200, 413]


def test_closed_connections_leave_nothing_behind():
    """Guards against a budget that shrinks with each connection, and against timers that go on."""
    server = _Server()
    for sent in (b"", b"GET", CHUNKED, CHUNKED + b"1\r\nx\r\n" * 5_000, b"GET / HTTP/1.1\r\n\r\n"):
        server.connect(sent).protocol.connectionLost(None)
    server.clock.pump([0.5] * 4)
    assert (server.supervisor.budget.held_bytes, len(server.supervisor.budget)) == (0, 0)
    assert server.clock.getDelayedCalls() == []


BODIES = strategies.lists(
    strategies.tuples(strategies.sampled_from([0, 1, 3, 700]), strategies.integers(0, 5_000)),
    min_size=1,
    max_size=6,
)


@hypothesis.settings(deadline=None, max_examples=60)
@hypothesis.given(
    BODIES, strategies.lists(strategies.integers(1, 6_000), max_size=20), strategies.booleans()
)
def test_requests_are_the_same_however_they_arrive(bodies, cuts, at_once):
    """Guards against bytes that are lost, repeated or put in another order between two turns."""
    server = _Server(at_once=at_once)
    wire, expected = b"", []
    for number, (chunk_bytes, size) in enumerate(bodies):
        body = bytes((number + offset) % 251 for offset in range(size))
        expected.append((b"/%d" % number, body))
        wire += b"POST /%d HTTP/1.1\r\nHost: x\r\n" % number
        if chunk_bytes:
            pieces = [body[at : at + chunk_bytes] for at in range(0, size, chunk_bytes)]
            wire += b"Transfer-Encoding: chunked\r\n\r\n"
            wire += b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
            wire += b"0\r\n\r\n"
        else:
            wire += b"Content-Length: %d\r\n\r\n" % size + body
    caller = server.connect()
    for cut in [*cuts, len(wire)]:
        # A transport that is paused delivers nothing.
        for _ in range(400):
            if caller.producerState == "producing":
                break
            server.turns()
            if server.waiting:
                server.answer()
        part, wire = wire[:cut], wire[cut:]
        if part:
            caller.protocol.dataReceived(part)
    for _ in range(400):
        server.turns()
        if server.waiting:
            server.answer()
    assert server.received == expected
    assert caller.statuses() == [200] * len(bodies)
