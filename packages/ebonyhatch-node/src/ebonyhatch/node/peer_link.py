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


class PeerAddress(msgspec.Struct, frozen=True, kw_only=True):
    """Where a peer listens."""

    entry_id: str
    host: str
    port: int


class PeerLink:
    """Sends to one peer and finds out when the connection is dead.

    Pings go out at a third of the silence that is borne; whatever comes back on the same
    connection proves it. A connection that something between the two ends has forgotten stays
    open for ever, so that silence ends it: a new one is opened, and is given twice the time.
    """

    __slots__ = (
        "_address",
        "_backoff",
        "_clock",
        "_dealer",
        "_factory",
        "_heard_at",
        "_on_frame",
        "_opened_at",
        "_ping",
        "_pinged_at",
        "_ring",
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
        self._opened_at = 0.0
        self._pinged_at = 0.0
        self._backoff = 1

    @property
    def address(self) -> PeerAddress:
        """Where the peer listens."""
        return self._address

    @property
    def usable(self) -> bool:
        """Whether the connection is new or was heard within the time of silence."""
        return self._quiet_s <= self._silence_s

    @property
    def _quiet_s(self) -> float:
        return self._clock() - max(self._opened_at, self._heard_at or 0.0)

    @property
    def _proven(self) -> bool:
        return self._heard_at is not None and self._heard_at >= self._opened_at

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

    def beat(self) -> bool:
        """Ping when one is due, or replace a silent connection; tells whether it was replaced."""
        if self._quiet_s > self._backoff * self._silence_s:
            self._replace()
            return True
        due_s = self._silence_s / PINGS_IN_SILENCE if self._proven else 0.0
        if self._clock() - self._pinged_at >= due_s and self.send(self._ping):
            self._pinged_at = self._clock()
        return False

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
        self._opened_at = self._clock()

    def _received(self, frame: bytes) -> None:
        if self._on_frame(frame):
            self._heard_at = self._clock()
            self._backoff = 1
