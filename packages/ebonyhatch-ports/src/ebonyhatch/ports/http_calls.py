"""HTTP calls that end in a whole answer or in a fault that tells whether anything was sent."""

from __future__ import annotations

import itertools
import uuid
from http import cookiejar
from typing import Any

import msgspec
import treq.client
from ebonyhatch.core import errors
from ebonyhatch.ports import body_reader, connection_pool
from returns import result
from twisted.internet import defer
from twisted.python import failure as failure_module
from twisted.web import client, http_headers, iweb

CONNECT_TIMEOUT_S = 1.0
"""Longest time to open a connection."""

PROGRESS_TIMEOUT_S = 1.0
"""Longest pause between two parts of an answer's body."""

ANSWER_LIMIT_BYTES = 8_000_000
"""Longest body of an answer."""

REQUEST_ID_HEADER = "Ebonyhatch-Request-Id"
"""Header that an answer repeats, so that it can be told from any other."""


IPV6_START = "://["
"""Start of an address with an IPv6 number, which treq refuses as a host name."""


class CallError(errors.EbonyhatchError):
    """There is no whole answer.

    Attributes:
        sent: Whether the first byte may have left.
        reason: What happened.
    """

    def __init__(self, *, sent: bool, reason: str) -> None:
        super().__init__(
            problem=f"no whole answer: {reason}",
            remedy="read back what happened" if sent else "try again later with backoff",
        )
        self.sent = sent
        self.reason = reason


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A call to be made.

    Attributes:
        method: HTTP method.
        url: Absolute address.
        body: Body; empty for none.
        headers: Header lines.
        request_id: Id that the answer has to repeat; empty for one made up here.
        timeout_s: Longest time from the call to the whole answer, seconds.
        direct: Use the agent below treq, which changes nothing and costs less.
    """

    method: str
    url: str
    timeout_s: float
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    request_id: str = ""
    direct: bool = False


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


AnswerOutcome = defer.Deferred[result.Result[Answer, CallError]]


class HttpCalls:
    """Makes calls over one pool of connections; Deferreds fail only if their caller cancels."""

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor
        self._pool = connection_pool.ConnectionPool(reactor=reactor)
        self._endpoints = connection_pool.Endpoints(reactor=reactor, timeout_s=CONNECT_TIMEOUT_S)
        refuse_all = cookiejar.DefaultCookiePolicy(allowed_domains=[])
        self._no_cookies = treq.client.IndexableCookieJar(policy=refuse_all)
        self._prefix = uuid.uuid4().hex
        self._numbers = itertools.count(1)
        self._open: dict[defer.Deferred[Any], connection_pool.Checkout] = {}
        self._closed = False

    @property
    def pool(self) -> connection_pool.ConnectionPool:
        """The connections."""
        return self._pool

    def start(self) -> None:
        """Make ready for calls."""
        self._closed = False
        self._pool.start()

    def close(self) -> None:
        """Abort open calls and connections."""
        self._closed = True
        for calling, checkout in list(self._open.items()):
            checkout.drop()
            calling.cancel()
        self._pool.close()

    def call(self, call: Call) -> AnswerOutcome:
        """Make a call."""
        if self._closed:
            refused = CallError(sent=False, reason="the client is closed")
            return defer.succeed(result.Failure(refused))
        request_id = call.request_id or f"{self._prefix}-{next(self._numbers)}"
        checkout = connection_pool.Checkout(pool=self._pool)
        calling = defer.maybeDeferred(self._issue, call, request_id, checkout)
        calling.addCallback(self._read, request_id, checkout)
        answered: AnswerOutcome = defer.Deferred(lambda _: self._give_up(calling))
        timer = self._reactor.callLater(call.timeout_s, self._expire, calling, checkout)
        self._open[calling] = checkout
        calling.addCallbacks(result.Success, _to_result, errbackArgs=(checkout,))
        calling.addCallback(self._deliver, calling, timer, answered)
        return answered

    def call_json(
        self, *, url: str, body: msgspec.Struct, timeout_s: float, direct: bool = False
    ) -> AnswerOutcome:
        """Make a control call with a JSON body."""
        try:
            encoded = msgspec.json.encode(body)
        except (ValueError, TypeError, OverflowError) as error:
            refused = CallError(sent=False, reason=f"no JSON: {error}")
            return defer.succeed(result.Failure(refused))
        headers = (("Content-Type", "application/json"),)
        call = Call(
            method="POST",
            url=url,
            body=encoded,
            headers=headers,
            timeout_s=timeout_s,
            direct=direct,
        )
        return self.call(call)

    def _issue(
        self, call: Call, request_id: str, checkout: connection_pool.Checkout
    ) -> defer.Deferred[Any]:
        if not (request_id.isascii() and request_id.isprintable()):
            raise ValueError("a request id is printable ASCII")
        headers = http_headers.Headers()
        for name, value in call.headers:
            headers.addRawHeader(name.encode("latin-1"), value.encode("latin-1"))
        headers.setRawHeaders(REQUEST_ID_HEADER, [request_id])
        agent = client.Agent.usingEndpointFactory(self._reactor, self._endpoints, pool=checkout)
        if call.direct or IPV6_START in call.url:
            producer = iweb.IBodyProducer(call.body) if call.body else None
            return agent.request(
                call.method.encode("ascii"), call.url.encode("ascii"), headers, producer
            )
        http = treq.client.HTTPClient(agent, cookiejar=self._no_cookies)
        return http.request(
            call.method,
            call.url,
            headers=headers,
            data=call.body,
            allow_redirects=False,
            unbuffered=True,
        )

    def _read(
        self, response: Any, request_id: str, checkout: connection_pool.Checkout
    ) -> defer.Deferred[Answer]:
        headers = _header_lines(response, dropped=checkout.connection_options)
        repeated = [value for name, value in headers if name.lower() == REQUEST_ID_HEADER.lower()]
        if repeated != [request_id]:
            checkout.drop()
            raise CallError(sent=True, reason=f"the answer is to {repeated}, not {request_id}")
        whole = body_reader.read(
            response,
            limit_bytes=ANSWER_LIMIT_BYTES,
            clock=self._reactor,
            progress_s=PROGRESS_TIMEOUT_S,
        )
        return whole.addCallback(
            lambda body: Answer(status=response.code, headers=headers, body=body)
        )

    def _expire(self, calling: defer.Deferred[Any], checkout: connection_pool.Checkout) -> None:
        checkout.suspect()
        checkout.drop()
        calling.cancel()

    def _give_up(self, calling: defer.Deferred[Any]) -> None:
        """Abort a call that its caller cancelled; nothing is delivered any more."""
        checkout = self._open.pop(calling)
        checkout.drop()
        calling.cancel()

    def _deliver(
        self, outcome: Any, calling: defer.Deferred[Any], timer: Any, answered: AnswerOutcome
    ) -> None:
        if timer.active():
            timer.cancel()
        if self._open.pop(calling, None) is not None:
            answered.callback(outcome)


def _header_lines(response: Any, *, dropped: frozenset[str]) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, values in response.headers.getAllRawHeaders()
        if name.decode("latin-1").lower() not in dropped
        for value in values
    )


def _to_result(failure: failure_module.Failure, checkout: connection_pool.Checkout) -> Any:
    checkout.drop()
    if isinstance(failure.value, CallError):
        return result.Failure(failure.value)
    sent = checkout.sent and not failure.check(client.RequestNotSent)
    reason = failure.getErrorMessage() or type(failure.value).__name__
    return result.Failure(CallError(sent=sent, reason=reason))
