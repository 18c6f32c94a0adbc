"""What the next owner has to know of the targets that this one holds sessions with."""

from __future__ import annotations

import msgspec
from ebonyhatch.fleet import rows, targets


class KnownTarget(msgspec.Struct, frozen=True, kw_only=True):
    """A target of the last owner.

    Attributes:
        target: What it registered.
        takes_runs: The owner may have ordered runs there since this was written.
        tasks: Where it takes none: the tasks that may still run there.
    """

    target: targets.Target
    takes_runs: bool
    tasks: tuple[str, ...] = ()


KnownTargets = dict[str, KnownTarget]


def describe(row: rows.TargetRow) -> KnownTarget:
    """Describe a target as its owner knows it now."""
    if row.confirmed and row.reachable and row.listed and not row.target.draining:
        return KnownTarget(target=row.target, takes_runs=True)
    tasks = tuple(sorted({key.task for key in row.runs}))
    return KnownTarget(target=row.target, takes_runs=not row.confirmed, tasks=tasks)


def encode(known: KnownTargets) -> bytes:
    """Encode all targets."""
    return msgspec.json.encode(known)


def decode(value: bytes) -> KnownTargets:
    """Decode them; raises `msgspec.DecodeError`."""
    return msgspec.json.decode(value, type=KnownTargets)
