"""The head record of the configuration: its encoding in the store and at peers."""

from __future__ import annotations

import hashlib
from typing import Annotated

import msgspec
from ebonyhatch.core import record_changes
from ebonyhatch.node import configuration_errors
from ebonyhatch.ports import store
from returns import result

KEY = "configuration/head"
"""Store key that holds the whole configuration."""

FORMAT = 1
"""Head format that this release writes."""

HISTORY_LENGTH = 32
"""Maximum number of generations in the history of a head, its own included."""

MAX_NAMES_PER_CHANGE = 8
"""Maximum number of record names per kind of change in a generation of the history."""

Generation = Annotated[int, msgspec.Meta(ge=1, le=2**53)]
"""Version number of the configuration, one more with each write; at most 2**53, up to which a double
represents every integer."""


class Past(msgspec.Struct, frozen=True, kw_only=True):
    """A generation that a head remembers.

    Attributes:
        generation: The generation.
        nonce: What the write that made it was marked with.
        written_at_s: When, seconds on the writer's clock.
        changes: What it changed; long lists are cut.
        changed_records: How many records it changed.
    """

    generation: Generation
    nonce: str
    written_at_s: float
    changes: record_changes.Changes
    changed_records: int


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """One complete generation.

    Attributes:
        format: Format of this struct.
        generation: Number of the generation.
        history: The latest generations, oldest first; the last element is this generation.
        digest: SHA-256 of the records.
        records: The records in canonical JSON.
    """

    format: int
    generation: Generation
    history: tuple[Past, ...]
    digest: str
    records: msgspec.Raw

    def generation_of_nonce(self, nonce: str) -> int | None:
        """Returns the generation that the write with this nonce made, if the history has it."""
        for past in self.history:
            if past.nonce == nonce:
                return past.generation
        return None

    def changes_since(self, generation: int) -> tuple[record_changes.Changes, ...]:
        """Returns the changes of later generations, as far as the history reaches."""
        return tuple(past.changes for past in self.history if past.generation > generation)


class _Format(msgspec.Struct, frozen=True):
    """The part of a head that all formats have in common."""

    format: int


Decoded = result.Result[Head, configuration_errors.ConfigurationError]

_DECODER = msgspec.json.Decoder(Head)
_FORMAT_DECODER = msgspec.json.Decoder(_Format)


def successor(
    *, former: Head | None, records: bytes, nonce: str, written_at_s: float, generation: int
) -> Head:
    """Returns the head that follows `former`."""
    old = bytes(former.records) if former is not None else b"[]"
    changes = record_changes.compare(old=old, new=records)
    past = Past(
        generation=generation,
        nonce=nonce,
        written_at_s=written_at_s,
        changes=_truncated(changes),
        changed_records=changes.count,
    )
    history = former.history if former is not None else ()
    return Head(
        format=FORMAT,
        generation=generation,
        history=(*history, past)[-HISTORY_LENGTH:],
        digest=_digest(records),
        records=msgspec.Raw(records),
    )


def encode(head: Head) -> bytes:
    """Encodes a head for the store."""
    return msgspec.json.encode(head)


def decode(raw: bytes, *, source: str) -> Decoded:
    """Decodes a head; errors name `source` as its origin."""
    if len(raw) > store.VALUE_LIMIT_BYTES:
        return _corrupt(source, f"{len(raw)} bytes exceed the size limit")
    try:
        head_format = _FORMAT_DECODER.decode(raw).format
        if head_format > FORMAT:
            error = configuration_errors.NewerFormatError(source=source, head_format=head_format)
            return result.Failure(error)
        head = _DECODER.decode(raw)
        records = msgspec.json.decode(head.records)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return _corrupt(source, str(error))
    if not isinstance(records, list) or _digest(bytes(head.records)) != head.digest:
        return _corrupt(source, "the records do not match their digest")
    if not head.history or head.history[-1].generation != head.generation:
        return _corrupt(source, "the history does not end with the generation")
    return result.Success(head)


def _corrupt(source: str, reason: str) -> Decoded:
    return result.Failure(configuration_errors.CorruptHeadError(source=source, reason=reason))


def _digest(records: bytes) -> str:
    return hashlib.sha256(records).hexdigest()


def _truncated(changes: record_changes.Changes) -> record_changes.Changes:
    return record_changes.Changes(
        added=changes.added[:MAX_NAMES_PER_CHANGE],
        changed=changes.changed[:MAX_NAMES_PER_CHANGE],
        removed=changes.removed[:MAX_NAMES_PER_CHANGE],
    )
