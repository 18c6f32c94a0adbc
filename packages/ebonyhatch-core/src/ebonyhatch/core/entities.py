"""The entities that configuration and callers describe: classes, tenants, jobs, requests."""

from __future__ import annotations

import enum

import msgspec
from ebonyhatch.core import resources


class Urgency(enum.StrEnum):
    """Whether work is latency-critical or batch."""

    URGENT = "urgent"
    BATCH = "batch"


class WorkClass(msgspec.Struct, frozen=True, kw_only=True):
    """A work class as operators describe it.

    Attributes:
        name: Unique name of the class.
        urgency: Latency-critical or batch.
        priority: Larger goes first among classes of the same urgency.
        deadline_s: Longest time from arrival to answer for urgent work, seconds; 0 for batch.
        demand: What one task or request of the class declares to use.
        idempotent: Whether a request may run more than once.
        expected_run_s: Declared run time, seconds.
        weights: Named weights of the policy (see docs/design), e.g. `eviction_cost`.
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
    """A tenant with its share.

    Attributes:
        name: Unique name of the tenant.
        weight: Share relative to other tenants of the same priority.
        quota: Most that the tenant's batch tasks may reserve at once; None for no quota.
    """

    name: str
    weight: float = 1.0
    quota: resources.Resources | None = None


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """A batch job as submitted.

    Attributes:
        job_id: Unique id of the job, chosen by the caller or by the entry that took it.
        work_class: Name of its work class.
        tenant: Name of its tenant.
        demand: What the job declares to use; it may be off by ten times either way.
        expected_run_s: Declared run time, seconds; may be off likewise.
        payload: Opaque input handed to the worker.
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
        request_id: One id from end to end.
        service: Name of the service that is called.
        work_class: Name of its work class.
        tenant: Name of its tenant.
        arrived_at: Arrival, seconds on the scheduler's clock.
        deadline_at: Time by which the answer is due, same clock.
        idempotent: Whether it may run more than once.
        demand: What it declares to use while it runs.
    """

    request_id: str
    service: str
    work_class: str
    tenant: str
    arrived_at: float
    deadline_at: float
    idempotent: bool
    demand: resources.Resources
