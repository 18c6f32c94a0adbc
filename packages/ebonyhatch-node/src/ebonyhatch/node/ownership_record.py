"""The ownership record: which entries there are, and which of them owns each cell."""

from __future__ import annotations

import msgspec
from ebonyhatch.node import store_values

KEY = "ownership"
"""Store key of the record."""

NO_OWNER = ""
"""Owner of a cell that nobody owns."""


def entry_key(entry_id: str) -> str:
    """Store key that exists as long as an entry's lease."""
    return f"entries/{entry_id}"


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """An entry as the others know it.

    Attributes:
        entry_id: Its id.
        host: IP number of its peer socket.
        port: Port of its peer socket.
        region: Its region.
        failure_domain: Its failure domain.
        incarnation: Unique to the process; a restarted entry has another one.
        lease_id: Lease that it held when it wrote this.
        draining: It is stopping and takes no cells.
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
    """Who owns a cell; the epoch grows with each change of owner."""

    entry_id: str
    epoch: int


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """Members and owners at one version.

    Attributes:
        nonce: Unique to this write.
        cells_per_domain: Cells of each failure domain, set by the first entry.
        members: Entries by id.
        cells: Owners by cell.
    """

    nonce: str = ""
    cells_per_domain: int = 0
    members: dict[str, Member] = {}
    cells: dict[str, Owner] = {}


def encode(record: Record) -> bytes:
    """Encode a record for the store."""
    return store_values.encode(record)


def decode(value: bytes) -> Record:
    """Decode a record; an empty value is the empty record.

    Raises:
        CorruptValueError: When it can't be read.
        NewerFormatError: When a newer release wrote it.
    """
    if not value:
        return Record()
    return store_values.decode(key=KEY, value=value, kind=Record)


def with_owner(record: Record, cell: str, entry_id: str) -> Record:
    """Give a cell to an entry, under the next epoch."""
    former = record.cells.get(cell)
    epoch = former.epoch + 1 if former else 1
    cells = {**record.cells, cell: Owner(entry_id=entry_id, epoch=epoch)}
    return msgspec.structs.replace(record, cells=cells)


def with_member(record: Record, member: Member) -> Record:
    """Enter a member; cells that an earlier process of the entry owned get a new epoch."""
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
    """Strike members; their cells keep their entries until they are given away."""
    members = {name: row for name, row in record.members.items() if name not in entry_ids}
    return msgspec.structs.replace(record, members=members)
