"""Record of the targets that the owner has sessions with, for the next owner."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable, Mapping

import msgspec
from ebonyhatch.fleet import decision_log, decoding, rows, targets

GROUPS = 64
"""Number of groups of targets with a record each; a few targets a record at today's sizes, and about
20 kB at 3,300 targets."""


class KnownTarget(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A target of the last owner.

    Attributes:
        target: Registration of the target.
        takes_runs: Whether the owner may have ordered runs there since this record was written.
        tasks: Tasks that may still run there; only given for a target that takes no runs.
        restarted: Whether the target restarted so recently that a lease may be in force which is
            longer than the owner requests.
    """

    target: targets.Target
    takes_runs: bool
    tasks: tuple[str, ...] = ()
    restarted: bool = False


KnownTargets = dict[str, KnownTarget]


def describe(row: rows.TargetRow, *, recorded: KnownTarget | None = None) -> KnownTarget:
    """Returns the record of a target in the state that its owner knows.

    This is the one that was recorded last if nothing changed, which makes comparing them cheap. A
    target that this owner hasn't heard from has the tasks that the former owner recorded, as nothing
    was ordered there since.
    """
    target, restarted = row.target, row.recently_restarted
    if _is_usable(row):
        unchanged = (
            recorded is not None
            and recorded.target is target
            and recorded.takes_runs
            and not recorded.tasks
            and recorded.restarted == restarted
        )
        if recorded is not None and unchanged:
            return recorded
        return KnownTarget(target=target, takes_runs=True, restarted=restarted)
    if recorded is not None and not recorded.takes_runs and not row.last_report_at:
        restarted = restarted or recorded.restarted
        return msgspec.structs.replace(recorded, target=target, restarted=restarted)
    tasks = tuple(sorted({key.task for key in row.runs}))
    return KnownTarget(
        target=target, takes_runs=not row.confirmed, tasks=tasks, restarted=restarted
    )


def group_of(target_id: str) -> int:
    """Returns the number of the group in whose record a target is stored."""
    return zlib.crc32(target_id.encode()) % GROUPS


def encode(known: KnownTargets) -> bytes:
    """Returns the encoded record of a group of targets."""
    return msgspec.json.encode(known)


def decode_groups(values: Iterable[bytes]) -> KnownTargets:
    """Returns the targets of all groups; an unreadable record is logged and left out."""
    known: KnownTargets = {}
    for value in values:
        try:
            known.update(decoding.decode(value, KnownTargets))
        except decoding.UnreadableError as error:
            decision_log.write("record.unreadable", kind="KnownTargets", reason=str(error))
    return known


def merge(grouped: KnownTargets, former: KnownTargets) -> KnownTargets:
    """Returns the targets of both kinds of record, for a fleet that is being updated.

    It isn't known which kind the last owner wrote. So a target may take runs if either record says
    so, and otherwise has the tasks of both.
    """
    merged = former | grouped
    for name in grouped.keys() & former.keys():
        takes_runs = grouped[name].takes_runs or former[name].takes_runs
        tasks = () if takes_runs else {*grouped[name].tasks, *former[name].tasks}
        newer = max(grouped[name].target, former[name].target, key=lambda target: target.born)
        merged[name] = KnownTarget(
            target=newer,
            takes_runs=takes_runs,
            tasks=tuple(sorted(tasks)),
            restarted=grouped[name].restarted or former[name].restarted,
        )
    return merged


class Records:
    """The stored records of known targets; only groups that changed are written again.

    One record of all targets would grow with their number, and any change of one target would
    write it whole. Only targets that were marked are described anew.
    """

    def __init__(self) -> None:
        self._stored: dict[int, KnownTargets] = {}
        self._present: dict[int, KnownTargets] = {}
        self._targets: KnownTargets = {}
        self._marked: set[str] = set()
        self._differing: set[int] = set()

    @property
    def targets(self) -> KnownTargets:
        """Targets as in the records that were taken for writing last."""
        return self._targets

    def restore(self, known: KnownTargets) -> None:
        """Starts from the records that an earlier owner stored."""
        self._stored = {}
        for name, target in known.items():
            self._stored.setdefault(group_of(name), {})[name] = target
        self._targets = dict(known)
        self._differing.update(self._stored)

    def mark(self, target_id: str) -> None:
        """Marks a target whose registration or state may have changed.

        One that can't be used stays marked until it can or its session is closed.
        """
        self._marked.add(target_id)

    def changed(self, row_of: Callable[[str], rows.TargetRow | None]) -> Mapping[int, KnownTargets]:
        """Returns the groups that differ from the stored ones; a group may have become empty.

        Args:
            row_of: Returns the row of a target; None if the owner has no session with it.
        """
        for name in list(self._marked):
            row = row_of(name)
            self._describe(name, row)
            if row is None or _is_usable(row):
                self._marked.discard(name)
        groups = {number: self._present.get(number, {}) for number in self._differing}
        changed = {n: group for n, group in groups.items() if self._stored.get(n, {}) != group}
        self._differing.intersection_update(changed)
        return changed

    def take(self, changed: Mapping[int, KnownTargets]) -> None:
        """Records groups as taken for writing."""
        for number, group in changed.items():
            for name in self._stored.get(number, ()):
                self._targets.pop(name, None)
            self._targets.update(group)
            self._stored[number] = dict(group)

    def _describe(self, name: str, row: rows.TargetRow | None) -> None:
        number = group_of(name)
        group = self._present.setdefault(number, {})
        if row is None:
            group.pop(name, None)
        else:
            group[name] = describe(row, recorded=self._targets.get(name))
        self._differing.add(number)


def _is_usable(row: rows.TargetRow) -> bool:
    """Returns whether a record doesn't list the target's tasks, which change without a mark."""
    return row.confirmed and row.reachable and row.listed and not row.target.draining
