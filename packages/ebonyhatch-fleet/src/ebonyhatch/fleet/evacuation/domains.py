"""Failure domains that operators have requested to evacuate, and those that are known to exist."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

MAX_ENDED = 256
"""Maximum number of domains whose return to service is remembered; the oldest are forgotten first."""


class Domains:
    """Requests by failure domain, each with the store revision of its key; no I/O.

    A request may name a domain before any of its targets is listed; it takes effect on them once
    they are. The domains of one process are shared by its terms as the owner.
    """

    def __init__(self) -> None:
        self._revisions: dict[str, int] = {}
        self._known: set[str] = set()
        self._ended_at: dict[str, float] = {}

    @property
    def requested(self) -> Mapping[str, int]:
        """Store revision of each request, by the name of its domain."""
        return self._revisions

    def is_known(self, domain: str) -> bool:
        """Returns whether a target of a domain was listed since this process started."""
        return domain in self._known

    def add_known(self, domain: str) -> None:
        """Records that a target of a domain is listed."""
        self._known.add(domain)

    def request(self, domain: str, *, revision: int) -> None:
        """Applies a request; one that is older than the known one changes nothing."""
        self._revisions[domain] = max(revision, self._revisions.get(domain, 0))

    def ended_at(self, domain: str) -> float:
        """Returns the time at which the last request ended, seconds; 0 if that is unknown."""
        return self._ended_at.get(domain, 0.0)

    def end(self, domain: str, *, revision: int, now: float) -> None:
        """Ends a request whose key was removed, unless it was made after the removal."""
        if self._revisions.get(domain, revision + 1) > revision:
            return
        del self._revisions[domain]
        self._ended_at.pop(domain, None)
        self._ended_at[domain] = now
        if len(self._ended_at) > MAX_ENDED:
            del self._ended_at[next(iter(self._ended_at))]

    def end_all_except(self, present: Iterable[str], *, as_of: int, now: float) -> None:
        """Ends the requests whose keys a listing as of a revision doesn't hold."""
        kept = set(present)
        for domain in [domain for domain in self._revisions if domain not in kept]:
            self.end(domain, revision=as_of, now=now)
