"""Format of the values that a cell keeps in the store: version, checksum, MessagePack body."""

from __future__ import annotations

import zlib
from typing import TypeVar

import msgspec
from ebonyhatch.core import errors

FORMAT_VERSION = 1
"""Version of the format that this release writes, and the newest that it reads."""

_HEADER_BYTES = 5

T = TypeVar("T")


class CorruptValueError(errors.EbonyhatchError):
    """A value in the store can't be read."""

    def __init__(self, *, key: str, reason: str) -> None:
        super().__init__(
            problem=f"the value of store key {key} is corrupt: {reason}",
            remedy=f"restore {key} from a backup of the store, or move it away to go on"
            " without its contents; nothing was changed",
        )
        self.key = key
        self.reason = reason


class NewerFormatError(errors.EbonyhatchError):
    """A value was written by a newer release."""

    def __init__(self, *, key: str, version: int) -> None:
        super().__init__(
            problem=f"the value of store key {key} has format version {version}, newer than"
            f" {FORMAT_VERSION}",
            remedy="run the release that wrote it, or a newer one; nothing was changed",
        )
        self.key = key
        self.version = version


def encode(value: msgspec.Struct) -> bytes:
    """Returns a value encoded with its format version and checksum."""
    body = msgspec.msgpack.encode(value)
    return bytes([FORMAT_VERSION]) + zlib.crc32(body).to_bytes(4, "big") + body


def decode(*, key: str, value: bytes, kind: type[T]) -> T:
    """Returns the decoded value that was read from `key`.

    Raises:
        CorruptValueError: When the checksum or the fields are wrong.
        NewerFormatError: When a newer release wrote it.
    """
    if len(value) < _HEADER_BYTES:
        raise CorruptValueError(key=key, reason=f"only {len(value)} bytes")
    if value[0] > FORMAT_VERSION:
        raise NewerFormatError(key=key, version=value[0])
    body = value[_HEADER_BYTES:]
    if zlib.crc32(body) != int.from_bytes(value[1:_HEADER_BYTES], "big"):
        raise CorruptValueError(key=key, reason="checksum mismatch")
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise CorruptValueError(key=key, reason=str(error)) from error
