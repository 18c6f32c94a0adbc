"""Counts of the calls that an entry makes to the platform, by kind of call."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping


@dataclasses.dataclass(slots=True, kw_only=True)
class CallCounts:
    """Calls of one kind since the start of the process.

    Attributes:
        begun: Calls that were begun; those without an outcome yet are in progress.
        answered: Calls with a complete response, whatever its status.
        failed: Calls without a complete response, other than those that timed out.
        timed_out: Calls that had no complete response or no connection in time.
        cancelled: Calls whose caller no longer waited.
        bytes_sent: Bytes of requests, with headers.
        bytes_received: Bytes of responses, with headers, also of incomplete ones.
    """

    begun: int = 0
    answered: int = 0
    failed: int = 0
    timed_out: int = 0
    cancelled: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0

    @property
    def in_progress(self) -> int:
        """Calls without an outcome yet."""
        return self.begun - self.answered - self.failed - self.timed_out - self.cancelled


CallSource = Callable[[], Mapping[str, CallCounts]]
"""Returns the counts by kind of call."""


def no_calls() -> Mapping[str, CallCounts]:
    """Returns the counts of an entry whose calls are not counted."""
    return {}


def link_bytes(counts: Mapping[str, CallCounts]) -> int:
    """Returns the bytes of all calls in the busier direction of the link."""
    sent = sum(kind.bytes_sent for kind in counts.values())
    received = sum(kind.bytes_received for kind in counts.values())
    return max(sent, received)
