"""Records of priorities, to which work classes refer by name."""

from __future__ import annotations

from typing import Annotated

import msgspec
from ebonyhatch.core import record_schema

KIND = "priority"

Rank = Annotated[int, msgspec.Meta(ge=-1_000_000, le=1_000_000)]
"""Place of a priority among the others."""


@record_schema.schema(kind=KIND, schema_version=1)
class Priority(record_schema.Record, frozen=True, kw_only=True):
    """A priority.

    Attributes:
        rank: Larger goes first among classes of the same urgency.
    """

    rank: Rank
