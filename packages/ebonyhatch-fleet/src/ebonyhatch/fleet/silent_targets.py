"""Targets whose leases no owner has renewed since a known term, for the next owner.

A new owner waits for the leases of targets that it can't reach, as a former owner may have renewed
them up to its takeover. A mark in the store shortens that wait: it names the first term from whose
beginning on no owner has renewed the target's lease, and how long after its writing any run there
may go on. Without it the wait would begin anew with each owner, and never end while owners follow
each other. The time that is left is written anew while there is any, as the next owner can only
count it from its reading.

The record of the marks is written only together with the journal's head: by takeovers, which keep the
marks of the term before, and by the journal of the owner. So an owner knows the marks before its term
begins, and they hold through terms that end before the owner has read anything. An owner neither
renews the lease of a marked target nor applies its reports before a record without the mark is
durable. No run is ordered on a target before a report of it was applied.

A record counts only if the term before confirmed it: an owner of a version without marks leaves it
with an old term.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Container, Mapping, Sequence

import msgspec
from ebonyhatch.fleet import clocks, decision_log, decoding, keys, rows, store
from ebonyhatch.fleet.takeover import lost_targets

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

REFRESH_S = 0.5
"""Time between two writes of the remaining times, seconds. The next owner counts what is left from
its reading, which is later by as much and by the time of the takeover."""

UNKNOWN_MS = -1
"""Remaining time of a mark that doesn't tell it."""

MAX_TERMS = 256
"""Number of terms whose beginnings an entry remembers. With a new owner each second, that is many
times the length of a lease."""


class Marks(msgspec.Struct, frozen=True, kw_only=True):
    """The stored marks.

    Attributes:
        term: Last term whose owner keeps to them.
        since: First term from whose beginning on no owner renewed the lease, by target id.
        left_ms: Longest time from the making of the record until every run on the target has ended,
            milliseconds, in the order of `since`; `UNKNOWN_MS` where that isn't known. Empty from an
            owner of a version that doesn't tell it.
    """

    term: int
    since: dict[str, int]
    left_ms: tuple[int, ...] = ()


class Inherited(msgspec.Struct, frozen=True, kw_only=True):
    """The marks that an owner inherits.

    Attributes:
        since: As in the record.
        ended_by: Times by which every run on a target has ended, by target id, seconds on the clock
            that counts suspensions; only those that are known.
    """

    since: Mapping[str, int] = {}
    ended_by: Mapping[str, float] = {}


def confirmed(item: store.Item | None, *, term: int, read_at: float) -> Inherited:
    """Returns the marks of a record if the owner of a term kept to them, else none.

    Args:
        item: The record.
        term: The term.
        read_at: Time at which the record was there already, seconds on the clock that counts
            suspensions.
    """
    if item is None:
        return Inherited()
    try:
        marks = decoding.decode(item.value, Marks)
    except decoding.UnreadableError as error:
        decision_log.write("record.unreadable", kind="Marks", reason=str(error))
        return Inherited()
    if marks.term != term:
        return Inherited()
    left_ms = marks.left_ms if len(marks.left_ms) == len(marks.since) else ()
    ended_by = {
        name: read_at + left / 1000
        for name, left in zip(marks.since, left_ms, strict=False)
        if left >= 0
    }
    return Inherited(since=marks.since, ended_by=ended_by)


def put_inherited(inherited: Inherited, *, term: int, at: float) -> store.Put:
    """Returns the write of a takeover, which keeps the marks; `at` is the time of its making."""
    ended_by = inherited.ended_by
    left_ms = [left_until_ms(ended_by.get(name), at=at) for name in inherited.since]
    return put(dict(inherited.since), left_ms, term=term)


def put(since: dict[str, int], left_ms: Sequence[int], *, term: int) -> store.Put:
    """Returns the write of a record."""
    marks = Marks(term=term, since=since, left_ms=tuple(left_ms))
    return store.Put(key=keys.SILENT_TARGETS, value=msgspec.json.encode(marks))


def left_until_ms(ended_by: float | None, *, at: float) -> int:
    """Returns the time from `at` until `ended_by`, milliseconds; `UNKNOWN_MS` without an end."""
    return UNKNOWN_MS if ended_by is None else max(0, math.ceil((ended_by - at) * 1000))


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
        inherited: Inherited,
        beginnings: TermBeginnings,
        all_clocks: clocks.Clocks,
        listed: Callable[[], Collection[str]],
        runs_end_by: Callable[[str], float | None],
        request_write: Callable[[], None],
    ) -> None:
        """Creates the marks of a term that begins now.

        Args:
            term: The term.
            inherited: Marks of the stored record, as the takeover confirmed it.
            beginnings: When this entry first saw each term.
            all_clocks: Clocks of the process.
            listed: Returns the listed targets.
            runs_end_by: Returns the time by which every run on a target has ended if this owner
                renews nothing there from now on, seconds on the clock that counts suspensions; None
                for a target without a session.
            request_write: Requests a write of the journal.
        """
        self._term = term
        self._clocks = all_clocks
        self._began_at = all_clocks.boottime()
        self._beginnings = beginnings
        self._listed = listed
        self._request_write = request_write
        self._runs_end_by = runs_end_by
        self._ended_by = inherited.ended_by
        self._stored = dict(inherited.since)
        self._pending: dict[str, int] | None = None
        self._wanted = dict(inherited.since)
        self._lost = lost_targets.LostTargets(all_clocks=all_clocks)
        self._refresh_at = self._began_at if self._wanted else math.inf
        self._handing_over = False
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

    def ended_by(self, target_id: str) -> float:
        """Returns the time by which every run on a target has ended by a former owner's mark.

        The time is one on the clock that counts suspensions; infinite without such a mark.
        """
        if target_id in self._heard or target_id not in self._stored:
            return math.inf
        return self._ended_by.get(target_id, math.inf)

    def may_renew(self, target_id: str) -> bool:
        """Returns whether the lease of a target that has reported may be renewed.

        The first call for a marked target requests a record without its mark.
        """
        if target_id not in self._heard:
            self._note_heard(target_id)
        return not self._is_marked(target_id)

    def note_reachability(self, row: rows.TargetRow) -> None:
        """Notes whether a target answers.

        One that doesn't is marked: at once if it hasn't reported in this term, else when it is lost.
        """
        name = row.target_id
        if name in self._heard:
            self._lost.note(row)
            if row.reachable and self._wanted.pop(name, None) is not None:
                self._request_write()
            return
        if not row.reachable and name not in self._wanted:
            self._unreached[name] = None
            self._request_write()

    def is_due(self) -> bool:
        """Returns whether a target was lost, or the remaining times have to be written anew."""
        return self._clocks.boottime() >= self._refresh_at or any(
            name not in self._wanted for name in self._lost.lost()
        )

    def prepare_handover(self) -> None:
        """Lets the next write hold all targets that don't answer, with their remaining times."""
        self._handing_over = True
        if self._refresh_at < math.inf:
            self._refresh_at = self._clocks.boottime()

    def collect(self, *, present: Container[str] | None) -> list[store.Put]:
        """Returns the record if it has to be written.

        No other record may be collected before the write is durable and `confirm` is called.

        Args:
            present: Targets that the owner has sessions with; None before it knows all.
        """
        if self._since is not None:
            self._wanted.update(dict.fromkeys(self._unreached, self._since))
            self._unreached.clear()
        for name in self._lost.lost(at_once=self._handing_over):
            self._wanted.setdefault(name, self._term + 1)
        if present is not None:
            self._wanted = {name: term for name, term in self._wanted.items() if name in present}
            self._lost.retain(present)
        marks = _within_size(self._wanted)
        now = self._clocks.boottime()
        if self._pending is not None or (marks == self._stored and now < self._refresh_at):
            return []
        if marks != self._stored:
            decision_log.write("targets.silent", term=self._term, marked=len(marks))
        self._pending = marks
        left_ms = [self._left_ms(name, at=now) for name in marks]
        self._refresh_at = now + REFRESH_S if any(left > 0 for left in left_ms) else math.inf
        return [put(marks, left_ms, term=self._term)]

    def _left_ms(self, target_id: str, *, at: float) -> int:
        """Returns the longest time until every run on a marked target has ended, milliseconds."""
        if target_id in self._heard:
            return left_until_ms(self._runs_end_by(target_id), at=at)
        if self._wanted[target_id] > self._term:
            # A former owner may have renewed the lease until targets that reported had stopped it.
            return UNKNOWN_MS
        ends = [self._runs_end_by(target_id), self._ended_by.get(target_id)]
        return left_until_ms(min((end for end in ends if end is not None), default=None), at=at)

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
