"""Sockets of the peer network: ROUTER, DEALER and the authentication of public keys (ZAP)."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import txzmq
import zmq
from ebonyhatch.node import frames, keys
from returns import result

QUEUE_LIMIT_FRAMES = 512
"""Maximum number of frames that a socket queues for one connection."""

RECONNECT_MS = 200
RECONNECT_LIMIT_MS = 2_000
PROBE_INTERVAL_MS = 2_000
PROBE_TIMEOUT_MS = 6_000

ZAP_ENDPOINT = "inproc://zeromq.zap.01"
ZAP_DOMAIN = b"ebonyhatch"
_ZAP_VERSION = b"1.0"
_ZAP_PARTS = 7
"""Version, request id, domain, address, identity, mechanism and public key."""


class PeerFactory(txzmq.ZmqFactory):
    """A separate ZeroMQ context on a given reactor."""

    lingerPeriod = 0  # noqa: N815

    def __init__(self, *, reactor: Any) -> None:
        super().__init__()
        self.reactor = reactor


class PeerSocket(txzmq.ZmqConnection):
    """Base of the sockets: bounded queues, and heartbeats at the level of ZeroMQ."""

    highWaterMark = QUEUE_LIMIT_FRAMES  # noqa: N815
    reconnectInterval = RECONNECT_MS  # noqa: N815
    reconnectIntervalMax = RECONNECT_LIMIT_MS  # noqa: N815

    def __init__(self, *, factory: PeerFactory) -> None:
        super().__init__(factory)
        self.socket.set(zmq.IPV6, 1)
        self.socket.set(zmq.MAXMSGSIZE, frames.FRAME_LIMIT_BYTES)
        self.socket.set(zmq.HEARTBEAT_IVL, PROBE_INTERVAL_MS)
        self.socket.set(zmq.HEARTBEAT_TIMEOUT, PROBE_TIMEOUT_MS)

    def try_send(self, parts: list[bytes]) -> bool:
        """Queues a message; returns False when nothing was queued."""
        if self.socket is None:
            return False
        try:
            self.send(parts)
        except zmq.ZMQError:
            return False
        return True


class Router(PeerSocket):
    """Receives the frames of peers; an answer is addressed by the routing id of a connection.

    `on_frame` is called with the routing id of the connection, the entry id that its key
    authenticates (None without keys) and the frame.
    """

    socketType = zmq.ROUTER  # noqa: N815

    def __init__(
        self, *, factory: PeerFactory, on_frame: Callable[[bytes, str | None, bytes], None]
    ) -> None:
        super().__init__(factory=factory)
        self._on_frame = on_frame
        self._authenticated_id: str | None = None
        self.socket.set(zmq.ROUTER_MANDATORY, 1)

    def secure(self, *, pair: keys.KeyPair) -> None:
        """Accepts only connections whose key the ZAP handler knows."""
        self.socket.set(zmq.ZAP_DOMAIN, ZAP_DOMAIN)
        self.socket.set(zmq.CURVE_SERVER, 1)
        self.socket.set(zmq.CURVE_PUBLICKEY, pair.public.encode())
        self.socket.set(zmq.CURVE_SECRETKEY, pair.secret.encode())

    def bind(self, *, host: str, port: int) -> int:
        """Listens and returns the port."""
        endpoint = f"tcp://{_bracketed(host)}:{port or '*'}"
        self.addEndpoints([txzmq.ZmqEndpoint(txzmq.ZmqEndpointType.bind, endpoint)])
        return int(self.socket.get(zmq.LAST_ENDPOINT).rstrip(b"\0").rsplit(b":", 1)[1])

    def _readMultipart(self) -> list[bytes]:  # noqa: N802
        parts = self.socket.recv_multipart(zmq.NOBLOCK, copy=False)
        self._authenticated_id = _authenticated_entry(parts[-1])
        return [part.bytes for part in parts]

    def messageReceived(self, message: list[bytes]) -> None:  # noqa: N802
        """Passes on a frame; an empty one for a message with a wrong number of parts."""
        if len(message) == 2:
            self._on_frame(message[0], self._authenticated_id, message[1])
        else:
            self._on_frame(message[0], self._authenticated_id, b"")


class Dealer(PeerSocket):
    """One connection to a peer.

    Unless `queues_unconnected`, it queues nothing while the peer is not connected.
    """

    socketType = zmq.DEALER  # noqa: N815

    def __init__(
        self,
        *,
        factory: PeerFactory,
        on_frame: Callable[[bytes], None],
        queues_unconnected: bool = False,
    ) -> None:
        super().__init__(factory=factory)
        self._on_frame = on_frame
        self.socket.set(zmq.IMMEDIATE, 0 if queues_unconnected else 1)

    def secure(self, *, pair: keys.KeyPair, peer_public: str) -> None:
        """Authenticates with this entry's key, and connects only to the holder of the peer's."""
        self.socket.set(zmq.CURVE_SERVERKEY, peer_public.encode())
        self.socket.set(zmq.CURVE_PUBLICKEY, pair.public.encode())
        self.socket.set(zmq.CURVE_SECRETKEY, pair.secret.encode())

    def connect(self, *, host: str, port: int) -> None:
        """Connects, and reconnects whenever the connection breaks."""
        endpoint = f"tcp://{_bracketed(host)}:{port}"
        self.addEndpoints([txzmq.ZmqEndpoint(txzmq.ZmqEndpointType.connect, endpoint)])

    def messageReceived(self, message: list[bytes]) -> None:  # noqa: N802
        """Passes on a frame; an empty one for a message with a wrong number of parts."""
        self._on_frame(message[0] if len(message) == 1 else b"")


class KeyCheck(txzmq.ZmqConnection):
    """Answers the ZeroMQ library's requests to authenticate a public key (ZAP, RFC 27)."""

    socketType = zmq.REP  # noqa: N815

    def __init__(
        self, *, factory: PeerFactory, ring: keys.KeyRing, on_refused: Callable[[], None]
    ) -> None:
        super().__init__(factory)
        self._ring = ring
        self._on_refused = on_refused

    def bind(self) -> None:
        """Listens; must be called before any ROUTER is bound."""
        self.addEndpoints([txzmq.ZmqEndpoint(txzmq.ZmqEndpointType.bind, ZAP_ENDPOINT)])

    def messageReceived(self, message: list[bytes]) -> None:  # noqa: N802
        """Answers one request."""
        request_id = message[1] if len(message) > 1 else b""
        entry_id = self._entry_of(message)
        if entry_id is None:
            self._on_refused()
            self.send([_ZAP_VERSION, request_id, b"400", b"unknown key", b"", b""])
        else:
            self.send([_ZAP_VERSION, request_id, b"200", b"", entry_id.encode(), b""])

    def _entry_of(self, message: list[bytes]) -> str | None:
        if len(message) != _ZAP_PARTS or message[2] != ZAP_DOMAIN or message[5] != b"CURVE":
            return None
        return self._ring.entry_of(public=message[6])


def bind_router(*, router: Router, host: str, port: int) -> result.Result[int, zmq.ZMQError]:
    """Binds a ROUTER; returns the port, or the error for which it cannot be bound."""
    try:
        return result.Success(router.bind(host=host, port=port))
    except zmq.ZMQError as error:
        return result.Failure(error)


def _authenticated_entry(frame: zmq.Frame) -> str | None:
    try:
        return str(frame.get("User-Id")) or None
    except zmq.ZMQError:
        return None


def _bracketed(host: str) -> str:
    return f"[{host}]" if ":" in host else host
