"""Decoding of JSON that other writers may have written, with one kind of error."""

from __future__ import annotations

from typing import TypeVar

import msgspec

T = TypeVar("T")


class UnreadableError(msgspec.DecodeError):
    """The bytes can't be decoded, whatever the decoder raised."""


def decode(value: bytes, kind: type[T]) -> T:
    """Returns a decoded value.

    Raises:
        UnreadableError: Also for what `msgspec` reports by other exceptions: deep nesting, numbers
            out of range and bytes that aren't UTF-8.
    """
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.DecodeError, RecursionError, ValueError, OverflowError) as error:
        raise UnreadableError(f"{type(error).__name__}: {error}") from error
