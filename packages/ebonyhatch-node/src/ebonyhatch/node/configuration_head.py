"""The head record of the configuration, as the store and the peers hold it."""

from __future__ import annotations

import hashlib
from typing import Annotated

import msgspec
from ebonyhatch.core import record_changes
from ebonyhatch.node import configuration_errors
from ebonyhatch.ports import store
from returns import result

KEY = "configuration/head"
"""The one key of the configuration."""

FORMAT = 1
"""Format of the head that this release writes."""

HISTORY_LENGTH = 32
"""Generations that a head remembers, its own included."""

NAMES_REMEMBERED = 8
"""Records of each sort of change that a remembered generation names."""

Generation = Annotated[int, msgspec.Meta(ge=1, le=2**53)]
"""A generation; each is one more than the former."""


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
    """One whole generation.

    Attributes:
        format: Format of this struct.
        generation: The generation.
        history: The last generations, oldest first; the last one is this one.
        digest: SHA-256 of the records.
        records: The records in canonical JSON.
    """

    format: int
    generation: Generation
    history: tuple[Past, ...]
    digest: str
    records: msgspec.Raw

    def remembers(self, nonce: str) -> int | None:
        """Tell which generation a write made, if it is remembered."""
        for past in self.history:
            if past.nonce == nonce:
                return past.generation
        return None

    def changes_since(self, generation: int) -> tuple[record_changes.Changes, ...]:
        """List what later generations changed, as far as they are remembered."""
        return tuple(past.changes for past in self.history if past.generation > generation)


class _Format(msgspec.Struct, frozen=True):
    """The part of a head that every format has."""

    format: int


Decoded = result.Result[Head, configuration_errors.ConfigurationError]

_DECODER = msgspec.json.Decoder(Head)
_FORMAT_DECODER = msgspec.json.Decoder(_Format)


def successor(
    *, former: Head | None, records: bytes, nonce: str, written_at_s: float, generation: int
) -> Head:
    """Build the head that follows `former`."""
    old = bytes(former.records) if former is not None else b"[]"
    changes = record_changes.compare(old=old, new=records)
    past = Past(
        generation=generation,
        nonce=nonce,
        written_at_s=written_at_s,
        changes=_shortened(changes),
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
    """Encode a head for the store."""
    return msgspec.json.encode(head)


def decode(raw: bytes, *, source: str) -> Decoded:
    """Decode a head; `source` names in errors where it came from."""
    if len(raw) > store.VALUE_LIMIT_BYTES:
        return _corrupt(source, f"{len(raw)} bytes are too many")
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
        return _corrupt(source, "the records don't match their digest")
    if not head.history or head.history[-1].generation != head.generation:
        return _corrupt(source, "the history doesn't end with the generation")
    return result.Success(head)


def _corrupt(source: str, reason: str) -> Decoded:
    return result.Failure(configuration_errors.CorruptHeadError(source=source, reason=reason))


def _digest(records: bytes) -> str:
    return hashlib.sha256(records).hexdigest()


def _shortened(changes: record_changes.Changes) -> record_changes.Changes:
    return record_changes.Changes(
        added=changes.added[:NAMES_REMEMBERED],
        changed=changes.changed[:NAMES_REMEMBERED],
        removed=changes.removed[:NAMES_REMEMBERED],
    )
