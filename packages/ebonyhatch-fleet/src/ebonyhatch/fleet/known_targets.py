"""Record of the targets that the owner has sessions with, for the next owner."""

from __future__ import annotations

import msgspec
from ebonyhatch.fleet import rows, targets


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


def encode(known: KnownTargets) -> bytes:
    """Returns the encoded records of all targets."""
    return msgspec.json.encode(known)


def decode(value: bytes) -> KnownTargets:
    """Returns the decoded records of all targets; raises `msgspec.DecodeError`."""
    return msgspec.json.decode(value, type=KnownTargets)
