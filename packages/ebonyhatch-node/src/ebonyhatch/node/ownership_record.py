"""Ownership record: the member entries, and the owner of each cell."""

from __future__ import annotations

import msgspec
from ebonyhatch.node import store_values

KEY = "ownership"
"""Store key of the record."""

NO_OWNER = ""
"""Owner id of a cell without an owner."""


def entry_key(entry_id: str) -> str:
    """Returns the store key that exists as long as an entry's lease."""
    return f"entries/{entry_id}"


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """An entry as the others know it.

    Attributes:
        entry_id: Id of the entry.
        host: IP address of its peer socket.
        port: Port of its peer socket.
        region: Region of its instance.
        failure_domain: Failure domain (zone) of its instance.
        incarnation: Unique to the process; a restarted entry has a different one.
        lease_id: Lease that it held when it wrote its row of the record.
        draining: Whether it is stopping and accepts no cells.
    """

    entry_id: str
    host: str
    port: int
    region: str
    failure_domain: str
    incarnation: str = ""
    lease_id: str = ""
    draining: bool = False


class Owner(msgspec.Struct, frozen=True, kw_only=True):
    """Owner of a cell; the epoch grows with each change of owner."""

    entry_id: str
    epoch: int


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """Members and owners at one version.

    Attributes:
        nonce: Unique to this write.
        cells_per_domain: Number of cells of each failure domain, set by the first entry.
        members: Entries by id.
        cells: Owners by cell.
    """

    nonce: str = ""
    cells_per_domain: int = 0
    members: dict[str, Member] = {}
    cells: dict[str, Owner] = {}


def encode(record: Record) -> bytes:
    """Returns a record, encoded for the store."""
    return store_values.encode(record)


def decode(value: bytes) -> Record:
    """Returns a decoded record; an empty value is the empty record.

    Raises:
        CorruptValueError: When it can't be read.
        NewerFormatError: When a newer release wrote it.
    """
    if not value:
        return Record()
    return store_values.decode(key=KEY, value=value, kind=Record)


def with_owner(record: Record, cell: str, entry_id: str) -> Record:
    """Returns the record with a cell assigned to an entry under the next epoch."""
    former = record.cells.get(cell)
    epoch = former.epoch + 1 if former else 1
    cells = {**record.cells, cell: Owner(entry_id=entry_id, epoch=epoch)}
    return msgspec.structs.replace(record, cells=cells)


def with_member(record: Record, member: Member) -> Record:
    """Returns the record with a member added or replaced.

    Cells that an earlier process of the entry owned get a new epoch.
    """
    former = record.members.get(member.entry_id)
    members = {**record.members, member.entry_id: member}
    changed = msgspec.structs.replace(record, members=members)
    if former is not None and former.incarnation == member.incarnation:
        return changed
    for cell, owner in record.cells.items():
        if owner.entry_id == member.entry_id:
            changed = with_owner(changed, cell, member.entry_id)
    return changed


def without_members(record: Record, entry_ids: set[str]) -> Record:
    """Returns the record without some members; their cells keep their owner until reassigned."""
    members = {name: row for name, row in record.members.items() if name not in entry_ids}
    return msgspec.structs.replace(record, members=members)
