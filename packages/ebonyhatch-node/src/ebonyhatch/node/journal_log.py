"""Ring of slots of a cell's journal: reading it to its end, sealing it, writing slots."""

from __future__ import annotations

import msgspec
from ebonyhatch.core import journal_entries
from ebonyhatch.node import confirmed_store, snapshots, store_values
from ebonyhatch.ports import store

RING_SLOTS = 512
"""Number of slots of a cell's ring, and so of writes after which a slot is overwritten."""


class Slot(msgspec.Struct, frozen=True, kw_only=True):
    """One write to the journal.

    Attributes:
        seq: Number of the write, from 1, without gaps.
        epoch: Epoch of the owner that wrote it.
        nonce: Unique to this write.
        entries: Entries of the write; empty for a seal.
    """

    seq: int
    epoch: int
    nonce: str
    entries: tuple[journal_entries.AnyEntry, ...] = ()


def slot_key(cell: str, seq: int) -> str:
    """Returns the store key of the slot of a write."""
    return f"cell/{cell}/log/{seq % RING_SLOTS}"


class JournalLog:
    """Reads and writes the slots of one cell under one epoch."""

    def __init__(self, *, cell: str, epoch: int, calls: confirmed_store.ConfirmedStore) -> None:
        self._cell = cell
        self._epoch = epoch
        self._calls = calls
        self._versions: dict[str, int] = {}

    async def read_to_end(
        self, *, after: int, nonce: str
    ) -> tuple[int, list[journal_entries.AnyEntry]]:
        """Reads the writes after `after`, and seals the end of the log against older owners.

        Only the seal makes the end of the log certain: a read may be stale, while the
        compare-and-swap of the seal is made against the store's current state.

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
                if isinstance(sealed, confirmed_store.Written):
                    return seq, entries
                assert isinstance(sealed, confirmed_store.Superseded)
                stored = sealed.stored
                continue
            entries.extend(slot.entries)
            self._versions[stored.key] = stored.version
            seq += 1
            stored = await self._calls.read(slot_key(self._cell, seq))

    async def write(
        self, slot: Slot, *, version: int | None = None, fail_if_refused: bool = False
    ) -> confirmed_store.WriteOutcome:
        """Writes a slot over the write one lap of the ring before it.

        Raises:
            SupersededError: When the slot holds a newer write.
        """
        key = slot_key(self._cell, slot.seq)
        if version is None:
            version = self._versions.get(key)
        if version is None:
            stored = await self._calls.read_once(key)
            if stored is None:
                return confirmed_store.Refused(reason=f"{key} could not be read")
            version = self._version_before(slot.seq, stored)
        write_outcome = await self._swap(slot, version, fail_if_refused=fail_if_refused)
        while isinstance(write_outcome, confirmed_store.Superseded) and self._holds_older_lap(
            write_outcome.stored, slot
        ):
            write_outcome = await self._swap(
                slot, write_outcome.stored.version, fail_if_refused=fail_if_refused
            )
        if isinstance(write_outcome, confirmed_store.Written):
            self._versions[key] = write_outcome.version
        return write_outcome

    async def _swap(
        self, slot: Slot, version: int, *, fail_if_refused: bool
    ) -> confirmed_store.WriteOutcome:
        return await self._calls.swap(
            slot_key(self._cell, slot.seq),
            expected_version=version,
            value=store_values.encode(slot),
            fail_if_refused=fail_if_refused,
        )

    def _holds_older_lap(self, stored: store.Stored, slot: Slot) -> bool:
        """Returns whether a slot still holds an older lap, so that its version was read stale."""
        present = store_values.decode(key=stored.key, value=stored.value, kind=Slot)
        return present.seq < slot.seq and present.epoch <= self._epoch

    def superseded_error(self, stored: store.Stored) -> snapshots.SupersededError:
        """Returns the error for a slot of this owner that holds another owner's write."""
        slot = store_values.decode(key=stored.key, value=stored.value, kind=Slot)
        return snapshots.SupersededError(
            cell=self._cell, epoch=self._epoch, newest_epoch=slot.epoch
        )

    def contains_write(self, stored: store.Stored, *, seq: int) -> bool:
        """Returns whether a slot holds the write `seq` of any owner, rather than a later lap."""
        return store_values.decode(key=stored.key, value=stored.value, kind=Slot).seq == seq

    def _version_before(self, seq: int, stored: store.Stored) -> int:
        if self._decode(stored, seq=seq) is not None:
            raise self.superseded_error(stored)
        return stored.version

    def _decode(self, stored: store.Stored, *, seq: int) -> Slot | None:
        """Returns the slot of the write `seq`, or None when it is empty or holds an older lap."""
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
