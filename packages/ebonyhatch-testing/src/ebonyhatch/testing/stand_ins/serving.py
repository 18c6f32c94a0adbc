"""The part that all stand-ins share: listening, faults, and answers in JSON."""

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
"""Body of an answer without a value."""


class Response(msgspec.Struct, frozen=True, kw_only=True):
    """An answer that is ready to be sent."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = (("Content-Type", "application/json"),)


def json_response(value: Any, *, status: int = 200) -> Response:
    """Build an answer in JSON."""
    return Response(status=status, body=msgspec.json.encode(value))


class BadCallError(errors.EbonyhatchError):
    """The body of a call is not what the protocol says."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(problem=f"bad call: {reason}", remedy="see docs/platform-protocol.md")
        self.reason = reason


class Server:
    """Serves a resource under switchable faults.

    `/faults` is answered on the main port and on a second one, which stays open while the
    main one is down.
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
        """The port that stays open while the main one is down."""
        return self._faults_port

    @property
    def faults(self) -> fault_switches.Faults:
        """Faults in force; call `apply_faults` after a change."""
        return self._faults

    def start(self) -> None:
        """Listen on both ports."""
        site = server.Site(self._resource)
        site.noisy = False
        self._factory = connections.ConnectionFactory(site)
        self._second = self._reactor.listenTCP(self._faults_port, site, interface=self._host)
        self._faults_port = self._second.getHost().port
        self._listen()

    def close(self) -> defer.Deferred[Any]:
        """Stop listening and abort what is open."""
        closing = [port.stopListening() for port in (self._main, self._second) if port is not None]
        self._main = self._second = None
        if self._factory is not None:
            self._factory.abort()
        return defer.DeferredList([stopped for stopped in closing if stopped is not None])

    def apply_faults(self, *, excluded: Any = None) -> None:
        """Bring the connections in line with the faults, but for the one that asks for it."""
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
        """Make every connection that is open now silent for good."""
        if self._factory is not None:
            self._factory.silence()

    def answer(self, request: Any, effect: Effect) -> Any:
        """Carry out `effect` on the body under the faults; it answers a `Reply`, maybe later.

        The body is read first: it is gone once the caller hangs up, and the effect is not.
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
    """Decode a call's body.

    Raises:
        BadCallError: When it can't be.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise BadCallError(reason=str(error)) from error


def change_faults(running: Server, request: Any) -> bytes:
    """Answer `GET /faults` and `PUT /faults`; a switch that is not named is turned off."""
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
    """Carry out `effect`; its value becomes JSON, and its typed errors become refusals."""

    def reply(value: Any) -> Response:
        return json_response(DONE if value is None else value)

    def refuse(failure: Any) -> Response:
        failure.trap(errors.EbonyhatchError)
        return refusal(failure.value)

    return defer.maybeDeferred(effect).addCallback(reply).addErrback(refuse)
