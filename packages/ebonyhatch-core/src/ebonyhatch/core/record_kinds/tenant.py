"""Records of tenants, that is workspaces, with their shares of the capacity."""

from __future__ import annotations

from typing import Annotated

import msgspec
from ebonyhatch.core import record_schema

KIND = "tenant"

Weight = Annotated[float, msgspec.Meta(ge=0.001, le=1e6)]
"""Share of the capacity relative to other tenants of the same priority."""


@record_schema.schema(kind=KIND, schema_version=1)
class Tenant(record_schema.Record, frozen=True, kw_only=True):
    """A tenant.

    Attributes:
        weight: Share of the capacity relative to other tenants of the same priority.
        quota: Maximum that its batch tasks may reserve at a time; None for no quota.
    """

    weight: Weight = 1.0
    quota: record_schema.Demand | None = None
