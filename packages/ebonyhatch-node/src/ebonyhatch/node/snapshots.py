"""Snapshots of a cell's state: parts on two alternating sides, and a head that names one side."""

from __future__ import annotations

import zlib

import msgspec
from ebonyhatch.core import errors
from ebonyhatch.node import confirmed_store, store_values
from ebonyhatch.ports import store

PART_BYTES = 900_000
"""Maximum size of a part, bytes; with its frame it stays below the store's limit for a value."""

MAX_STALE_READS = 5
"""Number of reads that return a part older than the head before the part counts as corrupt."""

_SIDES = 2


class SupersededError(errors.EbonyhatchError):
    """A newer owner has written to the cell's keys."""

    def __init__(self, *, cell: str, epoch: int, newest_epoch: int) -> None:
        super().__init__(
            problem=f"cell {cell} is at epoch {newest_epoch}, this owner has {epoch}",
            remedy="stop acting for the cell and read its current owner",
        )
        self.cell = cell
        self.epoch = epoch
        self.newest_epoch = newest_epoch


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """Identifies the current snapshot.

    Attributes:
        epoch: Epoch of the owner that wrote the head.
        nonce: Unique to this write.
        seq: Number of the last write to the log that the snapshot holds; 0 for none.
        side: Side on which its parts are.
        parts: Number of its parts.
        checksum: CRC-32 of the whole body.
    """

    epoch: int
    nonce: str
    seq: int = 0
    side: int = 0
    parts: int = 0
    checksum: int = 0


class Part(msgspec.Struct, frozen=True, kw_only=True):
    """One part of a snapshot."""

    epoch: int
    nonce: str
    seq: int
    body: bytes


def head_key(cell: str) -> str:
    """Returns the store key of a cell's head."""
    return f"cell/{cell}/head"


def part_key(cell: str, side: int, index: int) -> str:
    """Returns the store key of a part."""
    return f"cell/{cell}/snap/{side}/{index}"


class Snapshots:
    """Reads and writes the snapshots of one cell under one epoch."""

    def __init__(self, *, cell: str, epoch: int, calls: confirmed_store.ConfirmedStore) -> None:
        self._cell = cell
        self._epoch = epoch
        self._calls = calls
        self._head = Head(epoch=0, nonce="")
        self._head_version = store.ABSENT

    @property
    def seq(self) -> int:
        """Number of the last write to the log that the current snapshot holds."""
        return self._head.seq

    async def claim(self, *, nonce: str) -> None:
        """Writes the epoch into the head, so that an older owner can't change it any more.

        Raises:
            SupersededError: When the head has a newer epoch.
            CorruptValueError: When the head can't be read.
            NewerFormatError: When a newer release wrote it.
        """
        key = head_key(self._cell)
        stored = await self._calls.read(key)
        while True:
            head = self._decode_head(stored)
            claimed = msgspec.structs.replace(head, epoch=self._epoch, nonce=nonce)
            write_outcome = await self._calls.swap(
                key, expected_version=stored.version, value=store_values.encode(claimed)
            )
            if isinstance(write_outcome, confirmed_store.Written):
                self._head = claimed
                self._head_version = write_outcome.version
                return
            assert isinstance(write_outcome, confirmed_store.Superseded)
            stored = write_outcome.stored

    async def load(self) -> bytes:
        """Reads the body that the head names; empty when there is no snapshot.

        Raises:
            CorruptValueError: When a part can't be read or the checksum of the body is wrong.
            NewerFormatError: When a newer release wrote it.
        """
        bodies = [await self._load_part(index) for index in range(self._head.parts)]
        body = b"".join(bodies)
        if self._head.parts and zlib.crc32(body) != self._head.checksum:
            key = head_key(self._cell)
            raise store_values.CorruptValueError(key=key, reason="snapshot checksum mismatch")
        return body

    async def save(self, *, seq: int, body: bytes, nonce: str) -> None:
        """Writes a snapshot to the unused side, then points the head at it.

        Raises:
            SupersededError: When a newer owner has written to the cell's keys.
        """
        side = (self._head.side + 1) % _SIDES
        chunks = [body[at : at + PART_BYTES] for at in range(0, len(body), PART_BYTES)]
        for index, chunk in enumerate(chunks):
            part = Part(epoch=self._epoch, nonce=nonce, seq=seq, body=chunk)
            await self._save_part(side, index, part)
        head = Head(
            epoch=self._epoch,
            nonce=nonce,
            seq=seq,
            side=side,
            parts=len(chunks),
            checksum=zlib.crc32(body),
        )
        write_outcome = await self._calls.swap(
            head_key(self._cell),
            expected_version=self._head_version,
            value=store_values.encode(head),
        )
        if not isinstance(write_outcome, confirmed_store.Written):
            assert isinstance(write_outcome, confirmed_store.Superseded)
            raise self._superseded(self._decode_head(write_outcome.stored).epoch)
        self._head = head
        self._head_version = write_outcome.version

    def _decode_head(self, stored: store.Stored) -> Head:
        if stored.version == store.ABSENT:
            return Head(epoch=0, nonce="")
        head = store_values.decode(key=stored.key, value=stored.value, kind=Head)
        if head.epoch > self._epoch:
            raise self._superseded(head.epoch)
        return head

    async def _load_part(self, index: int) -> bytes:
        key = part_key(self._cell, self._head.side, index)
        for _ in range(MAX_STALE_READS):
            stored = await self._calls.read(key)
            if stored.version != store.ABSENT:
                part = store_values.decode(key=key, value=stored.value, kind=Part)
                if part.seq == self._head.seq:
                    return part.body
            await self._calls.pause()
        raise store_values.CorruptValueError(
            key=key, reason="it isn't the part that the head names"
        )

    async def _save_part(self, side: int, index: int, part: Part) -> None:
        key = part_key(self._cell, side, index)
        stored = await self._calls.read(key)
        while True:
            self._check_part(stored)
            write_outcome = await self._calls.swap(
                key, expected_version=stored.version, value=store_values.encode(part)
            )
            if isinstance(write_outcome, confirmed_store.Written):
                return
            assert isinstance(write_outcome, confirmed_store.Superseded)
            stored = write_outcome.stored

    def _check_part(self, stored: store.Stored) -> None:
        if stored.version == store.ABSENT:
            return
        part = store_values.decode(key=stored.key, value=stored.value, kind=Part)
        if part.epoch > self._epoch:
            raise self._superseded(part.epoch)

    def _superseded(self, newest_epoch: int) -> SupersededError:
        return SupersededError(cell=self._cell, epoch=self._epoch, newest_epoch=newest_epoch)
