"""Pooled HTTP connections, probed after idle time so that no unresponsive one is used."""

from __future__ import annotations

import collections
import dataclasses
from typing import Any

from ebonyhatch.ports import addresses, body_reader, timing
from twisted.internet import defer, endpoints, protocol
from twisted.web import client

PROBE_IDLE_S = 1.0
"""Idle time after which a connection is probed before its next use, seconds."""

PROBE_TIMEOUT_S = 0.25
"""Time limit of a probe, seconds."""

PROBE_PATH = "/health/live"
"""Path that a probe requests; any complete response means success."""

PROBE_LIMIT_BYTES = 65_536
"""Size limit of the response to a probe, bytes."""

IDLE_LIMIT = 64
"""Upper bound of the idle connections for each address."""

IDLE_TIMEOUT_S = 60.0
"""Idle time after which a connection is closed, seconds."""

Key = tuple[bytes, bytes, int]


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _IdleConnection:
    """An idle connection and the timer that closes it."""

    connection: Any
    idle_since: float
    timer: timing.Timer


class _ClientConnection(client.HTTP11ClientProtocol):
    """A connection that records whether it was dropped.

    It retains the parser of the last response, since only that has the `Connection` header.
    """

    parser: Any = None
    dropped = False

    def drop(self) -> None:
        """Aborts the connection; the pool does not use it again, whatever data still arrives."""
        self.dropped = True
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def request(self, request: Any) -> Any:
        """Sends a request."""
        response = super().request(request)
        self.parser = self._parser
        return response


class _ConnectionFactory(protocol.Factory):
    """Builds client protocols that are released to the pool after each response."""

    noisy = False

    def __init__(self, *, pool: ConnectionPool, key: Key) -> None:
        self._pool = pool
        self._key = key

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Returns the protocol of a new connection."""
        built = _ClientConnection(lambda connection: self._pool.release(self._key, connection))
        built.factory = self
        return built


class _SingleConnectionPool:
    """A pool of one given connection, for the agent of a probe."""

    persistent = True

    def __init__(self, *, connection: Any) -> None:
        self._connection = connection

    def getConnection(self, key: Key, endpoint: Any) -> defer.Deferred[Any]:  # noqa: N802
        """Returns the given connection."""
        return defer.succeed(self._connection)


class ConnectionPool:
    """A pool for `twisted.web.client.Agent`, which reuses the most recently used connection first.

    A connection that does not answer its probe is dropped, together with all others that have
    been idle for at least `PROBE_IDLE_S`, and a new one is opened. After a call without a
    response, all idle connections to its address are probed before their next use.
    """

    persistent = True

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor
        self._idle: dict[Key, collections.deque[_IdleConnection]] = {}
        self._probing: set[Any] = set()
        self._closed = False
        self._opened = 0
        self._dropped = 0

    @property
    def opened(self) -> int:
        """Number of connections opened so far."""
        return self._opened

    @property
    def dropped(self) -> int:
        """Number of connections dropped so far because they were unresponsive."""
        return self._dropped

    def start(self) -> None:
        """Retains connections from now on."""
        self._closed = False

    def close(self) -> None:
        """Closes idle connections, and retains none from now on."""
        self._closed = True
        for idle_connections in self._idle.values():
            for idle in idle_connections:
                self._discard(idle)
        self._idle.clear()
        for connection in list(self._probing):
            connection.drop()

    def getConnection(self, key: Key, endpoint: Any) -> defer.Deferred[Any]:  # noqa: N802
        """Returns a connection for one call: an idle one that is known to work, or a new one."""
        idle_connections = self._idle.get(key)
        while idle_connections:
            idle = idle_connections.pop()
            idle.timer.cancel()
            if idle.connection.dropped or idle.connection.state != "QUIESCENT":
                continue
            if self._reactor.seconds() - idle.idle_since < PROBE_IDLE_S:
                return defer.succeed(idle.connection)
            return self._probe(key, idle.connection, endpoint)
        return self._open(key, endpoint)

    def release(self, key: Key, connection: Any) -> None:
        """Returns a connection to the pool after a complete response."""
        if self._closed:
            connection.transport.loseConnection()
            return
        if connection.dropped or connection in self._probing:
            return
        idle_connections = self._idle.setdefault(key, collections.deque())
        idle = _IdleConnection(
            connection=connection,
            idle_since=self._reactor.seconds(),
            timer=self._reactor.callLater(IDLE_TIMEOUT_S, self._expire, key, connection),
        )
        idle_connections.append(idle)
        if len(idle_connections) > IDLE_LIMIT:
            self._discard(idle_connections.popleft())

    def require_probe(self, key: Key) -> None:
        """Requires a probe of every idle connection to an address before its next use."""
        for idle in self._idle.get(key, ()):
            idle.idle_since = float("-inf")

    def _open(self, key: Key, endpoint: Any) -> defer.Deferred[Any]:
        self._opened += 1
        return endpoint.connect(_ConnectionFactory(pool=self, key=key))

    @defer.inlineCallbacks
    def _probe(self, key: Key, connection: Any, endpoint: Any) -> Any:
        alive = yield self._probe_succeeds(key, connection)
        if alive:
            return connection
        self._drop_unresponsive(key, connection)
        opened = yield self._open(key, endpoint)
        return opened

    def _probe_succeeds(self, key: Key, connection: Any) -> defer.Deferred[bool]:
        self._probing.add(connection)
        probe_outcome: defer.Deferred[bool] = defer.Deferred()
        agent = client.Agent(self._reactor, pool=_SingleConnectionPool(connection=connection))
        url = addresses.base_url(host=key[1].decode("ascii"), port=key[2]) + PROBE_PATH
        exchange = agent.request(b"GET", url.encode("ascii"))
        exchange.addCallback(body_reader.read, limit_bytes=PROBE_LIMIT_BYTES)
        timer = self._reactor.callLater(PROBE_TIMEOUT_S, connection.drop)
        exchange.addCallbacks(lambda _: connection.state == "QUIESCENT", lambda _: False)
        exchange.addCallback(self._finish_probe, key, connection, timer, probe_outcome)
        return probe_outcome

    def _finish_probe(
        self,
        alive: bool,
        key: Key,
        connection: Any,
        timer: timing.Timer,
        probe_outcome: defer.Deferred[bool],
    ) -> None:
        self._probing.discard(connection)
        if timer.active():
            timer.cancel()
        if not probe_outcome.called:
            probe_outcome.callback(alive)
        elif alive:
            self.release(key, connection)

    def _drop_unresponsive(self, key: Key, connection: Any) -> None:
        self._dropped += 1
        connection.drop()
        idle_connections = self._idle.get(key, collections.deque())
        now = self._reactor.seconds()
        while idle_connections and now - idle_connections[0].idle_since >= PROBE_IDLE_S:
            self._dropped += 1
            self._discard(idle_connections.popleft())

    def _expire(self, key: Key, connection: Any) -> None:
        idle_connections = self._idle[key]
        for idle in list(idle_connections):
            if idle.connection is connection:
                idle_connections.remove(idle)
                connection.transport.loseConnection()

    def _discard(self, idle: _IdleConnection) -> None:
        if idle.timer.active():
            idle.timer.cancel()
        idle.connection.drop()


class Checkout:
    """A pool for the agent of one call; records whether anything may have been sent."""

    persistent = True

    def __init__(self, *, pool: ConnectionPool) -> None:
        self._pool = pool
        self._key: Key | None = None
        self._connection: Any = None

    @property
    def sent(self) -> bool:
        """Whether a connection was handed out, after which part of the request may be sent."""
        return self._connection is not None

    @property
    def connection_options(self) -> frozenset[str]:
        """Names listed in the `Connection` header of the response, in lower case."""
        lines = self._connection.parser.connHeaders.getRawHeaders("Connection", [])
        return frozenset(name.strip().lower() for line in lines for name in line.split(","))

    def getConnection(self, key: Key, endpoint: Any) -> defer.Deferred[Any]:  # noqa: N802
        """Returns a connection of the pool, and records it."""
        self._key = key
        return self._pool.getConnection(key, endpoint).addCallback(self._set_connection)

    def require_probe(self) -> None:
        """Requires probes of the other connections to the address, as this one had no response."""
        if self._key is not None:
            self._pool.require_probe(self._key)

    def drop(self) -> None:
        """Aborts the connection, so that nothing more is read from it."""
        if self._connection is not None:
            self._connection.drop()

    def _set_connection(self, connection: Any) -> Any:
        self._connection = connection
        return connection


class Endpoints:
    """Endpoints for IP addresses, with a time limit for connecting."""

    def __init__(self, *, reactor: Any, timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s

    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        """Returns the endpoint of a parsed URL."""
        host = uri.host.decode("ascii")
        kind = endpoints.TCP6ClientEndpoint if ":" in host else endpoints.TCP4ClientEndpoint
        return kind(self._reactor, host, uri.port, timeout=self._timeout_s)
