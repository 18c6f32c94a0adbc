"""Connection to one peer: a DEALER that is replaced when the peer stops answering on it."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from ebonyhatch.node import frames, keys, peer_sockets

RESPONSE_TIMEOUT_S = 3.0
"""Time without an answer after which a connection is replaced, seconds."""

PINGS_PER_TIMEOUT = 3
"""Number of ping intervals in one response timeout.

A connection is replaced when its pings stay unanswered for the response timeout.
"""

MAX_BACKOFF = 8
"""Maximum time before the next replacement for a peer that is down, in response timeouts."""

ON_DEMAND_IDLE_S = 10.0
"""Time without a message of its own after which a connection opened on demand is closed, seconds."""

IDLE_FACTOR_NEAR = 1.5
IDLE_FACTOR_FAR = 30
"""Time without a frame after which a near or far peer is pinged, in ping intervals."""


class PeerAddress(msgspec.Struct, frozen=True, kw_only=True):
    """Address on which a peer listens.

    Attributes:
        entry_id: Entry id of the peer.
        host: IP address.
        port: TCP port.
        near: Whether the peer is in the same region; near peers receive frequent messages and
            are pinged after a shorter time without a frame, by default 1.5 s rather than 30 s.
    """

    entry_id: str
    host: str
    port: int
    near: bool = True


class PeerLink:
    """Sends to one peer and detects a dead connection.

    A ping is sent after a time without received frames, and along with a call; any frame that
    returns on the same connection confirms it. A connection whose state a device between the
    two ends has dropped would stay open for ever, so a connection on which a ping stays
    unanswered is replaced by a new one, which gets twice the time.

    A link that is opened on demand queues frames until it is connected, and isn't pinged while it is
    idle.
    """

    __slots__ = (
        "_address",
        "_awaiting_since",
        "_backoff",
        "_clock",
        "_confirmed",
        "_dealer",
        "_factory",
        "_kept",
        "_max_idle_s",
        "_on_frame",
        "_ping",
        "_ping_s",
        "_received_at",
        "_response_timeout_s",
        "_ring",
        "_unanswered_since",
        "_used_at",
    )

    def __init__(
        self,
        *,
        factory: peer_sockets.PeerFactory,
        clock: Callable[[], float],
        address: PeerAddress,
        sender: str,
        ring: keys.KeyRing | None,
        response_timeout_s: float,
        on_frame: Callable[[bytes], bool],
        kept: bool = True,
    ) -> None:
        """Initializes the link.

        Args:
            factory: Context of the sockets.
            clock: Returns the monotonic time, seconds.
            address: Address of the peer.
            sender: Entry id of this entry.
            ring: CURVE keys, or None for a connection without keys.
            response_timeout_s: Time without an answer after which a connection is replaced,
                seconds.
            on_frame: Receives each frame; returns whether it is valid.
            kept: Whether the connection is kept open while it is idle.
        """
        self._factory = factory
        self._clock = clock
        self._address = address
        self._ring = ring
        self._response_timeout_s = response_timeout_s
        self._on_frame = on_frame
        self._kept = kept
        self._used_at = clock()
        self._ping = frames.encode(kind=frames.Kind.PING, sender=sender)
        self._dealer: peer_sockets.Dealer | None = None
        self._received_at: float | None = None
        self._awaiting_since: float | None = None
        self._confirmed = False
        self._backoff = 1
        self._unanswered_since: float | None = None
        ping_s = response_timeout_s / PINGS_PER_TIMEOUT
        self._ping_s = ping_s
        self._max_idle_s = ping_s * (IDLE_FACTOR_NEAR if address.near else IDLE_FACTOR_FAR)

    @property
    def address(self) -> PeerAddress:
        """Address on which the peer listens."""
        return self._address

    @property
    def expired(self) -> bool:
        """Whether the connection was opened on demand and is no longer used."""
        return not self._kept and self._clock() - self._used_at > ON_DEMAND_IDLE_S

    @property
    def usable(self) -> bool:
        """Whether the connection has no answer outstanding for longer than the timeout."""
        return self._awaiting_s <= self._response_timeout_s

    @property
    def unresponsive(self) -> bool:
        """Whether the peer has left probes unanswered for the response timeout.

        Replacing the connection does not restart this time.
        """
        since = self._unanswered_since
        return since is not None and self._clock() - since > self._response_timeout_s

    @property
    def should_probe(self) -> bool:
        """Whether a frame sent now should request an answer, to confirm the connection."""
        return self._awaiting_since is None and self._since_received_s > self._ping_s / 2

    @property
    def _awaiting_s(self) -> float:
        since = self._awaiting_since
        return 0.0 if since is None else self._clock() - since

    @property
    def _since_received_s(self) -> float:
        return self._clock() - (self._received_at or 0.0)

    def start(self) -> None:
        """Opens the connection."""
        self._open()

    def close(self) -> None:
        """Closes the connection."""
        if self._dealer is not None:
            self._dealer.shutdown()
            self._dealer = None

    def keep(self, kept: bool) -> None:
        """Sets whether the connection is kept open while it is idle."""
        self._kept = kept

    def send(self, frame: bytes) -> bool:
        """Queues a frame; returns False when nothing was queued."""
        self._used_at = self._clock()
        return self._queue(frame)

    def call(self, frame: bytes) -> bool:
        """Queues a frame that will be answered; returns False when nothing was queued."""
        if not self.send(frame):
            return False
        if self.should_probe:
            self._probe()
        return True

    def record_probe(self) -> None:
        """Records that a frame that requests a pong was sent."""
        if self._awaiting_since is None:
            self._awaiting_since = self._clock()
        if self._unanswered_since is None:
            self._unanswered_since = self._clock()

    def check_liveness(self) -> bool:
        """Sends a due ping, or replaces an unresponsive connection and returns True."""
        if self._awaiting_s > self._backoff * self._response_timeout_s:
            self._replace()
            return True
        if not self._confirmed or (self._kept and self._since_received_s >= self._max_idle_s):
            self._probe()
        return False

    def _queue(self, frame: bytes) -> bool:
        return self._dealer is not None and self._dealer.try_send([frame])

    def _probe(self) -> None:
        self._queue(self._ping)
        self.record_probe()

    def _replace(self) -> None:
        self.close()
        self._backoff = min(2 * self._backoff, MAX_BACKOFF)
        self._open()

    def _open(self) -> None:
        dealer = peer_sockets.Dealer(
            factory=self._factory, on_frame=self._received, queues_unconnected=not self._kept
        )
        if self._ring is not None:
            public = self._ring.peers[self._address.entry_id]
            dealer.secure(pair=self._ring.pair, peer_public=public)
        dealer.connect(host=self._address.host, port=self._address.port)
        self._dealer = dealer
        self._awaiting_since = None
        self._confirmed = False
        self.record_probe()

    def _received(self, frame: bytes) -> None:
        if self._on_frame(frame):
            self._received_at = self._clock()
            self._awaiting_since = None
            self._unanswered_since = None
            self._confirmed = True
            self._backoff = 1
