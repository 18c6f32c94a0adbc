"""Reading of records as written: headers, schema versions and fields."""

from __future__ import annotations

from typing import Any

import msgspec
from ebonyhatch.core import record_faults, record_fields, record_schema, record_set

MAX_ENCODED_BYTES = 900_000
"""Largest encoded set of records; the rest of a store value holds the history."""

MAX_FAULTS = 1_000
"""Faults after which no further record is read."""

MAX_RECORDS = 20_000
"""Most records in a set."""


class Header(msgspec.Struct, frozen=True, kw_only=True):
    """What every record of every schema version begins with."""

    kind: str
    name: record_schema.Name
    schema_version: record_schema.Count


class Reader:
    """Reads one set; faults and notices are gathered, never raised.

    Attributes:
        faults: What is wrong with the set.
        notices: What isn't understood, and what stands in for it.

    Args:
        previous: The set last understood; its records stand in for those of a newer schema.
        tolerant: Whether records of newer schema versions are notices rather than faults.
    """

    def __init__(self, *, previous: record_set.RecordSet, tolerant: bool) -> None:
        self._previous = previous
        self._tolerant = tolerant
        self._chosen: dict[tuple[str, str], record_set.Entry] = {}
        self._seen: dict[tuple[str, str, int], int] = {}
        self._unread: list[tuple[int, Header]] = []
        self.faults: list[record_faults.Fault] = []
        self.notices: list[record_faults.Fault] = []

    def read(self, raw: bytes | list[Any]) -> record_set.RecordSet:
        """Read every record; what is wrong is in `faults` afterwards."""
        items = self._decoded(raw)
        for index, item in enumerate(items):
            if len(self.faults) >= MAX_FAULTS:
                self._fault(f"records[{index}]", "not read: too many faults", "mend those above")
                break
            self._read_item(index=index, item=item)
        for index, header in self._unread:
            self._stand_in(index=index, header=header)
        return record_set.RecordSet(
            entries=tuple(self._chosen.values()), notices=tuple(self.notices)
        )

    def _decoded(self, raw: bytes | list[Any]) -> list[Any]:
        items: Any = raw
        if isinstance(raw, bytes):
            if len(raw) > MAX_ENCODED_BYTES:
                self._fault(
                    "records",
                    f"{len(raw)} bytes are more than {MAX_ENCODED_BYTES}",
                    "remove records that are not used any more",
                )
                return []
            try:
                items = msgspec.json.decode(raw)
            except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
                self._fault("records", f"not JSON: {error}", "write a JSON list of records")
                return []
        if not isinstance(items, list):
            self._fault("records", "not a list", "write a JSON list of records")
            return []
        if len(items) > MAX_RECORDS:
            self._fault("records", f"more than {MAX_RECORDS} records", "remove unused records")
            return []
        return items

    def _read_item(self, *, index: int, item: Any) -> None:
        header = self._header(index=index, item=item)
        if header is None or not self._is_first(index=index, header=header):
            return
        known = record_schema.versions(kind=header.kind)
        if header.schema_version > known[-1]:
            self._unread.append((index, header))
        elif header.schema_version not in known:
            self._fault(
                f"records[{index}].schema_version",
                f"schema version {header.schema_version} of {header.kind} isn't read any more",
                f"write it in schema version {known[-1]}",
                _label(header),
            )
        else:
            self._read_known(index=index, header=header, item=item)

    def _header(self, *, index: int, item: Any) -> Header | None:
        path = f"records[{index}]"
        if not isinstance(item, dict):
            self._fault(path, "not an object", "write {kind, name, schema_version, ...}")
            return None
        try:
            header = msgspec.convert(item, Header)
        except msgspec.ValidationError as error:
            self._fault(path, str(error), "give each record a kind, a name and a schema_version")
            return None
        if header.kind in record_schema.kinds():
            return header
        shown = record_fields.shown(header.kind)
        known = ", ".join(record_schema.kinds())
        if self._tolerant:
            self._notice(path, f"unknown kind {shown}; left out", "upgrade this entry")
        else:
            self._fault(f"{path}.kind", f"unknown kind {shown}", f"use one of {known}")
        return None

    def _is_first(self, *, index: int, header: Header) -> bool:
        identity = (header.kind, header.name, header.schema_version)
        first = self._seen.setdefault(identity, index)
        if first == index:
            return True
        self._fault(
            f"records[{index}]",
            f"the same record stands at records[{first}]",
            "keep one of them",
            _label(header),
        )
        return False

    def _read_known(self, *, index: int, header: Header, item: dict[Any, Any]) -> None:
        converter = record_fields.Converter(path=f"records[{index}]", record=_label(header))
        struct = record_schema.struct(kind=header.kind, schema_version=header.schema_version)
        record = converter.convert(raw=item, struct=struct)
        self.faults.extend(converter.faults)
        if record is None:
            self._unread.append((index, header))
            return
        upgraded = record_schema.upgraded(
            kind=header.kind, schema_version=header.schema_version, record=record
        )
        entry = record_set.Entry(
            index=index, kind=header.kind, schema_version=header.schema_version, record=upgraded
        )
        former = self._chosen.get((header.kind, header.name))
        if former is None or former.schema_version < header.schema_version:
            self._chosen[(header.kind, header.name)] = entry

    def _stand_in(self, *, index: int, header: Header) -> None:
        newest = record_schema.versions(kind=header.kind)[-1]
        if header.schema_version <= newest:
            problem = "it isn't understood"
        else:
            problem = (
                f"schema version {header.schema_version} of {header.kind} is newer than {newest}"
            )
        standing = self._standing(header)
        if standing is None and not self._tolerant:
            if header.schema_version > newest:
                remedy = f"upgrade this entry, or write schema version {newest} beside it"
                self._fault(f"records[{index}].schema_version", problem, remedy, _label(header))
            return
        kept = "left out" if standing is None else f"{standing.label} stays in force"
        self._notice(
            f"records[{index}]", f"{problem}; {kept}", "upgrade this entry", _label(header)
        )
        if standing is not None:
            self._chosen[(header.kind, header.name)] = standing

    def _standing(self, header: Header) -> record_set.Entry | None:
        chosen = self._chosen.get((header.kind, header.name))
        return chosen or self._previous.by_name(header.kind).get(header.name)

    def _fault(self, path: str, problem: str, remedy: str, record: str = "") -> None:
        self.faults.append(
            record_faults.Fault(path=path, record=record, problem=problem, remedy=remedy)
        )

    def _notice(self, path: str, problem: str, remedy: str, record: str = "") -> None:
        self.notices.append(
            record_faults.Fault(path=path, record=record, problem=problem, remedy=remedy)
        )


def _label(header: Header) -> str:
    return record_set.label(
        kind=header.kind, name=header.name, schema_version=header.schema_version
    )
