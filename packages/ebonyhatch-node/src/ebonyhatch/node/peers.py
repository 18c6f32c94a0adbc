"""The network of entries: calls, one-way messages and heartbeats over ZeroMQ."""

from __future__ import annotations

from collections.abc import Callable
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

BEATS_IN_SILENCE = 12
"""How often in the time of silence the connections are looked at."""

ASKS_FOR_PONG = b"?"
"""Correlation of a one-way message that proves the connection by a pong."""

CALLS_LIMIT = 1_024
QUEUE_LIMIT_BYTES = 8_000_000

Handler = Callable[[str, Any], Any]
"""Takes the sender's entry id and a message; gives a reply, a Deferred of one, or None."""

CallOutcome = defer.Deferred[peer_calls.Reply]


class PeerBindError(errors.EbonyhatchError):
    """The daemon can't listen for its peers."""

    def __init__(self, *, host: str, port: int, reason: str) -> None:
        super().__init__(
            problem=f"can't listen for peers on {host} port {port}: {reason}",
            remedy="free the port, or change listen.peers in the settings",
        )
        self.host = host
        self.port = port
        self.reason = reason


class PeerNetwork:
    """Exchanges messages with all peers; every queue is bounded.

    A call goes out by the connection to the peer; its reply comes back by whichever
    connection the peer heard last, and is matched by its id alone, so that it survives the
    replacement of a silent connection.
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
        silence_s: float = peer_link.SILENCE_S,
    ) -> None:
        """Prepare; nothing is opened before `start`.

        Args:
            reactor: The reactor of the process.
            entry_id: Name of this entry.
            host: IP number to listen on.
            port: TCP port to listen on; 0 takes a free one.
            keys: CURVE keys, or None to trust whoever connects.
            on_bytes: Told `in` or `out` and the number of bytes of each frame.
            on_fault: Told the reason for which a frame was dropped or a connection replaced.
            calls_limit: Most unanswered calls to, and unfinished calls from, one peer.
            queue_limit_bytes: Most bytes in unanswered calls to one peer.
            silence_s: Silence after which a connection is replaced.
        """
        self._reactor = reactor
        self._entry_id = entry_id
        self._host = host
        self._port = port
        self._ring = keys
        self._on_bytes = on_bytes
        self._on_fault = on_fault
        self._calls_limit = calls_limit
        self._queue_limit_bytes = queue_limit_bytes
        self._silence_s = silence_s
        self._handlers: dict[type[messages.Message], Handler] = {}
        self._calls = peer_calls.Calls(reactor=reactor)
        self._links: dict[str, peer_link.PeerLink] = {}
        self._heard_at: dict[str, float] = {}
        self._routes: dict[str, bytes] = {}
        self._handling: dict[str, int] = {}
        self._beats = task.LoopingCall(self._beat)
        self._beats.clock = reactor
        self._factory: peer_sockets.PeerFactory | None = None
        self._router: peer_sockets.Router | None = None

    @property
    def port(self) -> int:
        """The port that is listened on; the actual one after `start`."""
        return self._port

    @property
    def peers(self) -> tuple[PeerAddress, ...]:
        """The peers that are linked."""
        return tuple(link.address for link in self._links.values())

    def start(self) -> None:
        """Listen and begin with heartbeats.

        Raises:
            PeerBindError: When the address can't be listened on.
        """
        self._factory = peer_sockets.PeerFactory(reactor=self._reactor)
        self._check_keys(self._factory)
        self._router = peer_sockets.Router(factory=self._factory, on_frame=self._from_router)
        if self._ring is not None:
            self._router.secure(pair=self._ring.pair)
        bound = peer_sockets.bind_router(router=self._router, host=self._host, port=self._port)
        if not pipeline.is_successful(bound):
            self._close_sockets()
            reason = str(bound.failure())
            raise PeerBindError(host=self._host, port=self._port, reason=reason)
        self._port = bound.unwrap()
        self._beats.start(self._silence_s / BEATS_IN_SILENCE, now=False)

    def close(self) -> None:
        """End all calls with an unknown outcome and close all connections."""
        if self._beats.running:
            self._beats.stop()
        for link in self._links.values():
            link.close()
        self._links.clear()
        self._calls.settle_all(entry_id=None, reason="this entry stops")
        self._close_sockets()

    def set_peers(self, *, peers: tuple[PeerAddress, ...]) -> None:
        """Link exactly these peers; this entry itself is left out."""
        wanted = {peer.entry_id: peer for peer in peers if peer.entry_id != self._entry_id}
        for entry_id, link in list(self._links.items()):
            if wanted.get(entry_id) != link.address:
                self._unlink(entry_id)
        for entry_id, address in wanted.items():
            if entry_id not in self._links:
                self._link(address)

    def handle(self, message_type: type[messages.Message], handler: Handler) -> None:
        """Let `handler` answer calls and take one-way messages of a type."""
        self._handlers[message_type] = handler

    def call(self, *, entry_id: str, message: messages.Message, timeout_s: float) -> CallOutcome:
        """Send a message and await the reply.

        Returns:
            The reply; `PeerNotSentError` when it was certainly not delivered;
            `PeerUnknownError` when no reply came within `timeout_s`.
        """
        link = self._links.get(entry_id)
        if link is None:
            return self._not_sent(entry_id, "it is not among the peers")
        if not link.usable:
            return self._not_sent(entry_id, "it is silent")
        correlation = self._calls.next_id()
        frame = self._encode(frames.Kind.CALL, correlation, message)
        if frame is None:
            return self._not_sent(entry_id, "the message can't be encoded or is too large")
        if self._is_full(entry_id, len(frame)):
            return self._not_sent(entry_id, "its queue is full")
        if not self._sent(link.call(frame), frame):
            return self._not_sent(entry_id, "it is not connected")
        return self._calls.add(
            correlation=correlation, entry_id=entry_id, size=len(frame), timeout_s=timeout_s
        )

    def send(self, *, entry_id: str, message: messages.Message) -> bool:
        """Send a message that has no reply; False when it was dropped."""
        link = self._links.get(entry_id)
        if link is None:
            return False
        asks = link.wants_answer
        frame = self._encode(frames.Kind.SEND, ASKS_FOR_PONG if asks else b"", message)
        if frame is None or not self._sent(link.send(frame), frame):
            return False
        if asks:
            link.note_probe()
        return True

    def is_unresponsive(self, entry_id: str) -> bool:
        """Tell whether a peer isn't linked, or has owed an answer for the time of silence."""
        link = self._links.get(entry_id)
        if link is None:
            return True
        heard_s = self.last_heard_s(entry_id)
        return link.silent and (heard_s is None or heard_s > self._silence_s)

    def last_heard_s(self, entry_id: str) -> float | None:
        """Give the seconds since a linked peer was heard, or None if it never was."""
        heard_at = self._heard_at.get(entry_id)
        return None if heard_at is None else self._reactor.seconds() - heard_at

    def _check_keys(self, factory: peer_sockets.PeerFactory) -> None:
        if self._ring is None:
            logs.write(
                "peers.unprotected",
                warning="WITHOUT KEYS: anyone who reaches the peers' port can act as an entry",
                remedy="run `ebonyhatch keys new` and fill in the section keys of the settings",
            )
            return
        check = peer_sockets.KeyCheck(
            factory=factory, ring=self._ring, on_refused=lambda: self._on_fault("unknown-key")
        )
        check.bind()

    def _close_sockets(self) -> None:
        if self._factory is not None:
            self._factory.shutdown()
        self._factory = None
        self._router = None

    def _link(self, address: PeerAddress) -> None:
        if self._factory is None:
            return
        if self._ring is not None and address.entry_id not in self._ring.peers:
            self._on_fault("no-key")
            logs.write("peers.no_key", peer=address.entry_id, remedy="add it to keys.peers")
            return
        link = peer_link.PeerLink(
            factory=self._factory,
            clock=self._reactor.seconds,
            address=address,
            sender=self._entry_id,
            ring=self._ring,
            silence_s=self._silence_s,
            on_frame=lambda data: self._from_dealer(address.entry_id, data),
        )
        self._links[address.entry_id] = link
        link.start()

    def _unlink(self, entry_id: str) -> None:
        self._links.pop(entry_id).close()
        self._heard_at.pop(entry_id, None)
        self._routes.pop(entry_id, None)
        self._calls.settle_all(entry_id=entry_id, reason="it is not among the peers any more")

    def _beat(self) -> None:
        for link in self._links.values():
            if link.beat():
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
        """Encode a frame; None when it can't be encoded or is too large for a peer to take."""
        try:
            frame = frames.encode(
                kind=kind, sender=self._entry_id, correlation=correlation, message=message
            )
        except (ValueError, TypeError):
            return None
        return frame if len(frame) <= frames.FRAME_LIMIT_BYTES else None

    def _sent(self, queued: bool, frame: bytes) -> bool:
        """Count a frame by whether it was queued."""
        if queued:
            self._on_bytes("out", len(frame))
        else:
            self._on_fault("not-queued")
        return queued

    def _from_dealer(self, entry_id: str, data: bytes) -> bool:
        """Take a pong or a reply; tells whether the frame could be read."""
        frame = self._decode(data)
        if frame is None or frame.sender != entry_id:
            return False
        self._heard_at[entry_id] = self._reactor.seconds()
        if frame.kind == frames.Kind.REPLY:
            self._settle(entry_id, frame, frames.decode_message(frame))
        elif frame.kind == frames.Kind.REFUSAL:
            refused = PeerNotSentError(entry_id=entry_id, reason="it refused the message")
            self._settle(entry_id, frame, result.Failure(refused))
        return True

    def _settle(self, entry_id: str, frame: frames.Frame, outcome: result.Result[Any, Any]) -> None:
        if not pipeline.is_successful(outcome) and isinstance(outcome.failure(), frames.FrameError):
            self._on_fault("bad-reply")
            return
        awaited = self._calls.entry_of(frame.correlation) == entry_id
        if not awaited or not self._calls.settle(frame.correlation, outcome):
            self._on_fault("late-reply")

    def _from_router(self, route: bytes, proven: str | None, data: bytes) -> None:
        """Take a ping, a call or a one-way message."""
        frame = self._decode(data)
        if frame is None:
            return
        if self._ring is not None and proven != frame.sender:
            self._on_fault("wrong-sender")
            return
        if frame.sender in self._links:
            self._heard_at[frame.sender] = self._reactor.seconds()
            self._routes[frame.sender] = route
        if frame.kind == frames.Kind.PING:
            self._answer(route, frame, frames.Kind.PONG)
        elif frame.kind == frames.Kind.SEND and frame.correlation == ASKS_FOR_PONG:
            self._answer(route, frame, frames.Kind.PONG)
            self._dispatch(route, frame)
        elif frame.kind in (frames.Kind.CALL, frames.Kind.SEND):
            self._dispatch(route, frame)
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

    def _dispatch(self, route: bytes, frame: frames.Frame) -> None:
        decoded = frames.decode_message(frame)
        if not pipeline.is_successful(decoded):
            self._on_fault("bad-message")
            self._refuse(route, frame)
            return
        message = decoded.unwrap()
        handler = self._handlers.get(type(message))
        if handler is None or self._handling.get(frame.sender, 0) >= self._calls_limit:
            self._on_fault("unhandled" if handler is None else "too-many-calls")
            self._refuse(route, frame)
            return
        self._run(route, frame, handler, message)

    def _run(
        self, route: bytes, frame: frames.Frame, handler: Handler, message: messages.Message
    ) -> None:
        sender = frame.sender
        self._handling[sender] = self._handling.get(sender, 0) + 1
        done = defer.maybeDeferred(handler, sender, message)
        done.addBoth(self._finished, sender)
        done.addCallbacks(
            self._reply, self._failed, callbackArgs=(route, frame), errbackArgs=(message,)
        )

    def _finished(self, outcome: Any, sender: str) -> Any:
        self._handling[sender] -= 1
        if not self._handling[sender]:
            del self._handling[sender]
        return outcome

    def _reply(self, reply: messages.Message | None, route: bytes, frame: frames.Frame) -> None:
        if frame.kind == frames.Kind.CALL and reply is not None:
            self._answer(route, frame, frames.Kind.REPLY, reply)

    def _failed(self, reason: failure.Failure, message: messages.Message) -> None:
        # Without a reply the caller learns that the outcome is unknown, which is the truth.
        self._on_fault("handler-failed")
        logs.write_error(
            "peers.handler_failed", error=reason.value, message_kind=type(message).__name__
        )

    def _refuse(self, route: bytes, frame: frames.Frame) -> None:
        if frame.kind == frames.Kind.CALL:
            self._answer(route, frame, frames.Kind.REFUSAL)

    def _answer(
        self,
        route: bytes,
        frame: frames.Frame,
        kind: frames.Kind,
        message: messages.Message | None = None,
    ) -> None:
        """Send by the connection that the peer was last heard on."""
        data = self._encode(kind, frame.correlation, message)
        newest = route if kind == frames.Kind.PONG else self._routes.get(frame.sender, route)
        if data is None or self._router is None:
            self._on_fault("reply-too-large")
        elif self._router.offer([newest, data]):
            self._on_bytes("out", len(data))
        else:
            self._on_fault("reply-dropped")
