"""The way to one peer: a DEALER that is replaced when the peer goes silent on it."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from ebonyhatch.node import frames, keys, peer_sockets

SILENCE_S = 3.0
"""Silence after which a connection is replaced, seconds."""

PINGS_IN_SILENCE = 3
"""Pings that must stay unanswered before a connection is replaced."""

BACKOFF_LIMIT = 8
"""Most times the silence that a peer that is down is given before the next replacement."""


IDLE_FACTOR_NEAR = 1.5
IDLE_FACTOR_FAR = 30
"""Time without a word after which a peer is pinged, in times between pings."""


class PeerAddress(msgspec.Struct, frozen=True, kw_only=True):
    """Where a peer listens.

    Attributes:
        entry_id: Its name.
        host: IP number.
        port: TCP port.
        near: It is in the same region, is sent to often and is pinged every second.
    """

    entry_id: str
    host: str
    port: int
    near: bool = True


class PeerLink:
    """Sends to one peer and finds out when the connection is dead.

    A ping is sent when nothing was heard for a while, and along with a call; whatever comes
    back on the same connection proves it. A connection that something between the two ends
    has forgotten stays open for ever, so that silence after a ping ends it: a new one is
    opened, and is given twice the time.
    """

    __slots__ = (
        "_address",
        "_awaiting_since",
        "_backoff",
        "_clock",
        "_dealer",
        "_factory",
        "_heard_at",
        "_idle_s",
        "_on_frame",
        "_ping",
        "_ping_s",
        "_proven",
        "_ring",
        "_silent_from",
        "_silence_s",
    )

    def __init__(
        self,
        *,
        factory: peer_sockets.PeerFactory,
        clock: Callable[[], float],
        address: PeerAddress,
        sender: str,
        ring: keys.KeyRing | None,
        silence_s: float,
        on_frame: Callable[[bytes], bool],
    ) -> None:
        """Prepare; `on_frame` tells whether a frame could be read."""
        self._factory = factory
        self._clock = clock
        self._address = address
        self._ring = ring
        self._silence_s = silence_s
        self._on_frame = on_frame
        self._ping = frames.encode(kind=frames.Kind.PING, sender=sender)
        self._dealer: peer_sockets.Dealer | None = None
        self._heard_at: float | None = None
        self._awaiting_since: float | None = None
        self._proven = False
        self._backoff = 1
        self._silent_from: float | None = None
        ping_s = silence_s / PINGS_IN_SILENCE
        self._ping_s = ping_s
        self._idle_s = ping_s * (IDLE_FACTOR_NEAR if address.near else IDLE_FACTOR_FAR)

    @property
    def address(self) -> PeerAddress:
        """Where the peer listens."""
        return self._address

    @property
    def usable(self) -> bool:
        """Whether the connection is new or doesn't owe an answer for the time of silence."""
        return self._owed_s <= self._silence_s

    @property
    def silent(self) -> bool:
        """Whether the peer has owed an answer for the time of silence, on any connection."""
        since = self._silent_from
        return since is not None and self._clock() - since > self._silence_s

    @property
    def wants_answer(self) -> bool:
        """Whether a frame that is sent now should be answered, to prove the connection."""
        return self._awaiting_since is None and self._unheard_s > self._ping_s / 2

    @property
    def _owed_s(self) -> float:
        since = self._awaiting_since
        return 0.0 if since is None else self._clock() - since

    @property
    def _unheard_s(self) -> float:
        return self._clock() - (self._heard_at or 0.0)

    def start(self) -> None:
        """Open the connection."""
        self._open()

    def close(self) -> None:
        """Close the connection."""
        if self._dealer is not None:
            self._dealer.shutdown()
            self._dealer = None

    def send(self, frame: bytes) -> bool:
        """Queue a frame; False when nothing was queued."""
        return self._dealer is not None and self._dealer.offer([frame])

    def call(self, frame: bytes) -> bool:
        """Queue a frame that will be answered; False when nothing was queued."""
        if not self.send(frame):
            return False
        if self.wants_answer:
            self._probe()
        return True

    def note_probe(self) -> None:
        """Expect a pong to a frame that asked for one."""
        if self._awaiting_since is None:
            self._awaiting_since = self._clock()
        if self._silent_from is None:
            self._silent_from = self._clock()

    def beat(self) -> bool:
        """Ping when one is due, or replace a silent connection; tells whether it was replaced."""
        if self._owed_s > self._backoff * self._silence_s:
            self._replace()
            return True
        if not self._proven or self._unheard_s >= self._idle_s:
            self._probe()
        return False

    def _probe(self) -> None:
        self.send(self._ping)
        self.note_probe()

    def _replace(self) -> None:
        self.close()
        self._backoff = min(2 * self._backoff, BACKOFF_LIMIT)
        self._open()

    def _open(self) -> None:
        dealer = peer_sockets.Dealer(factory=self._factory, on_frame=self._received)
        if self._ring is not None:
            public = self._ring.peers[self._address.entry_id]
            dealer.secure(pair=self._ring.pair, peer_public=public)
        dealer.connect(host=self._address.host, port=self._address.port)
        self._dealer = dealer
        self._awaiting_since = None
        self._proven = False
        self.note_probe()

    def _received(self, frame: bytes) -> None:
        if self._on_frame(frame):
            self._heard_at = self._clock()
            self._awaiting_since = None
            self._silent_from = None
            self._proven = True
            self._backoff = 1
