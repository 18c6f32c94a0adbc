"""Pooled HTTP connections, probed after idle time so that none that went silent is used."""

from __future__ import annotations

import collections
import dataclasses
from typing import Any

from ebonyhatch.ports import addresses, body_reader, timing
from twisted.internet import defer, endpoints, protocol
from twisted.web import client

PROBE_IDLE_S = 1.0
"""Idle time after which a connection is probed before it is used."""

PROBE_TIMEOUT_S = 0.25
"""Time within which a probe has to be answered."""

PROBE_PATH = "/health/live"
"""Path that a probe gets; any whole answer will do."""

PROBE_LIMIT_BYTES = 65_536
"""Longest answer to a probe."""

IDLE_LIMIT = 64
"""Idle connections kept for each address."""

IDLE_TIMEOUT_S = 60.0
"""Idle time after which a connection is closed."""

Key = tuple[bytes, bytes, int]


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _Idle:
    """A connection that waits for its next use."""

    connection: Any
    since: float
    timer: timing.Timer


class _ClientConnection(client.HTTP11ClientProtocol):
    """A connection that knows whether it was dropped.

    It keeps the parser of the last answer, since only that knows the `Connection` header.
    """

    parser: Any = None
    dropped = False

    def drop(self) -> None:
        """Abort; whatever still arrives, the pool will not use it again."""
        self.dropped = True
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def request(self, request: Any) -> Any:
        """Send a request."""
        answering = super().request(request)
        self.parser = self._parser
        return answering


class _ConnectionFactory(protocol.Factory):
    """Builds client protocols that come back to the pool after each answer."""

    noisy = False

    def __init__(self, *, pool: ConnectionPool, key: Key) -> None:
        self._pool = pool
        self._key = key

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Build the protocol of a new connection."""
        built = _ClientConnection(lambda made: self._pool.give_back(self._key, made))
        built.factory = self
        return built


class _OneConnection:
    """Hands one given connection to an agent, for a probe."""

    persistent = True

    def __init__(self, *, connection: Any) -> None:
        self._connection = connection

    def getConnection(self, key: Key, endpoint: Any) -> defer.Deferred[Any]:  # noqa: N802
        """Answer the given connection."""
        return defer.succeed(self._connection)


class ConnectionPool:
    """Idle connections by address, the latest used first; a pool for `twisted.web.client.Agent`.

    A connection that does not answer its probe is dropped together with all that have
    been idle as long, and a new one is opened. After a call without an answer, all that
    are idle are probed before their next use.
    """

    persistent = True

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor
        self._idle: dict[Key, collections.deque[_Idle]] = {}
        self._probing: set[Any] = set()
        self._closed = False
        self._opened = 0
        self._dropped = 0

    @property
    def opened(self) -> int:
        """Connections that were opened so far."""
        return self._opened

    @property
    def dropped(self) -> int:
        """Connections that were dropped so far because they had gone silent."""
        return self._dropped

    def start(self) -> None:
        """Keep connections."""
        self._closed = False

    def close(self) -> None:
        """Close idle connections, and keep none from now on."""
        self._closed = True
        for idles in self._idle.values():
            for idle in idles:
                self._discard(idle)
        self._idle.clear()
        for connection in list(self._probing):
            connection.drop()

    def getConnection(self, key: Key, endpoint: Any) -> defer.Deferred[Any]:  # noqa: N802
        """Answer a connection for one call: idle and known to work, or new."""
        idles = self._idle.get(key)
        while idles:
            idle = idles.pop()
            idle.timer.cancel()
            if idle.connection.dropped or idle.connection.state != "QUIESCENT":
                continue
            if self._reactor.seconds() - idle.since < PROBE_IDLE_S:
                return defer.succeed(idle.connection)
            return self._probe(key, idle.connection, endpoint)
        return self._open(key, endpoint)

    def give_back(self, key: Key, connection: Any) -> None:
        """Keep a connection whose answer is whole."""
        if self._closed:
            connection.transport.loseConnection()
            return
        if connection.dropped or connection in self._probing:
            return
        idles = self._idle.setdefault(key, collections.deque())
        idle = _Idle(
            connection=connection,
            since=self._reactor.seconds(),
            timer=self._reactor.callLater(IDLE_TIMEOUT_S, self._expire, key, connection),
        )
        idles.append(idle)
        if len(idles) > IDLE_LIMIT:
            self._discard(idles.popleft())

    def suspect(self, key: Key) -> None:
        """Have every idle connection to an address probed before its next use."""
        for idle in self._idle.get(key, ()):
            idle.since = float("-inf")

    def _open(self, key: Key, endpoint: Any) -> defer.Deferred[Any]:
        self._opened += 1
        return endpoint.connect(_ConnectionFactory(pool=self, key=key))

    @defer.inlineCallbacks
    def _probe(self, key: Key, connection: Any, endpoint: Any) -> Any:
        alive = yield self._answers(key, connection)
        if alive:
            return connection
        self._drop_silent(key, connection)
        opened = yield self._open(key, endpoint)
        return opened

    def _answers(self, key: Key, connection: Any) -> defer.Deferred[bool]:
        self._probing.add(connection)
        verdict: defer.Deferred[bool] = defer.Deferred()
        agent = client.Agent(self._reactor, pool=_OneConnection(connection=connection))
        url = addresses.base_url(host=key[1].decode("ascii"), port=key[2]) + PROBE_PATH
        answered = agent.request(b"GET", url.encode("ascii"))
        answered.addCallback(body_reader.read, limit_bytes=PROBE_LIMIT_BYTES)
        timer = self._reactor.callLater(PROBE_TIMEOUT_S, connection.drop)
        answered.addCallbacks(lambda _: connection.state == "QUIESCENT", lambda _: False)
        answered.addCallback(self._end_probe, key, connection, timer, verdict)
        return verdict

    def _end_probe(
        self,
        alive: bool,
        key: Key,
        connection: Any,
        timer: timing.Timer,
        verdict: defer.Deferred[bool],
    ) -> None:
        self._probing.discard(connection)
        if timer.active():
            timer.cancel()
        if not verdict.called:
            verdict.callback(alive)
        elif alive:
            self.give_back(key, connection)

    def _drop_silent(self, key: Key, connection: Any) -> None:
        self._dropped += 1
        connection.drop()
        idles = self._idle.get(key, collections.deque())
        now = self._reactor.seconds()
        while idles and now - idles[0].since >= PROBE_IDLE_S:
            self._dropped += 1
            self._discard(idles.popleft())

    def _expire(self, key: Key, connection: Any) -> None:
        idles = self._idle[key]
        for idle in list(idles):
            if idle.connection is connection:
                idles.remove(idle)
                connection.transport.loseConnection()

    def _discard(self, idle: _Idle) -> None:
        if idle.timer.active():
            idle.timer.cancel()
        idle.connection.drop()


class Checkout:
    """A pool for the agent of one call; it tells whether anything may have been sent."""

    persistent = True

    def __init__(self, *, pool: ConnectionPool) -> None:
        self._pool = pool
        self._key: Key | None = None
        self._connection: Any = None

    @property
    def sent(self) -> bool:
        """Whether a connection was handed out, so that the first byte may have left."""
        return self._connection is not None

    @property
    def connection_options(self) -> frozenset[str]:
        """What the answer's `Connection` header names, in lower case."""
        lines = self._connection.parser.connHeaders.getRawHeaders("Connection", [])
        return frozenset(name.strip().lower() for line in lines for name in line.split(","))

    def getConnection(self, key: Key, endpoint: Any) -> defer.Deferred[Any]:  # noqa: N802
        """Answer a connection of the pool, and remember it."""
        self._key = key
        return self._pool.getConnection(key, endpoint).addCallback(self._remember)

    def suspect(self) -> None:
        """Have other connections to the same address probed: this one gave no answer."""
        if self._key is not None:
            self._pool.suspect(self._key)

    def drop(self) -> None:
        """Abort the connection, so that nothing more is read from it."""
        if self._connection is not None:
            self._connection.drop()

    def _remember(self, connection: Any) -> Any:
        self._connection = connection
        return connection


class Endpoints:
    """Endpoints for IP numbers, with a limit on the time to connect."""

    def __init__(self, *, reactor: Any, timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s

    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        """Answer the endpoint of a parsed address."""
        host = uri.host.decode("ascii")
        kind = endpoints.TCP6ClientEndpoint if ":" in host else endpoints.TCP4ClientEndpoint
        return kind(self._reactor, host, uri.port, timeout=self._timeout_s)
