"""State of requests with an idempotency key, replayed from the entries of a cell's journal."""

from __future__ import annotations

import collections
import enum
import hashlib

import msgspec
from ebonyhatch.core import journal_entries
from ebonyhatch.node import messages
from ebonyhatch.ports import workers

MAX_ENDED_KEYS = 5000
"""Maximum ended keys that a cell retains; the oldest are evicted first."""

ANSWER_LIMIT_BYTES = 4_096
"""Maximum size of an encoded answer retained for repeats, bytes.

A repeat after a larger one gets `unknown`.
"""


class KeyState(enum.StrEnum):
    """State of a key."""

    INTENDED = "intended"
    ANSWERED = "answered"
    RELEASED = "released"


class KeyRow(msgspec.Struct, kw_only=True):
    """State and answer of one key.

    Attributes:
        key: Key scoped by tenant and service.
        request_id: Id of the latest request that was sent for the key.
        digest: Digest of the first request.
        state: State of the key.
        answer: The encoded answer; empty if there is none or it was too large.
    """

    key: str
    request_id: str
    digest: str
    state: KeyState = KeyState.INTENDED
    answer: bytes = b""


def scoped_key(call: messages.RequestCall) -> str:
    """Returns the key of a call, scoped by tenant and service."""
    return "\x00".join((call.tenant, call.request.service, call.idempotency_key))


def digest_of(call: messages.RequestCall) -> str:
    """Returns a digest of a call's method, path and body, which is equal for true repeats."""
    request = call.request
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.method.encode(), request.path.encode(), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def encode_answer(answer: workers.ServiceResponse) -> bytes:
    """Encodes an answer for the journal; the result is empty if the answer is too large."""
    encoded = msgspec.msgpack.encode(answer)
    return encoded if len(encoded) <= ANSWER_LIMIT_BYTES else b""


def decode_answer(row: KeyRow, *, request_id: str) -> workers.ServiceResponse | None:
    """Returns the retained answer of a key, addressed to the request `request_id`, or None."""
    if not row.answer:
        return None
    answer = msgspec.msgpack.decode(row.answer, type=workers.ServiceResponse)
    return msgspec.structs.replace(answer, request_id=request_id)


class KeyedRequests:
    """Rows by key; only committed journal entries change a row."""

    def __init__(self, *, max_ended_keys: int = MAX_ENDED_KEYS) -> None:
        self._rows: dict[str, KeyRow] = {}
        self._ended: collections.deque[str] = collections.deque()
        self._max_ended_keys = max_ended_keys

    def get(self, key: str) -> KeyRow | None:
        """Returns the row of a key that must not run again, or None if it may run."""
        row = self._rows.get(key)
        return None if row is None or row.state == KeyState.RELEASED else row

    def rows(self) -> list[KeyRow]:
        """Returns all rows."""
        return list(self._rows.values())

    def apply(self, entry: journal_entries.Entry) -> bool:
        """Applies an entry to its row; returns whether the transition was allowed."""
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
        """Restores the rows of a snapshot."""
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
        while len(self._ended) > self._max_ended_keys:
            oldest = self._ended.popleft()
            row = self._rows.get(oldest)
            if row is not None and row.state != KeyState.INTENDED:
                del self._rows[oldest]
