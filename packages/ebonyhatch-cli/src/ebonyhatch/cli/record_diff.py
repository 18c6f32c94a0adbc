"""Differences between two sets of records, field by field."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any

import msgspec
from ebonyhatch.core import record_changes, record_set

CHANGE_MARKERS = {"added": "+", "changed": "~", "removed": "-"}

MISSING = "(none)"


def diff_lines(
    *, old: Sequence[dict[str, Any]], new: Sequence[dict[str, Any]], changes: record_changes.Changes
) -> Iterator[str]:
    """Yields a line for each record that differs and one for each field that differs."""
    before = _by_label(old)
    after = _by_label(new)
    for change_kind, marker in CHANGE_MARKERS.items():
        for label in getattr(changes, change_kind):
            yield f"{marker} {label}"
            if label in before and label in after:
                yield from _field_differences(before[label], after[label], path="")


def _field_differences(old: dict[str, Any], new: dict[str, Any], *, path: str) -> Iterator[str]:
    for name in sorted(old.keys() | new.keys()):
        old_value, new_value = old.get(name), new.get(name)
        if old_value == new_value:
            continue
        if isinstance(old_value, dict) and isinstance(new_value, dict):
            yield from _field_differences(old_value, new_value, path=f"{path}{name}.")
        else:
            yield f"    {path}{name}: {_format_value(old, name)} -> {_format_value(new, name)}"


def _format_value(record: dict[str, Any], name: str) -> str:
    return msgspec.json.encode(record[name]).decode() if name in record else MISSING


def _by_label(records: Sequence[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    return {
        record_set.label(
            kind=record["kind"], name=record["name"], schema_version=record["schema_version"]
        ): record
        for record in records
    }
