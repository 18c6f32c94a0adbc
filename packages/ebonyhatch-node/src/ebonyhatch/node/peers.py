"""Network between entries: calls, one-way messages and heartbeats over ZeroMQ."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Any

from ebonyhatch.core import errors
from ebonyhatch.node import frames, logs, messages, peer_calls, peer_link, peer_sockets
from ebonyhatch.node import keys as keys_
from returns import pipeline, result
from twisted.internet import defer, task
from twisted.python import failure

PeerAddress = peer_link.PeerAddress
PeerError = peer_calls.PeerError
PeerNotSentError = peer_calls.PeerNotSentError
PeerUnknownError = peer_calls.PeerUnknownError

LINK_CHECKS_PER_TIMEOUT = 12
"""Number of times that the connections are checked within one response timeout."""

PONG_REQUESTED = b"?"
"""Correlation of a one-way message that requests a pong, which confirms the connection."""

CALLS_LIMIT = 1_024
QUEUE_LIMIT_BYTES = 8_000_000

Handler = Callable[[str, Any], Any]
"""Receives the sender's entry id and a message; returns a reply, a Deferred of one, or None."""

CallOutcome = defer.Deferred[peer_calls.Reply]


class PeerBindError(errors.EbonyhatchError):
    """Raised when the daemon cannot listen for its peers."""

    def __init__(self, *, host: str, port: int, reason: str) -> None:
        super().__init__(
            problem=f"cannot listen for peers on {host} port {port}: {reason}",
            remedy="free the port, or change listen.peers in the settings",
        )
        self.host = host
        self.port = port
        self.reason = reason


class PeerNetwork:
    """Exchanges messages with all peers; every queue is bounded.

    Connections to some peers are kept open; one to any other peer is opened by a message to it, and
    closed after a time without further ones. A call is sent over the connection to the peer. Its reply returns over the connection
    from which the peer most recently received a frame, and is matched by its id alone, so
    that a call survives the replacement of an unresponsive connection.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        entry_id: str,
        host: str,
        port: int,
        keys: keys_.KeyRing | None,
        on_bytes: Callable[[str, int], None],
        on_fault: Callable[[str], None] = lambda reason: None,
        calls_limit: int = CALLS_LIMIT,
        queue_limit_bytes: int = QUEUE_LIMIT_BYTES,
        response_timeout_s: float = peer_link.RESPONSE_TIMEOUT_S,
    ) -> None:
        """Initializes the network; no socket is opened before `start`.

        Args:
            reactor: The reactor of the process.
            entry_id: Name of this entry.
            host: IP address to listen on.
            port: TCP port to listen on; 0 selects a free one.
            keys: CURVE keys, or None to accept every connection unauthenticated.
            on_bytes: Called with `in` or `out` and the number of bytes of each frame.
            on_fault: Called with the reason when a frame is dropped or a connection replaced.
            calls_limit: Maximum number of unanswered calls to, and of unfinished calls from,
                one peer.
            queue_limit_bytes: Maximum number of bytes in unanswered calls to one peer.
            response_timeout_s: Time without an answer after which a connection is replaced,
                seconds.
        """
        self._reactor = reactor
        self._entry_id = entry_id
        self._host = host
        self._port = port
        self._key_ring = keys
        self._on_bytes = on_bytes
        self._on_fault = on_fault
        self._calls_limit = calls_limit
        self._queue_limit_bytes = queue_limit_bytes
        self._response_timeout_s = response_timeout_s
        self._handlers: dict[type[messages.Message], Handler] = {}
        self._calls = peer_calls.Calls(reactor=reactor)
        self._addresses: dict[str, PeerAddress] = {}
        self._links: dict[str, peer_link.PeerLink] = {}
        self._received_at: dict[str, float] = {}
        self._routing_ids: dict[str, bytes] = {}
        self._running_handlers: dict[str, int] = {}
        self._link_checks = task.LoopingCall(self._check_links)
        self._link_checks.clock = reactor
        self._factory: peer_sockets.PeerFactory | None = None
        self._router: peer_sockets.Router | None = None

    @property
    def port(self) -> int:
        """The listening port; after `start`, the one that was bound."""
        return self._port

    @property
    def peers(self) -> tuple[PeerAddress, ...]:
        """Addresses of the peers."""
        return tuple(self._addresses.values())

    @property
    def connections(self) -> int:
        """Number of open connections to peers."""
        return len(self._links)

    def start(self) -> None:
        """Listens for peers and starts the heartbeats.

        Raises:
            PeerBindError: When the address cannot be bound.
        """
        self._factory = peer_sockets.PeerFactory(reactor=self._reactor)
        self._check_keys(self._factory)
        self._router = peer_sockets.Router(
            factory=self._factory, on_frame=self._receive_from_router
        )
        if self._key_ring is not None:
            self._router.secure(pair=self._key_ring.pair)
        bound = peer_sockets.bind_router(router=self._router, host=self._host, port=self._port)
        if not pipeline.is_successful(bound):
            self._close_sockets()
            reason = str(bound.failure())
            raise PeerBindError(host=self._host, port=self._port, reason=reason)
        self._port = bound.unwrap()
        self._link_checks.start(self._response_timeout_s / LINK_CHECKS_PER_TIMEOUT, now=False)

    def close(self) -> None:
        """Ends all calls with an unknown outcome and closes all connections."""
        if self._link_checks.running:
            self._link_checks.stop()
        for link in self._links.values():
            link.close()
        self._links.clear()
        self._calls.resolve_all(entry_id=None, reason="this entry is stopping")
        self._close_sockets()

    def set_peers(
        self, *, peers: tuple[PeerAddress, ...], linked: Collection[str] | None = None
    ) -> None:
        """Exchanges messages with exactly these peers; this entry itself is skipped.

        Args:
            peers: Addresses of the peers.
            linked: Entry ids of the peers to which a connection is kept open; None for all.
        """
        addresses = {peer.entry_id: peer for peer in peers if peer.entry_id != self._entry_id}
        for entry_id, address in self._addresses.items():
            if addresses.get(entry_id) != address:
                self._forget(entry_id)
        self._addresses = addresses
        kept = set(addresses) if linked is None else addresses.keys() & set(linked)
        for entry_id, link in self._links.items():
            link.keep(entry_id in kept)
        for entry_id in kept:
            if entry_id not in self._links:
                self._link(addresses[entry_id], kept=True)

    def handle(self, message_type: type[messages.Message], handler: Handler) -> None:
        """Registers the handler of calls and one-way messages of a type."""
        self._handlers[message_type] = handler

    def call(self, *, entry_id: str, message: messages.Message, timeout_s: float) -> CallOutcome:
        """Sends a message and awaits the reply.

        Returns:
            The reply; `PeerNotSentError` when the message was certainly not delivered;
            `PeerUnknownError` when no reply came within `timeout_s`.
        """
        link = self._link_to(entry_id)
        if link is None:
            return self._not_sent(entry_id, "it is not among the peers")
        if not link.usable:
            return self._not_sent(entry_id, "it is unresponsive")
        correlation = self._calls.next_id()
        frame = self._encode(frames.Kind.CALL, correlation, message)
        if frame is None:
            return self._not_sent(entry_id, "the message cannot be encoded or is too large")
        if self._is_full(entry_id, len(frame)):
            return self._not_sent(entry_id, "its queue is full")
        if not self._count_sent(link.call(frame), frame):
            return self._not_sent(entry_id, "it is not connected")
        return self._calls.add(
            correlation=correlation, entry_id=entry_id, size=len(frame), timeout_s=timeout_s
        )

    def send(self, *, entry_id: str, message: messages.Message) -> bool:
        """Sends a message that has no reply; returns False when it was dropped."""
        link = self._link_to(entry_id)
        if link is None:
            return False
        probing = link.should_probe
        frame = self._encode(frames.Kind.SEND, PONG_REQUESTED if probing else b"", message)
        if frame is None or not self._count_sent(link.send(frame), frame):
            return False
        if probing:
            link.record_probe()
        return True

    def is_unresponsive(self, entry_id: str) -> bool:
        """Returns whether a peer is unresponsive.

        This holds for a peer that is not linked, and for one from which no frame came within
        the response timeout although an answer has been due for as long.
        """
        link = self._links.get(entry_id)
        if link is None:
            return True
        age_s = self.last_frame_age_s(entry_id)
        return link.unresponsive and (age_s is None or age_s > self._response_timeout_s)

    def last_frame_age_s(self, entry_id: str) -> float | None:
        """Returns the seconds since the last frame of a linked peer, or None before the first."""
        received_at = self._received_at.get(entry_id)
        return None if received_at is None else self._reactor.seconds() - received_at

    def _check_keys(self, factory: peer_sockets.PeerFactory) -> None:
        if self._key_ring is None:
            logs.write(
                "peers.unprotected",
                warning="WITHOUT KEYS: anyone who reaches the peers' port can act as an entry",
                remedy="run `ebonyhatch keys new` and fill in the section keys of the settings",
            )
            return
        check = peer_sockets.KeyCheck(
            factory=factory, ring=self._key_ring, on_refused=lambda: self._on_fault("unknown-key")
        )
        check.bind()

    def _close_sockets(self) -> None:
        if self._factory is not None:
            self._factory.shutdown()
        self._factory = None
        self._router = None

    def _link_to(self, entry_id: str) -> peer_link.PeerLink | None:
        """Returns the link to a peer, which is opened if there is none; None for other entries."""
        if entry_id not in self._links and entry_id in self._addresses:
            self._link(self._addresses[entry_id], kept=False)
        return self._links.get(entry_id)

    def _link(self, address: PeerAddress, *, kept: bool) -> None:
        if self._factory is None:
            return
        if self._key_ring is not None and address.entry_id not in self._key_ring.peers:
            self._on_fault("no-key")
            logs.write("peers.no_key", peer=address.entry_id, remedy="add it to keys.peers")
            return
        link = peer_link.PeerLink(
            factory=self._factory,
            clock=self._reactor.seconds,
            address=address,
            sender=self._entry_id,
            ring=self._key_ring,
            response_timeout_s=self._response_timeout_s,
            on_frame=lambda data: self._receive_from_dealer(address.entry_id, data),
            kept=kept,
        )
        self._links[address.entry_id] = link
        link.start()

    def _unlink(self, entry_id: str) -> None:
        link = self._links.pop(entry_id, None)
        if link is not None:
            link.close()

    def _forget(self, entry_id: str) -> None:
        self._unlink(entry_id)
        self._received_at.pop(entry_id, None)
        self._routing_ids.pop(entry_id, None)
        self._calls.resolve_all(entry_id=entry_id, reason="it is no longer among the peers")

    def _check_links(self) -> None:
        for entry_id, link in list(self._links.items()):
            if link.expired and not self._calls.count(entry_id):
                self._unlink(entry_id)
            elif link.check_liveness():
                self._on_fault("silent")

    def _not_sent(self, entry_id: str, reason: str) -> CallOutcome:
        return defer.succeed(result.Failure(PeerNotSentError(entry_id=entry_id, reason=reason)))

    def _is_full(self, entry_id: str, size: int) -> bool:
        return (
            self._calls.count(entry_id) >= self._calls_limit
            or self._calls.size(entry_id) + size > self._queue_limit_bytes
        )

    def _encode(
        self, kind: frames.Kind, correlation: bytes, message: messages.Message | None
    ) -> bytes | None:
        """Encodes a frame; None when this fails or the frame is too large for peers to accept."""
        try:
            frame = frames.encode(
                kind=kind, sender=self._entry_id, correlation=correlation, message=message
            )
        except (ValueError, TypeError):
            return None
        return frame if len(frame) <= frames.FRAME_LIMIT_BYTES else None

    def _count_sent(self, queued: bool, frame: bytes) -> bool:
        """Counts a frame as sent or, when it was not queued, as a fault."""
        if queued:
            self._on_bytes("out", len(frame))
        else:
            self._on_fault("not-queued")
        return queued

    def _receive_from_dealer(self, entry_id: str, data: bytes) -> bool:
        """Handles a pong, a reply or a refusal; returns whether the peer sent a valid frame."""
        frame = self._decode(data)
        if frame is None or frame.sender != entry_id:
            return False
        self._received_at[entry_id] = self._reactor.seconds()
        if frame.kind == frames.Kind.REPLY:
            self._resolve(entry_id, frame, frames.decode_message(frame))
        elif frame.kind == frames.Kind.REFUSAL:
            refused = PeerNotSentError(entry_id=entry_id, reason="it refused the message")
            self._resolve(entry_id, frame, result.Failure(refused))
        return True

    def _resolve(
        self, entry_id: str, frame: frames.Frame, outcome: result.Result[Any, Any]
    ) -> None:
        if not pipeline.is_successful(outcome) and isinstance(outcome.failure(), frames.FrameError):
            self._on_fault("bad-reply")
            return
        awaited = self._calls.entry_of(frame.correlation) == entry_id
        if not awaited or not self._calls.resolve(frame.correlation, outcome):
            self._on_fault("late-reply")

    def _receive_from_router(
        self, routing_id: bytes, authenticated_id: str | None, data: bytes
    ) -> None:
        """Handles a ping, a call or a one-way message."""
        frame = self._decode(data)
        if frame is None:
            return
        if self._key_ring is not None and authenticated_id != frame.sender:
            self._on_fault("wrong-sender")
            return
        if frame.sender in self._addresses:
            self._received_at[frame.sender] = self._reactor.seconds()
            self._routing_ids[frame.sender] = routing_id
        if frame.kind == frames.Kind.PING:
            self._answer(routing_id, frame, frames.Kind.PONG)
        elif frame.kind == frames.Kind.SEND and frame.correlation == PONG_REQUESTED:
            self._answer(routing_id, frame, frames.Kind.PONG)
            self._dispatch(routing_id, frame)
        elif frame.kind in (frames.Kind.CALL, frames.Kind.SEND):
            self._dispatch(routing_id, frame)
        else:
            self._on_fault("unexpected-kind")

    def _decode(self, data: bytes) -> frames.Frame | None:
        self._on_bytes("in", len(data))
        decoded = frames.decode(data)
        if pipeline.is_successful(decoded):
            return decoded.unwrap()
        unknown = isinstance(decoded.failure(), frames.UnknownVersionError)
        self._on_fault("unknown-version" if unknown else "bad-frame")
        return None

    def _dispatch(self, routing_id: bytes, frame: frames.Frame) -> None:
        decoded = frames.decode_message(frame)
        if not pipeline.is_successful(decoded):
            self._on_fault("bad-message")
            self._refuse(routing_id, frame)
            return
        message = decoded.unwrap()
        handler = self._handlers.get(type(message))
        if handler is None or self._running_handlers.get(frame.sender, 0) >= self._calls_limit:
            self._on_fault("unhandled" if handler is None else "too-many-calls")
            self._refuse(routing_id, frame)
            return
        self._run(routing_id, frame, handler, message)

    def _run(
        self, routing_id: bytes, frame: frames.Frame, handler: Handler, message: messages.Message
    ) -> None:
        sender = frame.sender
        self._running_handlers[sender] = self._running_handlers.get(sender, 0) + 1
        done = defer.maybeDeferred(handler, sender, message)
        done.addBoth(self._handler_finished, sender)
        done.addCallbacks(
            self._reply,
            self._handler_failed,
            callbackArgs=(routing_id, frame),
            errbackArgs=(message,),
        )

    def _handler_finished(self, outcome: Any, sender: str) -> Any:
        self._running_handlers[sender] -= 1
        if not self._running_handlers[sender]:
            del self._running_handlers[sender]
        return outcome

    def _reply(
        self, reply: messages.Message | None, routing_id: bytes, frame: frames.Frame
    ) -> None:
        if frame.kind == frames.Kind.CALL and reply is not None:
            self._answer(routing_id, frame, frames.Kind.REPLY, reply)

    def _handler_failed(self, reason: failure.Failure, message: messages.Message) -> None:
        # No reply is sent: the handler may have had effects before it failed, and a call
        # without a reply ends with an unknown outcome at the caller.
        self._on_fault("handler-failed")
        logs.write_error(
            "peers.handler_failed", error=reason.value, message_kind=type(message).__name__
        )

    def _refuse(self, routing_id: bytes, frame: frames.Frame) -> None:
        if frame.kind == frames.Kind.CALL:
            self._answer(routing_id, frame, frames.Kind.REFUSAL)

    def _answer(
        self,
        routing_id: bytes,
        frame: frames.Frame,
        kind: frames.Kind,
        message: messages.Message | None = None,
    ) -> None:
        """Sends over the connection from which the peer's last frame was received.

        A pong returns over the connection of its ping, because it confirms that connection.
        """
        data = self._encode(kind, frame.correlation, message)
        newest_routing_id = (
            routing_id
            if kind == frames.Kind.PONG
            else self._routing_ids.get(frame.sender, routing_id)
        )
        if data is None or self._router is None:
            self._on_fault("reply-too-large")
        elif self._router.try_send([newest_routing_id, data]):
            self._on_bytes("out", len(data))
        else:
            self._on_fault("reply-dropped")
