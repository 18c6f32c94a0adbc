"""Differences between two sets of records, field by field."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any

import msgspec
from ebonyhatch.core import record_changes, record_set

SIGNS = {"added": "+", "changed": "~", "removed": "-"}

MISSING = "(none)"


def lines(
    *, old: Sequence[dict[str, Any]], new: Sequence[dict[str, Any]], changes: record_changes.Changes
) -> Iterator[str]:
    """Write a line for each record that differs and one for each field that does."""
    before = _by_label(old)
    after = _by_label(new)
    for sort, sign in SIGNS.items():
        for label in getattr(changes, sort):
            yield f"{sign} {label}"
            if label in before and label in after:
                yield from _fields(before[label], after[label], path="")


def _fields(old: dict[str, Any], new: dict[str, Any], *, path: str) -> Iterator[str]:
    for name in sorted(old.keys() | new.keys()):
        former, latter = old.get(name), new.get(name)
        if former == latter:
            continue
        if isinstance(former, dict) and isinstance(latter, dict):
            yield from _fields(former, latter, path=f"{path}{name}.")
        else:
            yield f"    {path}{name}: {_shown(old, name)} -> {_shown(new, name)}"


def _shown(record: dict[str, Any], name: str) -> str:
    return msgspec.json.encode(record[name]).decode() if name in record else MISSING


def _by_label(records: Sequence[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    return {
        record_set.label(
            kind=record["kind"], name=record["name"], schema_version=record["schema_version"]
        ): record
        for record in records
    }
