"""Decides which entry should own each cell; pure functions of the record and the live entries."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from ebonyhatch.core import rendezvous
from ebonyhatch.node import ownership_record


def desired_owner(
    record: ownership_record.Record, *, cell: str, candidates: Collection[str]
) -> str:
    """Returns the entry that should own a cell: same failure domain first, then rendezvous hashing.

    Args:
        record: The record; candidates are its members.
        cell: The cell.
        candidates: Ids of the entries that may get cells.

    Returns:
        The entry, or `NO_OWNER` without candidates.
    """
    members = [
        record.members[name]
        for name in candidates
        if name in record.members and not record.members[name].draining
    ]
    domain = rendezvous.domain_of_cell(cell)
    same_domain = [member for member in members if member.failure_domain == domain]
    ranked = rendezvous.ranked(
        key=cell, candidates=[member.entry_id for member in same_domain or members]
    )
    return ranked[0] if ranked else ownership_record.NO_OWNER


def missing_cells(record: ownership_record.Record, *, domains: Iterable[str]) -> list[str]:
    """Returns the cells of failure domains with workers that the record doesn't have yet."""
    names = [
        rendezvous.cell_name(domain, index)
        for domain in sorted(domains)
        for index in range(record.cells_per_domain)
    ]
    return [name for name in names if name not in record.cells]


def unowned_cells(record: ownership_record.Record) -> list[str]:
    """Returns the cells without an owner, or whose owner is no member."""
    return [cell for cell, owner in record.cells.items() if owner.entry_id not in record.members]


def assign(
    record: ownership_record.Record, *, cells: Iterable[str], candidates: Collection[str]
) -> ownership_record.Record:
    """Assigns cells to their desired owners; without candidates they stay as they are."""
    for cell in cells:
        owner = desired_owner(record, cell=cell, candidates=candidates)
        if owner != ownership_record.NO_OWNER:
            record = ownership_record.with_owner(record, cell, owner)
    return record


def next_move(
    record: ownership_record.Record, *, entry_id: str, candidates: Collection[str]
) -> tuple[str, str] | None:
    """Returns the first cell of an entry that another entry should own, and that entry; or None."""
    for cell, owner in sorted(record.cells.items()):
        if owner.entry_id != entry_id:
            continue
        desired = desired_owner(record, cell=cell, candidates=candidates)
        if desired not in (entry_id, ownership_record.NO_OWNER):
            return cell, desired
    return None
