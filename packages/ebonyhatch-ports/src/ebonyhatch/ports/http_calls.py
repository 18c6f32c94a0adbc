"""HTTP calls that end in a complete response or an error that says if anything was sent."""

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
"""Time limit for opening a connection, seconds."""

PROGRESS_TIMEOUT_S = 1.0
"""Longest pause between two parts of a response body, seconds."""

RESPONSE_LIMIT_BYTES = 8_000_000
"""Size limit of a response body, bytes."""

REQUEST_ID_HEADER = "Ebonyhatch-Request-Id"
"""Header that a response repeats, so that it can be matched to its request."""


IPV6_URL_MARKER = "://["
"""Part of a URL whose host is an IPv6 address, which treq rejects as a host name."""


class CallError(errors.EbonyhatchError):
    """The call has no complete response.

    Attributes:
        sent: Whether the first byte of the request may have been sent.
        reason: Description of the error.
    """

    def __init__(self, *, sent: bool, reason: str) -> None:
        super().__init__(
            problem=f"no complete response: {reason}",
            remedy="read back the current state" if sent else "try again later with backoff",
        )
        self.sent = sent
        self.reason = reason


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """An HTTP call to make.

    Attributes:
        method: HTTP method.
        url: Absolute URL.
        body: Body; empty for none.
        headers: Header lines.
        request_id: Id that the response has to repeat; empty to generate one.
        timeout_s: Longest time from the call to the complete response, seconds.
        direct: Whether to use the agent below treq, which does not alter the request and
            costs less.
    """

    method: str
    url: str
    timeout_s: float
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    request_id: str = ""
    direct: bool = False


class Response(msgspec.Struct, frozen=True, kw_only=True):
    """A complete response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


ResponseOutcome = defer.Deferred[result.Result[Response, CallError]]


class HttpCalls:
    """Makes calls over one connection pool; a Deferred fails only if its caller cancels it."""

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor
        self._pool = connection_pool.ConnectionPool(reactor=reactor)
        self._endpoints = connection_pool.Endpoints(reactor=reactor, timeout_s=CONNECT_TIMEOUT_S)
        refuse_all = cookiejar.DefaultCookiePolicy(allowed_domains=[])
        self._no_cookies = treq.client.IndexableCookieJar(policy=refuse_all)
        self._id_prefix = uuid.uuid4().hex
        self._id_numbers = itertools.count(1)
        self._open: dict[defer.Deferred[Any], connection_pool.Checkout] = {}
        self._closed = False

    @property
    def pool(self) -> connection_pool.ConnectionPool:
        """The connection pool."""
        return self._pool

    def start(self) -> None:
        """Prepares for calls."""
        self._closed = False
        self._pool.start()

    def close(self) -> None:
        """Aborts open calls and closes all connections."""
        self._closed = True
        for pending, checkout in list(self._open.items()):
            checkout.drop()
            pending.cancel()
        self._pool.close()

    def call(self, call: Call) -> ResponseOutcome:
        """Sends one request.

        The result is a complete response, or an error that says whether anything may have been
        sent.
        """
        if self._closed:
            refused = CallError(sent=False, reason="the client is closed")
            return defer.succeed(result.Failure(refused))
        request_id = call.request_id or f"{self._id_prefix}-{next(self._id_numbers)}"
        checkout = connection_pool.Checkout(pool=self._pool)
        pending = defer.maybeDeferred(self._send, call, request_id, checkout)
        pending.addCallback(self._read_response, request_id, checkout)
        returned: ResponseOutcome = defer.Deferred(lambda _: self._abort(pending))
        timer = self._reactor.callLater(call.timeout_s, self._expire, pending, checkout)
        self._open[pending] = checkout
        pending.addCallbacks(result.Success, _to_result, errbackArgs=(checkout,))
        pending.addCallback(self._deliver, pending, timer, returned)
        return returned

    def call_json(
        self, *, url: str, body: msgspec.Struct, timeout_s: float, direct: bool = False
    ) -> ResponseOutcome:
        """Makes a control call with a JSON body."""
        try:
            encoded = msgspec.json.encode(body)
        except (ValueError, TypeError, OverflowError) as error:
            refused = CallError(sent=False, reason=f"the body can't be encoded as JSON: {error}")
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

    def _send(
        self, call: Call, request_id: str, checkout: connection_pool.Checkout
    ) -> defer.Deferred[Any]:
        if not (request_id.isascii() and request_id.isprintable()):
            raise ValueError("a request id has to be printable ASCII")
        headers = http_headers.Headers()
        for name, value in call.headers:
            headers.addRawHeader(name.encode("latin-1"), value.encode("latin-1"))
        headers.setRawHeaders(REQUEST_ID_HEADER, [request_id])
        agent = client.Agent.usingEndpointFactory(self._reactor, self._endpoints, pool=checkout)
        if call.direct or IPV6_URL_MARKER in call.url:
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

    def _read_response(
        self, response: Any, request_id: str, checkout: connection_pool.Checkout
    ) -> defer.Deferred[Response]:
        headers = _header_lines(response, dropped=checkout.connection_options)
        echoed_ids = [value for name, value in headers if name.lower() == REQUEST_ID_HEADER.lower()]
        if echoed_ids != [request_id]:
            checkout.drop()
            raise CallError(sent=True, reason=f"the response is to {echoed_ids}, not {request_id}")
        reading = body_reader.read(
            response,
            limit_bytes=RESPONSE_LIMIT_BYTES,
            clock=self._reactor,
            progress_s=PROGRESS_TIMEOUT_S,
        )
        return reading.addCallback(
            lambda body: Response(status=response.code, headers=headers, body=body)
        )

    def _expire(self, pending: defer.Deferred[Any], checkout: connection_pool.Checkout) -> None:
        checkout.require_probe()
        checkout.drop()
        pending.cancel()

    def _abort(self, pending: defer.Deferred[Any]) -> None:
        """Aborts a call that its caller cancelled, so that no outcome is delivered."""
        checkout = self._open.pop(pending)
        checkout.drop()
        pending.cancel()

    def _deliver(
        self, outcome: Any, pending: defer.Deferred[Any], timer: Any, returned: ResponseOutcome
    ) -> None:
        if timer.active():
            timer.cancel()
        if self._open.pop(pending, None) is not None:
            returned.callback(outcome)


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
