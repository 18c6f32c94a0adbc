"""Entities that configuration and callers describe: work classes, tenants, jobs and requests."""

from __future__ import annotations

import enum

import msgspec
from ebonyhatch.core import resources


class Urgency(enum.StrEnum):
    """Whether work is latency-critical or batch."""

    URGENT = "urgent"
    BATCH = "batch"


class WorkClass(msgspec.Struct, frozen=True, kw_only=True):
    """A work class as operators configure it.

    Attributes:
        name: Unique name of the class.
        urgency: Latency-critical or batch.
        priority: Classes of the same urgency with a larger priority are served first.
        deadline_s: Maximum time from arrival to response for urgent work, seconds; 0 for batch.
        demand: Declared resource demand of one task or request of the class.
        idempotent: Whether a request of the class may run more than once.
        expected_run_s: Declared run time, seconds.
        weights: Named weights of the scheduling policy (see docs/design), e.g. `eviction_cost`.
    """

    name: str
    urgency: Urgency
    priority: int = 0
    deadline_s: float = 0.0
    demand: resources.Resources = resources.Resources(slots=1, connections=1)
    idempotent: bool = True
    expected_run_s: float = 1.0
    weights: dict[str, float] = {}


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """A tenant, that is a workspace, and its share of the capacity.

    Attributes:
        name: Unique name of the tenant.
        weight: Share of the capacity relative to other tenants of the same priority.
        quota: Maximum that the batch tasks of the tenant may reserve at a time; None for no quota.
    """

    name: str
    weight: float = 1.0
    quota: resources.Resources | None = None


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """A batch job as submitted.

    Attributes:
        job_id: Unique id of the job, chosen by the caller or by the entry (the instance of the
            daemon) that accepted it.
        work_class: Name of its work class.
        tenant: Name of its tenant.
        demand: Declared resource demand; it may be wrong by a factor of ten in either direction.
        expected_run_s: Declared run time, seconds; it may be wrong by the same factor.
        payload: Opaque input that is passed to the worker.
    """

    job_id: str
    work_class: str
    tenant: str
    demand: resources.Resources
    expected_run_s: float = 60.0
    payload: bytes = b""


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """A request as the scheduler sees it, without its body.

    Attributes:
        request_id: Id that identifies the request from the caller to the worker.
        service: Name of the service that it calls.
        work_class: Name of its work class.
        tenant: Name of its tenant.
        arrived_at: Time of arrival, seconds on the scheduler's clock.
        deadline_at: Time by which the response is due, seconds on the same clock.
        idempotent: Whether the request may run more than once.
        demand: Declared resource demand while the request runs.
    """

    request_id: str
    service: str
    work_class: str
    tenant: str
    arrived_at: float
    deadline_at: float
    idempotent: bool
    demand: resources.Resources
