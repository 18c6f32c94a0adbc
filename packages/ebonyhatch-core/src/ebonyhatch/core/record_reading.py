"""Reading of encoded records: headers, schema versions and fields."""

from __future__ import annotations

from typing import Any

import msgspec
from ebonyhatch.core import record_faults, record_fields, record_schema, record_set

MAX_ENCODED_BYTES = 900_000
"""Maximum size of an encoded set of records, bytes.

It is below the store's limit for one value, so that the history of generations fits into the same
value.
"""

MAX_FAULTS = 1_000
"""Number of faults after which no further record is read."""

MAX_RECORDS = 20_000
"""Maximum number of records in a set."""


class Header(msgspec.Struct, frozen=True, kw_only=True):
    """Fields that every record of every schema version contains."""

    kind: str
    name: record_schema.Name
    schema_version: record_schema.Count


class Reader:
    """Reads one set of records; faults and notices are collected, never raised.

    Attributes:
        faults: Faults of the set.
        notices: Records that could not be interpreted, and what is used instead of each.

    Args:
        previous: The last set that was read; its records replace records of a newer schema version.
        tolerant: Whether records of newer schema versions and of unknown kinds yield
            notices rather than faults.
    """

    def __init__(self, *, previous: record_set.RecordSet, tolerant: bool) -> None:
        self._previous = previous
        self._tolerant = tolerant
        self._selected: dict[tuple[str, str], record_set.Entry] = {}
        self._first_indexes: dict[tuple[str, str, int], int] = {}
        self._uninterpreted: list[tuple[int, Header]] = []
        self.faults: list[record_faults.Fault] = []
        self.notices: list[record_faults.Fault] = []

    def read(self, raw: bytes | list[Any]) -> record_set.RecordSet:
        """Returns the records that could be read; adds all faults to `faults`."""
        items = self._decode(raw)
        for index, item in enumerate(items):
            if len(self.faults) >= MAX_FAULTS:
                self._fault(
                    f"records[{index}]",
                    "not read because of too many faults",
                    "correct the faults above",
                )
                break
            self._read_item(index=index, item=item)
        for index, header in self._uninterpreted:
            self._use_fallback(index=index, header=header)
        return record_set.RecordSet(
            entries=tuple(self._selected.values()), notices=tuple(self.notices)
        )

    def _decode(self, raw: bytes | list[Any]) -> list[Any]:
        items: Any = raw
        if isinstance(raw, bytes):
            if len(raw) > MAX_ENCODED_BYTES:
                self._fault(
                    "records",
                    f"{len(raw)} bytes exceed the limit of {MAX_ENCODED_BYTES}",
                    "remove unused records",
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
        header = self._read_header(index=index, item=item)
        if header is None or not self._is_first(index=index, header=header):
            return
        known = record_schema.versions(kind=header.kind)
        if header.schema_version > known[-1]:
            self._uninterpreted.append((index, header))
        elif header.schema_version not in known:
            self._fault(
                f"records[{index}].schema_version",
                f"schema version {header.schema_version} of {header.kind} is no longer supported",
                f"convert the record to schema version {known[-1]}",
                _label(header),
            )
        else:
            self._read_known(index=index, header=header, item=item)

    def _read_header(self, *, index: int, item: Any) -> Header | None:
        path = f"records[{index}]"
        if not isinstance(item, dict):
            self._fault(path, "not an object", "write {kind, name, schema_version, ...}")
            return None
        try:
            header = msgspec.convert(item, Header)
        except msgspec.ValidationError as error:
            self._fault(path, str(error), "set kind, name and schema_version in each record")
            return None
        if header.kind in record_schema.kinds():
            return header
        quoted = record_fields.quoted(header.kind)
        known = ", ".join(record_schema.kinds())
        if self._tolerant:
            self._notice(
                path, f"unknown kind {quoted}; the record is omitted", "upgrade this entry"
            )
        else:
            self._fault(f"{path}.kind", f"unknown kind {quoted}", f"use one of {known}")
        return None

    def _is_first(self, *, index: int, header: Header) -> bool:
        identity = (header.kind, header.name, header.schema_version)
        first = self._first_indexes.setdefault(identity, index)
        if first == index:
            return True
        self._fault(
            f"records[{index}]",
            f"duplicate of records[{first}]",
            "remove one of them",
            _label(header),
        )
        return False

    def _read_known(self, *, index: int, header: Header, item: dict[Any, Any]) -> None:
        converter = record_fields.Converter(path=f"records[{index}]", record=_label(header))
        struct = record_schema.struct(kind=header.kind, schema_version=header.schema_version)
        record = converter.convert(raw=item, struct=struct)
        self.faults.extend(converter.faults)
        if record is None:
            self._uninterpreted.append((index, header))
            return
        upgraded = record_schema.upgraded(
            kind=header.kind, schema_version=header.schema_version, record=record
        )
        entry = record_set.Entry(
            index=index, kind=header.kind, schema_version=header.schema_version, record=upgraded
        )
        earlier = self._selected.get((header.kind, header.name))
        if earlier is None or earlier.schema_version < header.schema_version:
            self._selected[(header.kind, header.name)] = entry

    def _use_fallback(self, *, index: int, header: Header) -> None:
        newest = record_schema.versions(kind=header.kind)[-1]
        if header.schema_version <= newest:
            problem = "the record could not be read"
        else:
            problem = (
                f"schema version {header.schema_version} of {header.kind} is newer than {newest}"
            )
        fallback = self._fallback(header)
        if fallback is None and not self._tolerant:
            if header.schema_version > newest:
                remedy = f"upgrade this entry, or write schema version {newest} in addition"
                self._fault(f"records[{index}].schema_version", problem, remedy, _label(header))
            return
        effect = "the record is omitted" if fallback is None else f"{fallback.label} stays in force"
        self._notice(
            f"records[{index}]", f"{problem}; {effect}", "upgrade this entry", _label(header)
        )
        if fallback is not None:
            self._selected[(header.kind, header.name)] = fallback

    def _fallback(self, header: Header) -> record_set.Entry | None:
        selected = self._selected.get((header.kind, header.name))
        return selected or self._previous.by_name(header.kind).get(header.name)

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
