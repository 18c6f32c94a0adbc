"""Targets whose leases no owner has renewed since a known term, for the next owner.

A new owner waits for the leases of targets that it can't reach, as a former owner may have renewed
them up to its takeover. A mark in the store shortens that wait: it names the first term from whose
beginning on no owner has renewed the target's lease. Without it the wait would begin anew with each
owner, and never end while owners follow each other.

The record of the marks is written only together with the journal's head: by takeovers, which keep the
marks of the term before, and by the journal of the owner. So an owner knows the marks before its term
begins, and they hold through terms that end before the owner has read anything. An owner neither
renews the lease of a marked target nor applies its reports before a record without the mark is
durable. No run is ordered on a target before a report of it was applied.

A record counts only if the term before confirmed it: an owner of a version without marks leaves it
with an old term.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Container

import msgspec
from ebonyhatch.fleet import clocks, decision_log, decoding, keys, rows, store

MIN_HEARD_FRACTION = 0.5
"""Fraction of the listed targets that must have reported before an owner marks any. A former owner
that is cut off from the store renews leases as long as `reach.MIN_ANSWERING_FRACTION` of its targets
answer, and is stopped by the first that has received a later fencing token."""

HEARD_WITHIN_S = 2.0
"""Time from the beginning of a term within which that fraction must have reported for a mark from that
term on, seconds: twice the longest wait of a poll. Otherwise a former owner may have renewed leases
well into the term, and the mark holds from the next one on."""

MAX_RECORD_BYTES = 64_000
"""Largest size of the record, bytes, which takeovers write on the slowest links too: the marks of a
failure domain of 1,100 targets, a third of 3,300. Leases of further targets are waited for anew."""

MARK_BYTES = 16
"""Size of a mark in the record beside the target's id, bytes."""

MAX_TERMS = 256
"""Number of terms whose beginnings an entry remembers. With a new owner each second, that is many
times the length of a lease."""


class Marks(msgspec.Struct, frozen=True, kw_only=True):
    """The stored marks.

    Attributes:
        term: Last term whose owner keeps to them.
        since: First term from whose beginning on no owner renewed the lease, by target id.
    """

    term: int
    since: dict[str, int]


def confirmed(item: store.Item | None, *, term: int) -> dict[str, int]:
    """Returns the marks of a record if the owner of a term kept to them, else none."""
    if item is None:
        return {}
    try:
        marks = decoding.decode(item.value, Marks)
    except decoding.UnreadableError as error:
        decision_log.write("record.unreadable", kind="Marks", reason=str(error))
        return {}
    return marks.since if marks.term == term else {}


def put(since: dict[str, int], *, term: int) -> store.Put:
    """Returns the write of a record."""
    return store.Put(
        key=keys.SILENT_TARGETS, value=msgspec.json.encode(Marks(term=term, since=since))
    )


class TermBeginnings:
    """When an entry first saw each term, by the clock that counts suspensions.

    A term is seen when it has begun, or later.
    """

    def __init__(self) -> None:
        self._seen_at: dict[int, float] = {}

    def note(self, term: int, *, at: float) -> None:
        """Notes that a term is seen."""
        if self._seen_at and term < max(self._seen_at):
            # The store may have lost its state, and terms begin anew.
            self._seen_at.clear()
        self._seen_at.setdefault(term, at)
        if len(self._seen_at) > MAX_TERMS:
            del self._seen_at[min(self._seen_at)]

    def begun_by(self, term: int) -> float:
        """Returns a time by which a term had begun, seconds; infinite if no such time is known.

        A later term that was seen shows it too.
        """
        return min((at for seen, at in self._seen_at.items() if seen >= term), default=float("inf"))


class SilentTargets:
    """The marks in one term of the owner."""

    def __init__(
        self,
        *,
        term: int,
        inherited: dict[str, int],
        beginnings: TermBeginnings,
        all_clocks: clocks.Clocks,
        listed: Callable[[], Collection[str]],
        request_write: Callable[[], None],
    ) -> None:
        """Creates the marks of a term that begins now.

        Args:
            term: The term.
            inherited: Marks of the stored record, as the takeover confirmed it.
            beginnings: When this entry first saw each term.
            all_clocks: Clocks of the process.
            listed: Returns the listed targets.
            request_write: Requests a write of the journal.
        """
        self._term = term
        self._clocks = all_clocks
        self._began_at = all_clocks.boottime()
        self._beginnings = beginnings
        self._listed = listed
        self._request_write = request_write
        self._stored = dict(inherited)
        self._pending: dict[str, int] | None = None
        self._wanted = dict(inherited)
        self._unreached: dict[str, None] = {}
        self._heard: set[str] = set()
        self._since: int | None = None

    def renewed_until(self, target_id: str) -> float:
        """Returns the last time at which a former owner may have renewed a lease, seconds.

        The time is one on the clock that counts suspensions.
        """
        if target_id in self._heard or target_id not in self._stored:
            return self._began_at
        return min(self._began_at, self._beginnings.begun_by(self._stored[target_id]))

    def may_renew(self, target_id: str) -> bool:
        """Returns whether the lease of a target that has reported may be renewed.

        The first call for a marked target requests a record without its mark.
        """
        if target_id not in self._heard:
            self._note_heard(target_id)
        return not self._is_marked(target_id)

    def note_reachability(self, row: rows.TargetRow) -> None:
        """Notes a target that doesn't answer; it is marked if it hasn't reported in this term."""
        name = row.target_id
        if not row.reachable and name not in self._heard and name not in self._wanted:
            self._unreached[name] = None
            self._request_write()

    def collect(self, *, present: Container[str] | None) -> list[store.Put]:
        """Returns the record if it has to be written.

        No other record may be collected before the write is durable and `confirm` is called.

        Args:
            present: Targets that the owner has sessions with; None before it knows all.
        """
        if self._since is not None:
            self._wanted.update(dict.fromkeys(self._unreached, self._since))
            self._unreached.clear()
        if present is not None:
            self._wanted = {name: term for name, term in self._wanted.items() if name in present}
        marks = _within_size(self._wanted)
        if self._pending is not None or marks == self._stored:
            return []
        self._pending = marks
        decision_log.write("targets.silent", term=self._term, marked=len(marks))
        return [put(marks, term=self._term)]

    def confirm(self) -> set[str]:
        """Notes that the collected record is durable; returns the targets that it releases."""
        if self._pending is None:
            return set()
        released = self._stored.keys() - self._pending.keys()
        self._stored, self._pending = self._pending, None
        return released

    def _is_marked(self, target_id: str) -> bool:
        """Returns whether the stored record may hold a mark of a target."""
        return target_id in self._stored or (
            self._pending is not None and target_id in self._pending
        )

    def _note_heard(self, target_id: str) -> None:
        self._heard.add(target_id)
        self._unreached.pop(target_id, None)
        self._wanted.pop(target_id, None)
        if self._is_marked(target_id):
            self._request_write()
        enough = len(self._heard) >= MIN_HEARD_FRACTION * len(self._listed())
        if self._since is None and enough:
            late = self._clocks.boottime() - self._began_at > HEARD_WITHIN_S
            self._since = self._term + late
            if self._unreached:
                self._request_write()


def _within_size(marks: dict[str, int]) -> dict[str, int]:
    """Returns the first marks that fit into the record."""
    size_bytes = 0
    fitting: dict[str, int] = {}
    for name, term in marks.items():
        size_bytes += len(name.encode()) + MARK_BYTES
        if size_bytes > MAX_RECORD_BYTES:
            break
        fitting[name] = term
    return fitting
