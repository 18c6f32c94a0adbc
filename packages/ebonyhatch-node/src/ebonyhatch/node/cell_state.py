"""Durable state of a cell: the result of replaying its journal, and its snapshot form."""

from __future__ import annotations

import msgspec
from ebonyhatch.core import job_machine, journal_entries
from ebonyhatch.node import job_table, keyed_requests


class SnapshotBody(msgspec.Struct, frozen=True, kw_only=True):
    """All rows of a cell, as a snapshot holds them."""

    jobs: list[job_machine.JobRow]
    keys: list[keyed_requests.KeyRow]


_KEY_ENTRIES = (
    journal_entries.KeyIntended,
    journal_entries.KeyAnswered,
    journal_entries.KeyReleased,
)


class CellState:
    """Jobs and keyed requests of a cell."""

    def __init__(self) -> None:
        self._jobs = job_table.JobTable()
        self._keys = keyed_requests.KeyedRequests()

    @property
    def jobs(self) -> job_table.JobTable:
        """Table of the jobs."""
        return self._jobs

    @property
    def keys(self) -> keyed_requests.KeyedRequests:
        """Table of the keyed requests."""
        return self._keys

    def apply(self, entry: journal_entries.Entry) -> bool:
        """Applies one committed entry; returns whether it changed a row."""
        if isinstance(entry, _KEY_ENTRIES):
            return self._keys.apply(entry)
        return self._jobs.apply(entry)

    def encode(self) -> bytes:
        """Returns all rows, encoded as a snapshot."""
        return msgspec.msgpack.encode(
            SnapshotBody(jobs=list(self._jobs.rows()), keys=self._keys.rows())
        )

    def restore(self, body: bytes) -> None:
        """Restores the rows of an encoded snapshot; empty for none.

        Raises:
            msgspec.MsgspecError: When the body can't be read.
        """
        if not body:
            return
        snapshot = msgspec.msgpack.decode(body, type=SnapshotBody)
        self._jobs.restore(snapshot.jobs)
        self._keys.restore(snapshot.keys)
