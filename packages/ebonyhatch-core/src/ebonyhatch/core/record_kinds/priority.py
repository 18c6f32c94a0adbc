"""Records of priorities, which work classes refer to by name."""

from __future__ import annotations

from typing import Annotated

import msgspec
from ebonyhatch.core import record_schema

KIND = "priority"

Rank = Annotated[int, msgspec.Meta(ge=-1_000_000, le=1_000_000)]
"""Rank of a priority among all priorities."""


@record_schema.schema(kind=KIND, schema_version=1)
class Priority(record_schema.Record, frozen=True, kw_only=True):
    """A priority.

    Attributes:
        rank: Classes of the same urgency with a larger rank are served first.
    """

    rank: Rank
