"""Decoding the answers of the platform, which may hold anything."""

from __future__ import annotations

import math
from typing import Any, TypeVar

import msgspec

INTEGER_LIMIT = 2**63
"""Versions and epochs stay below."""

T = TypeVar("T")


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


def check_amounts(value: Any, path: str) -> None:
    """Check that every number inside is finite and not negative.

    Raises:
        BadAnswerError: When one is not.
    """
    if isinstance(value, msgspec.Struct):
        for name in value.__struct_fields__:
            check_amounts(getattr(value, name), f"{path}.{name}")
    elif isinstance(value, tuple):
        for item in value:
            check_amounts(item, path)
    elif isinstance(value, int | float) and not (0 <= value < math.inf):
        raise BadAnswerError(f"{path} {value} is out of range")
    elif isinstance(value, int):
        check_count(value, path)
