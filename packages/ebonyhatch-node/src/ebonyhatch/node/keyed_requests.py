"""Requests with an idempotency key, folded from the entries of a cell's journal."""

from __future__ import annotations

import collections
import enum
import hashlib

import msgspec
from ebonyhatch.core import journal_entries
from ebonyhatch.node import messages
from ebonyhatch.ports import workers

KEYS_KEPT = 5000
"""Keys that a cell remembers; the oldest that have ended are forgotten first."""

ANSWER_LIMIT_BYTES = 4_096
"""Largest answer that is kept for repeats; a repeat after a larger one gets `unknown`."""


class KeyState(enum.StrEnum):
    """State of a key."""

    INTENDED = "intended"
    ANSWERED = "answered"
    RELEASED = "released"


class KeyRow(msgspec.Struct, kw_only=True):
    """What is known of one key.

    Attributes:
        key: Key within its tenant and service.
        request_id: The request that was sent last for it.
        digest: Digest of the first request.
        state: Its state.
        answer: The encoded answer; empty when there is none or it was too large.
    """

    key: str
    request_id: str
    digest: str
    state: KeyState = KeyState.INTENDED
    answer: bytes = b""


def scoped_key(call: messages.RequestCall) -> str:
    """Key of a call within its tenant and service."""
    return "\x00".join((call.tenant, call.request.service, call.idempotency_key))


def digest_of(call: messages.RequestCall) -> str:
    """Digest of what a call asks for; equal for honest repeats."""
    request = call.request
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.method.encode(), request.path.encode(), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def encode_answer(answer: workers.ServiceResponse) -> bytes:
    """Encode an answer for the journal; empty when it is too large to keep."""
    encoded = msgspec.msgpack.encode(answer)
    return encoded if len(encoded) <= ANSWER_LIMIT_BYTES else b""


def decode_answer(row: KeyRow, *, request_id: str) -> workers.ServiceResponse | None:
    """Give the kept answer of a key to the request `request_id`, or None."""
    if not row.answer:
        return None
    answer = msgspec.msgpack.decode(row.answer, type=workers.ServiceResponse)
    return msgspec.structs.replace(answer, request_id=request_id)


class KeyedRequests:
    """Rows by key; a row changes only by a committed entry."""

    def __init__(self, *, keys_kept: int = KEYS_KEPT) -> None:
        self._rows: dict[str, KeyRow] = {}
        self._ended: collections.deque[str] = collections.deque()
        self._keys_kept = keys_kept

    def get(self, key: str) -> KeyRow | None:
        """Row of a key that must not run again, or None when it may run."""
        row = self._rows.get(key)
        return None if row is None or row.state == KeyState.RELEASED else row

    def rows(self) -> list[KeyRow]:
        """All rows."""
        return list(self._rows.values())

    def apply(self, entry: journal_entries.Entry) -> bool:
        """Change the row that an entry names; tell whether it was allowed."""
        if isinstance(entry, journal_entries.KeyIntended):
            return self._intend(entry)
        row = self._rows.get(entry.key)  # type: ignore[attr-defined]
        if row is None or row.state != KeyState.INTENDED:
            return False
        if isinstance(entry, journal_entries.KeyAnswered):
            row.state = KeyState.ANSWERED
            row.answer = entry.answer
        else:
            row.state = KeyState.RELEASED
        self._end(row.key)
        return True

    def restore(self, rows: list[KeyRow]) -> None:
        """Take in the rows of a snapshot."""
        for row in rows:
            self._rows[row.key] = row
            if row.state != KeyState.INTENDED:
                self._ended.append(row.key)

    def _intend(self, entry: journal_entries.KeyIntended) -> bool:
        if self.get(entry.key) is not None:
            return False
        self._rows[entry.key] = KeyRow(
            key=entry.key, request_id=entry.request_id, digest=entry.digest
        )
        return True

    def _end(self, key: str) -> None:
        self._ended.append(key)
        while len(self._ended) > self._keys_kept:
            oldest = self._ended.popleft()
            row = self._rows.get(oldest)
            if row is not None and row.state != KeyState.INTENDED:
                del self._rows[oldest]
