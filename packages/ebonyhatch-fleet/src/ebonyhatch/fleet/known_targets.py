"""Record of the targets that the owner has sessions with, for the next owner."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

import msgspec
from ebonyhatch.fleet import decision_log, rows, targets

GROUPS = 64
"""Number of groups of targets with a record each; a few targets a record at today's sizes, and about
20 kB at 3,300 targets."""


class KnownTarget(msgspec.Struct, frozen=True, kw_only=True):
    """A target of the last owner.

    Attributes:
        target: Registration of the target.
        takes_runs: Whether the owner may have ordered runs there since this record was written.
        tasks: Tasks that may still run there; only given for a target that takes no runs.
    """

    target: targets.Target
    takes_runs: bool
    tasks: tuple[str, ...] = ()


KnownTargets = dict[str, KnownTarget]


def describe(row: rows.TargetRow, *, recorded: KnownTarget | None = None) -> KnownTarget:
    """Returns the record of a target in the state that its owner knows.

    This is the one that was recorded last if nothing changed, which makes comparing them cheap.
    """
    target = row.target
    if row.confirmed and row.reachable and row.listed and not target.draining:
        if recorded is None or recorded.target is not target or not recorded.takes_runs:
            return KnownTarget(target=target, takes_runs=True)
        return KnownTarget(target=target, takes_runs=True) if recorded.tasks else recorded
    tasks = tuple(sorted({key.task for key in row.runs}))
    return KnownTarget(target=row.target, takes_runs=not row.confirmed, tasks=tasks)


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
            known.update(msgspec.json.decode(value, type=KnownTargets))
        except msgspec.DecodeError as error:
            decision_log.write("record.unreadable", kind="KnownTargets", reason=str(error))
    return known


class Records:
    """The stored records of known targets; only groups that changed are written again.

    One record of all targets would grow with their number, and any change of one target would
    write it whole.
    """

    def __init__(self) -> None:
        self._stored: dict[int, KnownTargets] = {}
        self._targets: KnownTargets = {}

    @property
    def targets(self) -> KnownTargets:
        """Targets as in the records that were taken for writing last."""
        return self._targets

    def restore(self, known: KnownTargets) -> None:
        """Starts from the records that an earlier owner stored."""
        self._stored = self._grouped(known)
        self._targets = dict(known)

    def changed(self, known: KnownTargets) -> dict[int, KnownTargets]:
        """Returns the groups that differ from the stored ones; a group may have become empty."""
        groups: dict[int, KnownTargets] = {number: {} for number in self._stored}
        groups.update(self._grouped(known))
        return {n: group for n, group in groups.items() if self._stored.get(n) != group}

    def take(self, changed: dict[int, KnownTargets]) -> None:
        """Records groups as taken for writing."""
        if not changed:
            return
        self._stored.update(changed)
        self._targets = {
            name: known for group in self._stored.values() for name, known in group.items()
        }

    def _grouped(self, known: KnownTargets) -> dict[int, KnownTargets]:
        groups: dict[int, KnownTargets] = {}
        for name, target in known.items():
            groups.setdefault(group_of(name), {})[name] = target
        return groups
