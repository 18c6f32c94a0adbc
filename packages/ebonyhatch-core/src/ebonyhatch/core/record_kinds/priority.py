"""Records of priorities, to which work classes refer by name."""

from __future__ import annotations

from typing import Annotated

import msgspec
from ebonyhatch.core import record_schema

KIND = "priority"

Level = Annotated[int, msgspec.Meta(ge=-1_000_000, le=1_000_000)]
"""Rank of a priority."""


@record_schema.schema(kind=KIND, schema_version=1)
class Priority(record_schema.Record, frozen=True, kw_only=True):
    """A priority.

    Attributes:
        level: Larger goes first among classes of the same urgency.
    """

    level: Level
