"""The ring of slots of a cell's journal: reading it to its end, and sealing it."""

from __future__ import annotations

import msgspec
from ebonyhatch.core import journal_entries
from ebonyhatch.node import settled_store, snapshots, store_values
from ebonyhatch.ports import store

RING_SLOTS = 512
"""Slots of a cell's ring; a slot is written again after so many writes."""


class Slot(msgspec.Struct, frozen=True, kw_only=True):
    """One write to the journal.

    Attributes:
        seq: Number of the write, from 1, without gaps.
        epoch: Epoch of the owner that wrote it.
        nonce: Unique to this write.
        entries: What it holds; empty for a seal.
    """

    seq: int
    epoch: int
    nonce: str
    entries: tuple[journal_entries.AnyEntry, ...] = ()


def slot_key(cell: str, seq: int) -> str:
    """Store key of the slot of a write."""
    return f"cell/{cell}/log/{seq % RING_SLOTS}"


class JournalLog:
    """Reads and writes the slots of one cell under one epoch."""

    def __init__(self, *, cell: str, epoch: int, calls: settled_store.SettledStore) -> None:
        self._cell = cell
        self._epoch = epoch
        self._calls = calls
        self._versions: dict[str, int] = {}

    async def read_to_end(
        self, *, after: int, nonce: str
    ) -> tuple[int, list[journal_entries.AnyEntry]]:
        """Read what was written after `after`, and seal the end against older owners.

        A slot's end is certain only by the seal: a read may come from the store's past, the
        compare-and-swap of the seal doesn't.

        Returns:
            Number of the seal, and the entries before it in order.

        Raises:
            SupersededError: When a newer owner has written to the log.
            CorruptValueError: When a slot can't be read.
            NewerFormatError: When a newer release wrote it.
        """
        entries: list[journal_entries.AnyEntry] = []
        seq = after + 1
        stored = await self._calls.read(slot_key(self._cell, seq))
        while True:
            slot = self._decode(stored, seq=seq)
            if slot is None:
                sealed = await self.write(
                    Slot(seq=seq, epoch=self._epoch, nonce=nonce), version=stored.version
                )
                if isinstance(sealed, settled_store.Written):
                    return seq, entries
                assert isinstance(sealed, settled_store.Overtaken)
                stored = sealed.stored
                continue
            entries.extend(slot.entries)
            self._versions[stored.key] = stored.version
            seq += 1
            stored = await self._calls.read(slot_key(self._cell, seq))

    async def write(
        self, slot: Slot, *, version: int | None = None, give_up: bool = False
    ) -> settled_store.Settled:
        """Write a slot over the write one lap before it.

        Raises:
            SupersededError: When the slot holds a newer write.
        """
        key = slot_key(self._cell, slot.seq)
        if version is None:
            version = self._versions.get(key)
        if version is None:
            stored = await self._calls.read_once(key)
            if stored is None:
                return settled_store.Refused(reason=f"{key} could not be read")
            version = self._version_before(slot.seq, stored)
        settled = await self._swap(slot, version, give_up=give_up)
        while isinstance(settled, settled_store.Overtaken) and self._older(settled.stored, slot):
            settled = await self._swap(slot, settled.stored.version, give_up=give_up)
        if isinstance(settled, settled_store.Written):
            self._versions[key] = settled.version
        return settled

    async def _swap(self, slot: Slot, version: int, *, give_up: bool) -> settled_store.Settled:
        return await self._calls.swap(
            slot_key(self._cell, slot.seq),
            expected_version=version,
            value=store_values.encode(slot),
            give_up=give_up,
        )

    def _older(self, stored: store.Stored, slot: Slot) -> bool:
        """Tell whether a slot still holds an older lap: the version was read from the past."""
        present = store_values.decode(key=stored.key, value=stored.value, kind=Slot)
        return present.seq < slot.seq and present.epoch <= self._epoch

    def superseded_by(self, stored: store.Stored) -> snapshots.SupersededError:
        """Explain that a slot of one's own holds another owner's write."""
        slot = store_values.decode(key=stored.key, value=stored.value, kind=Slot)
        return snapshots.SupersededError(
            cell=self._cell, epoch=self._epoch, newest_epoch=slot.epoch
        )

    def holds(self, stored: store.Stored, *, seq: int) -> bool:
        """Tell whether a slot holds the write `seq`, by whomever, rather than a later lap."""
        return store_values.decode(key=stored.key, value=stored.value, kind=Slot).seq == seq

    def _version_before(self, seq: int, stored: store.Stored) -> int:
        if self._decode(stored, seq=seq) is not None:
            raise self.superseded_by(stored)
        return stored.version

    def _decode(self, stored: store.Stored, *, seq: int) -> Slot | None:
        """Give the slot of the write `seq`, or None when it holds an older lap or nothing."""
        if stored.version == store.ABSENT:
            return None
        slot = store_values.decode(key=stored.key, value=stored.value, kind=Slot)
        if slot.epoch > self._epoch or slot.seq > seq:
            raise snapshots.SupersededError(
                cell=self._cell, epoch=self._epoch, newest_epoch=slot.epoch
            )
        if slot.seq < seq:
            return None
        return slot
