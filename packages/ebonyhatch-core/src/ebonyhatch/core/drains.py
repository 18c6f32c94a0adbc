"""Rate at which queued requests are sent, for estimates of their waiting time."""

from __future__ import annotations

AVERAGING_S = 1.0
"""Time over which the rate is averaged, seconds."""


class SendRate:
    """Sends per second, as an exponentially weighted average."""

    __slots__ = ("_rate", "_sent", "_updated_at")

    def __init__(self) -> None:
        self._rate = 0.0
        self._sent = 0
        self._updated_at = 0.0

    @property
    def rate(self) -> float:
        """Sends per second."""
        return self._rate

    def record_send(self) -> None:
        """Counts one send."""
        self._sent += 1

    def update(self, *, now: float) -> None:
        """Updates the rate with the sends since the last call."""
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return
        weight = min(1.0, elapsed / AVERAGING_S)
        self._rate += weight * (self._sent / elapsed - self._rate)
        self._sent = 0
        self._updated_at = now

    def estimate_wait_s(self, *, queued: int) -> float:
        """Returns the time in which `queued` requests are sent, seconds."""
        if not queued:
            return 0.0
        return queued / max(self._rate, 1.0)
