"""Leases of runs: what targets grant, what an owner requests, and how long a new owner waits for them."""

from __future__ import annotations

from ebonyhatch.fleet import known_targets, rows, target_session

MAX_REQUESTED_S = 6.0
"""Longest lease that an owner requests for runs, seconds, also where targets grant longer ones. A task
that lasts has to run again within 9 s of the end of its last run, and until the lease has ended nobody
knows whether a run on a target that doesn't answer goes on. Shorter leases end while the owner changes."""


def requested_s(granted_s: float) -> float:
    """Returns the lease that an owner requests where targets grant at most `granted_s` seconds."""
    return min(granted_s, MAX_REQUESTED_S)


class Leases:
    """Lengths of the leases that are to be expected in one term."""

    __slots__ = ("_began_at", "_former_s", "_granted_s")

    def __init__(self, *, granted_s: float, former_s: float, began_at: float) -> None:
        """Creates the lengths for a term.

        Args:
            granted_s: Longest lease that targets grant, seconds.
            former_s: Longest lease that owners before this term may have requested, seconds; 0 if
                that isn't known.
            began_at: Beginning of the term, seconds on the clock that counts suspensions.
        """
        self._granted_s = granted_s
        self._former_s = min(former_s, granted_s) if former_s else granted_s
        self._began_at = began_at

    @property
    def granted_s(self) -> float:
        """Longest lease that targets grant, seconds.

        A call that crosses a target's restart gets it, as its deadline is a time on the clock of the
        former incarnation.
        """
        return self._granted_s

    @property
    def requested_s(self) -> float:
        """Lease that this owner requests, seconds."""
        return requested_s(self._granted_s)

    def longest_s(self, *, at: float) -> float:
        """Returns the longest lease that may be in force, of any owner, for the next owner."""
        if at < self._began_at + target_session.lease_expiry_s(self._former_s):
            return max(self._former_s, self.requested_s)
        return self.requested_s

    def inherited_end(
        self,
        row: rows.TargetRow,
        records: known_targets.KnownTargets | None,
        *,
        renewed_until: float,
    ) -> float:
        """Returns the time at which every lease of a target that no report renewed has ended.

        Args:
            row: The target.
            records: Records of the former owner, who ordered nothing on targets without one; None
                before they are read.
            renewed_until: Last time at which a former owner may have renewed a lease there, seconds
                on the clock that counts suspensions.
        """
        longest_s = self._granted_s
        if records is not None:
            known = records.get(row.target_id)
            if known is None or (known.target.born == row.target.born and not known.restarted):
                longest_s = self._former_s
        return renewed_until + target_session.lease_expiry_s(longest_s)
