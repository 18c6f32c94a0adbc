"""Decoding the answers of the platform, which may hold anything."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

INTEGER_LIMIT = 2**63
"""Versions and epochs stay below."""

T = TypeVar("T")


class Done(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of a call that took effect and has no value."""

    done: bool


class BadAnswerError(ValueError):
    """An answer that can't be understood; never leaves the package."""


def decode(body: bytes, kind: type[T]) -> T:
    """Decode a JSON body.

    Raises:
        BadAnswerError: When it is not JSON of this kind.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise BadAnswerError(f"not a {kind.__name__}: {error}") from error


def check_count(value: int, name: str) -> int:
    """Check a version, an epoch or the like.

    Raises:
        BadAnswerError: When it is negative or too large.
    """
    if not 0 <= value < INTEGER_LIMIT:
        raise BadAnswerError(f"{name} {value} is out of range")
    return value


def check_amounts(value: Any) -> None:
    """Check that every number inside a struct is finite, not negative and not too large.

    Raises:
        BadAnswerError: When one is not.
    """
    if not _in_range(value):
        raise BadAnswerError(f"a number is out of range in {value}")


def _in_range(value: Any) -> bool:
    if isinstance(value, int | float):
        return 0 <= value < INTEGER_LIMIT
    if isinstance(value, msgspec.Struct):
        return all(map(_in_range, msgspec.structs.astuple(value)))
    if isinstance(value, tuple):
        return all(map(_in_range, value))
    return True
