"""A set of records, each upgraded to the newest schema version of its kind."""

from __future__ import annotations

import msgspec
from ebonyhatch.core import record_faults, record_schema


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """One record that was read.

    Attributes:
        index: Its position in what was read.
        kind: Its kind.
        schema_version: Schema version that it was written in.
        record: The record, upgraded.
    """

    index: int
    kind: str
    schema_version: int
    record: record_schema.Record

    @property
    def path(self) -> str:
        """Where it stands."""
        return f"records[{self.index}]"

    @property
    def label(self) -> str:
        """Kind, name and schema version."""
        return label(kind=self.kind, name=self.record.name, schema_version=self.schema_version)


class RecordSet(msgspec.Struct, frozen=True, kw_only=True):
    """Every record that is understood.

    Attributes:
        entries: The records, one for each kind and name, in the order read.
        notices: What was kept, replaced or left out because it isn't understood.
    """

    entries: tuple[Entry, ...] = ()
    notices: tuple[record_faults.Fault, ...] = ()

    def of_kind(self, kind: str) -> tuple[Entry, ...]:
        """Select the records of one kind."""
        return tuple(entry for entry in self.entries if entry.kind == kind)

    def by_name(self, kind: str) -> dict[str, Entry]:
        """Index the records of one kind by name."""
        return {entry.record.name: entry for entry in self.entries if entry.kind == kind}


def label(*, kind: str, name: str, schema_version: int) -> str:
    """Name a record in messages."""
    return f"{kind}/{name}@{schema_version}"


EMPTY = RecordSet()
