"""Differences between two sets of records."""

from __future__ import annotations

from typing import Any

import msgspec
from ebonyhatch.core import record_set


class Changes(msgspec.Struct, frozen=True, kw_only=True):
    """Labels (`kind/name@schema_version`) of the records that differ."""

    added: tuple[str, ...] = ()
    changed: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()

    @property
    def count(self) -> int:
        """Number of records that differ."""
        return len(self.added) + len(self.changed) + len(self.removed)

    def __str__(self) -> str:
        parts = [
            f"{verb} {', '.join(names)}"
            for verb, names in zip(self.__struct_fields__, self, strict=True)
            if names
        ]
        return "; ".join(parts) or "no change"

    def __iter__(self) -> Any:
        return iter((self.added, self.changed, self.removed))


def compare(*, old: bytes, new: bytes) -> Changes:
    """Returns the differences between two encoded sets, both of which were accepted before."""
    before = _by_label(old)
    after = _by_label(new)
    return Changes(
        added=tuple(sorted(after.keys() - before.keys())),
        changed=tuple(
            sorted(name for name in after.keys() & before.keys() if after[name] != before[name])
        ),
        removed=tuple(sorted(before.keys() - after.keys())),
    )


def _by_label(raw: bytes) -> dict[str, dict[str, Any]]:
    items = msgspec.json.decode(raw)
    return {
        record_set.label(
            kind=item["kind"], name=item["name"], schema_version=item["schema_version"]
        ): item
        for item in items
    }
