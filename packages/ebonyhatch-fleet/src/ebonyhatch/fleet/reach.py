"""Whether an owner without a valid lease still reaches the targets that it reached before.

An owner that is cut off from the store together with some targets must not renew their leases: the
next owner takes runs on targets that it can't reach as ended once the leases which were valid at
its takeover have expired. In an outage of the store alone nothing changes for the targets.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ebonyhatch.fleet import clocks, poll_pace, target_session

MIN_ANSWERING_FRACTION = 0.8
"""Fraction of the targets reached before the end of the lease that have to answer after it. With
fewer the owner may be cut off with them, while another entry takes over and reaches the rest."""

ANSWER_AGE_S = target_session.POLL_WAIT_S + poll_pace.MAX_PAUSE_S + 1.0
"""Longest time between two answers of a target that is reached, seconds: a poll, the pause after it,
and a second for the call."""

COUNT_INTERVAL_S = 0.1
"""Minimum time between two counts of the answering targets, seconds."""

Sessions = Callable[[], Iterable[target_session.TargetSession]]
"""Returns the sessions with all targets."""


class Reach:
    """Counts the targets that answer an owner whose lease has ended."""

    def __init__(
        self, *, all_clocks: clocks.Clocks, sessions: Sessions, lease_ttl_s: float
    ) -> None:
        """Creates a count.

        Args:
            all_clocks: Clocks of the process.
            sessions: Returns the sessions with all targets.
            lease_ttl_s: Duration of this entry's lease, seconds: a cut may be that old when the lease
                ends.
        """
        self._clocks = all_clocks
        self._sessions = sessions
        self._lease_ttl_s = lease_ttl_s
        self._valid_at = all_clocks.now()
        self._lease_ended_at: float | None = None
        self._reached_before: list[target_session.TargetSession] = []
        self._counted_at = 0.0
        self._suffices = False

    def suffices(self, *, lease_valid: bool) -> bool:
        """Returns whether leases of targets may be renewed, and runs ordered."""
        now = self._clocks.now()
        if lease_valid:
            self._valid_at = now
            self._lease_ended_at = None
            return True
        if self._lease_ended_at is None:
            self._lease_ended_at = now
            # The end may have been noticed late.
            since = self._valid_at - self._lease_ttl_s - ANSWER_AGE_S
            self._reached_before = self._answered_since(self._sessions(), since)
            self._suffices = False
        if now - self._counted_at >= COUNT_INTERVAL_S:
            self._counted_at = now
            since = max(self._lease_ended_at, now - ANSWER_AGE_S)
            answering = self._answered_since(self._reached_before, since)
            self._suffices = bool(answering) and (
                len(answering) >= MIN_ANSWERING_FRACTION * len(self._reached_before)
            )
        return self._suffices

    @staticmethod
    def _answered_since(
        sessions: Iterable[target_session.TargetSession], since: float
    ) -> list[target_session.TargetSession]:
        return [one for one in sessions if one.row.listed and one.answered_at > since]
