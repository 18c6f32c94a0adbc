"""Removal of references to records that were omitted from a set."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from ebonyhatch.core import record_faults, record_kinds, record_set

REMEDY = "upgrade this entry"


def remove_dangling(
    entries: Sequence[record_set.Entry],
) -> tuple[tuple[record_set.Entry, ...], tuple[record_faults.Fault, ...]]:
    """Removes dangling references, so that the remaining records can be put in force.

    References of a service to omitted work classes are removed. The service itself is omitted only
    if its default class is.

    Returns:
        The remaining entries, and a notice for each change.
    """
    classes = {e.record.name for e in entries if e.kind == record_kinds.work_class.KIND}
    remaining: list[record_set.Entry] = []
    notices: list[record_faults.Fault] = []
    for entry in entries:
        if not isinstance(entry.record, record_kinds.service.Service):
            remaining.append(entry)
            continue
        available = tuple(name for name in entry.record.work_classes if name in classes)
        if entry.record.default_class not in available:
            notices.append(_notice(entry, "default_class", "the service is omitted"))
            continue
        if available != entry.record.work_classes:
            notices.append(_notice(entry, "work_classes", "the reference is removed"))
            record = msgspec.structs.replace(entry.record, work_classes=available)
            entry = msgspec.structs.replace(entry, record=record)
        remaining.append(entry)
    return tuple(remaining), tuple(notices)


def _notice(entry: record_set.Entry, field: str, effect: str) -> record_faults.Fault:
    return record_faults.Fault(
        path=f"{entry.path}.{field}",
        record=entry.label,
        problem=f"it refers to a work class that was omitted; {effect}",
        remedy=REMEDY,
    )
