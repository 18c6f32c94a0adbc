"""Records of tenants with their shares."""

from __future__ import annotations

from typing import Annotated

import msgspec
from ebonyhatch.core import record_schema

KIND = "tenant"

Weight = Annotated[float, msgspec.Meta(ge=0.001, le=1e6)]
"""Share relative to other tenants of the same priority."""


@record_schema.schema(kind=KIND, schema_version=1)
class Tenant(record_schema.Record, frozen=True, kw_only=True):
    """A tenant.

    Attributes:
        weight: Share relative to other tenants of the same priority.
        quota: Most that its batch tasks may reserve at once; none for no quota.
    """

    weight: Weight = 1.0
    quota: record_schema.Demand | None = None
