"""Removal of references to records that had to be left out."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from ebonyhatch.core import record_faults, record_kinds, record_set

REMEDY = "upgrade this entry"


def remove_dangling(
    entries: Sequence[record_set.Entry],
) -> tuple[tuple[record_set.Entry, ...], tuple[record_faults.Fault, ...]]:
    """Drop references that lead nowhere, so that what is left can be in force.

    A service loses the work classes that are left out, and goes only with its default class.

    Returns:
        The entries that are left and a notice for each change.
    """
    classes = {e.record.name for e in entries if e.kind == record_kinds.work_class.KIND}
    kept: list[record_set.Entry] = []
    notices: list[record_faults.Fault] = []
    for entry in entries:
        if not isinstance(entry.record, record_kinds.service.Service):
            kept.append(entry)
            continue
        known = tuple(name for name in entry.record.work_classes if name in classes)
        if entry.record.default_class not in known:
            notices.append(_notice(entry, "default_class", "the service is left out"))
            continue
        if known != entry.record.work_classes:
            notices.append(_notice(entry, "work_classes", "the service goes on without some"))
            record = msgspec.structs.replace(entry.record, work_classes=known)
            entry = msgspec.structs.replace(entry, record=record)
        kept.append(entry)
    return tuple(kept), tuple(notices)


def _notice(entry: record_set.Entry, field: str, effect: str) -> record_faults.Fault:
    return record_faults.Fault(
        path=f"{entry.path}.{field}",
        record=entry.label,
        problem=f"it names a work class that was left out; {effect}",
        remedy=REMEDY,
    )
