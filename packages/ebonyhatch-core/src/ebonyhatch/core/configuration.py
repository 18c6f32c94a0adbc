"""The configuration in force: services, work classes and tenants of one generation."""

from __future__ import annotations

import msgspec
from ebonyhatch.core import entities


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A service that callers may send requests to.

    Attributes:
        name: Unique name, as in the path of a request.
        work_classes: Names of the work classes that its requests may use.
        default_class: Work class of a request that names none.
        body_limit_bytes: Maximum size of a request body, bytes.
        workers: Names of the failure domains whose workers host the service; empty for all.
    """

    name: str
    work_classes: tuple[str, ...]
    default_class: str
    body_limit_bytes: int = 1_000_000
    workers: tuple[str, ...] = ()


class InForce(msgspec.Struct, frozen=True, kw_only=True):
    """A complete configuration; generation 0 is empty, so no request is accepted under it."""

    generation: int
    services: tuple[Service, ...] = ()
    classes: tuple[entities.WorkClass, ...] = ()
    tenants: tuple[entities.Tenant, ...] = ()


EMPTY = InForce(generation=0)
