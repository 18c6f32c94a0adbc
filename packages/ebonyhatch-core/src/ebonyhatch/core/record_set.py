"""Sets of records, each upgraded to the newest schema version of its kind."""

from __future__ import annotations

import msgspec
from ebonyhatch.core import record_faults, record_schema


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """One record that was read.

    Attributes:
        index: Position of the record in the input.
        kind: Kind of the record.
        schema_version: Schema version in which it was written.
        record: The upgraded record.
    """

    index: int
    kind: str
    schema_version: int
    record: record_schema.Record

    @property
    def path(self) -> str:
        """Location of the record in the input."""
        return f"records[{self.index}]"

    @property
    def label(self) -> str:
        """Kind, name and schema version of the record, as used in messages."""
        return label(kind=self.kind, name=self.record.name, schema_version=self.schema_version)


class RecordSet(msgspec.Struct, frozen=True, kw_only=True):
    """All records of a set that could be interpreted.

    Attributes:
        entries: The records, one for each kind and name, in the order in which they were read.
        notices: Records that could not be interpreted, and whether each was replaced or omitted.
    """

    entries: tuple[Entry, ...] = ()
    notices: tuple[record_faults.Fault, ...] = ()

    def of_kind(self, kind: str) -> tuple[Entry, ...]:
        """Returns the records of one kind."""
        return tuple(entry for entry in self.entries if entry.kind == kind)

    def by_name(self, kind: str) -> dict[str, Entry]:
        """Returns the records of one kind, indexed by name."""
        return {entry.record.name: entry for entry in self.entries if entry.kind == kind}


def label(*, kind: str, name: str, schema_version: int) -> str:
    """Returns the label that identifies a record in messages."""
    return f"{kind}/{name}@{schema_version}"


EMPTY = RecordSet()
