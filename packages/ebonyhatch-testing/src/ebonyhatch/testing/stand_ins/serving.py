"""The code that all stand-ins share: listening, faults, and responses in JSON."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from ebonyhatch.core import errors
from ebonyhatch.ports import answers, fault_switches, http_calls
from ebonyhatch.testing.stand_ins import connections
from twisted.internet import defer
from twisted.web import server

Effect = Callable[[bytes], Any]

DONE = answers.Done(done=True)
"""Body of a response without a value."""


class Response(msgspec.Struct, frozen=True, kw_only=True):
    """An HTTP response, before faults are applied."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = (("Content-Type", "application/json"),)


def json_response(value: Any, *, status: int = 200) -> Response:
    """Builds a response in JSON."""
    return Response(status=status, body=msgspec.json.encode(value))


class BadCallError(errors.EbonyhatchError):
    """The body of a call does not match the protocol."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(problem=f"bad call: {reason}", remedy="see docs/platform-protocol.md")
        self.reason = reason


class Server:
    """Serves a resource under switchable faults.

    `/faults` is served on the main port and on a second port, which stays open while the
    main port is down.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        resource: Any,
        faults: fault_switches.Faults,
        host: str = "127.0.0.1",
        port: int = 0,
        faults_port: int = 0,
    ) -> None:
        self._reactor = reactor
        self._resource = resource
        self._faults = faults
        self._host = host
        self._port = port
        self._faults_port = faults_port
        self._factory: connections.ConnectionFactory | None = None
        self._main: Any = None
        self._second: Any = None

    @property
    def port(self) -> int:
        """The main port."""
        return self._port

    @property
    def faults_port(self) -> int:
        """The second port, which stays open while the main port is down."""
        return self._faults_port

    @property
    def faults(self) -> fault_switches.Faults:
        """The active faults; `apply_faults` must be called after a change."""
        return self._faults

    def start(self) -> None:
        """Starts listening on both ports."""
        site = server.Site(self._resource)
        site.noisy = False
        self._factory = connections.ConnectionFactory(site)
        self._second = self._reactor.listenTCP(self._faults_port, site, interface=self._host)
        self._faults_port = self._second.getHost().port
        self._listen()

    def close(self) -> defer.Deferred[Any]:
        """Stops listening and aborts all open connections."""
        closing = [port.stopListening() for port in (self._main, self._second) if port is not None]
        self._main = self._second = None
        if self._factory is not None:
            self._factory.abort()
        return defer.DeferredList([stopped for stopped in closing if stopped is not None])

    def apply_faults(self, *, excluded: Any = None) -> None:
        """Applies the faults to the ports and to all connections except `excluded`.

        `excluded` is the connection over which the faults are set.
        """
        if self._factory is None:
            return
        if self._faults.silent_connections:
            self._factory.silence(excluded=excluded)
            self._faults.silent_connections = False
        if self._faults.down and self._main is not None:
            self._main.stopListening()
            self._main = None
            self._factory.abort(excluded=excluded)
        elif not self._faults.down and self._main is None:
            self._listen()

    def silence(self) -> None:
        """Makes all open connections silent for good."""
        if self._factory is not None:
            self._factory.silence()

    def answer(self, request: Any, effect: Effect) -> Any:
        """Calls `effect` with the body, subject to the faults, and sends its `Response`.

        `effect` may return a Deferred.

        The body is read first because it is no longer available once the caller disconnects,
        whereas the effect still takes place.
        """
        body = request.content.read()
        if self._faults.silent:
            return defer.Deferred()
        answered: defer.Deferred[bytes] = defer.Deferred()
        if self._faults.slow_s > 0:
            self._reactor.callLater(self._faults.slow_s, self._run, request, effect, body, answered)
        else:
            self._run(request, effect, body, answered)
        return answered

    def _run(
        self, request: Any, effect: Effect, body: bytes, answered: defer.Deferred[bytes]
    ) -> None:
        responding = defer.maybeDeferred(effect, body)
        responding.addCallback(self._send, request, answered)
        responding.addErrback(
            lambda failure: None if answered.called else answered.errback(failure)
        )

    def _send(self, reply: Response, request: Any, answered: defer.Deferred[bytes]) -> None:
        if answered.called:
            return
        if self._faults.lose_answers:
            request.transport.abortConnection()
            return
        request.setResponseCode(reply.status)
        for name, value in reply.headers:
            request.setHeader(name, value)
        request_id = request.getHeader(http_calls.REQUEST_ID_HEADER)
        if request_id is not None:
            request.setHeader(http_calls.REQUEST_ID_HEADER, request_id)
        if self._faults.cut_answers:
            request.setHeader("Content-Length", str(len(reply.body) + 1))
            request.write(reply.body[: len(reply.body) // 2])
            request.transport.loseConnection()
            return
        answered.callback(reply.body)

    def _listen(self) -> None:
        self._main = self._reactor.listenTCP(self._port, self._factory, interface=self._host)
        self._port = self._main.getHost().port


def decode(body: bytes, kind: type) -> Any:
    """Decodes the body of a call.

    Raises:
        BadCallError: If the body does not match the type.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise BadCallError(reason=str(error)) from error


def change_faults(running: Server, request: Any) -> bytes:
    """Serves `GET /faults` and `PUT /faults`; switches that are not named are turned off."""
    if request.method == b"PUT":
        try:
            running.faults.replace(decode(request.content.read(), fault_switches.Faults))
        except BadCallError as error:
            request.setResponseCode(400)
            return str(error).encode()
        running.apply_faults(excluded=request.transport)
        request.setHeader("Connection", "close")
    request.setHeader("Content-Type", "application/json")
    return msgspec.json.encode(running.faults)


def response_of(
    effect: Callable[[], Any], refusal: Callable[[Exception], Response]
) -> defer.Deferred[Response]:
    """Calls `effect`; its value is encoded as JSON, and its typed errors become refusals."""

    def reply(value: Any) -> Response:
        return json_response(DONE if value is None else value)

    def refuse(failure: Any) -> Response:
        failure.trap(errors.EbonyhatchError)
        return refusal(failure.value)

    return defer.maybeDeferred(effect).addCallback(reply).addErrback(refuse)
