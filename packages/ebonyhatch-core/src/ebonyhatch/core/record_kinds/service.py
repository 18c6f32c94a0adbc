"""Records of services that callers may send requests to."""

from __future__ import annotations

from typing import Annotated

import msgspec
from ebonyhatch.core import record_schema

KIND = "service"

BodyLimit = Annotated[int, msgspec.Meta(ge=0, le=64_000_000)]
"""Maximum size of a request body, bytes."""


@record_schema.schema(kind=KIND, schema_version=1)
class Service(record_schema.Record, frozen=True, kw_only=True):
    """A service.

    Attributes:
        work_classes: Names of the work classes that its requests may use.
        default_class: Work class of a request that names none.
        body_limit_bytes: Maximum size of a request body.
        failure_domains: Failure domains whose workers host the service; empty for all.
    """

    work_classes: tuple[record_schema.Name, ...]
    default_class: record_schema.Name
    body_limit_bytes: BodyLimit = 1_000_000
    failure_domains: tuple[str, ...] = ()
