"""Rate at which queued requests are sent, for estimates of their wait."""

from __future__ import annotations

MEMORY_S = 1.0


class Drain:
    """Sends a second, with an exponential memory."""

    __slots__ = ("_rate", "_sent", "_rolled_at")

    def __init__(self) -> None:
        self._rate = 0.0
        self._sent = 0
        self._rolled_at = 0.0

    @property
    def rate(self) -> float:
        """Sends a second."""
        return self._rate

    def sent(self) -> None:
        """Count one."""
        self._sent += 1

    def roll(self, *, now: float) -> None:
        """Take in what was sent since the last call."""
        elapsed = now - self._rolled_at
        if elapsed <= 0:
            return
        weight = min(1.0, elapsed / MEMORY_S)
        self._rate += weight * (self._sent / elapsed - self._rate)
        self._sent = 0
        self._rolled_at = now

    def wait_s(self, *, queued: int) -> float:
        """Time in which `queued` requests are sent, seconds."""
        if not queued:
            return 0.0
        return queued / max(self._rate, 1.0)
