"""Records of work classes, in two schema versions."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from ebonyhatch.core import record_schema

KIND = "work_class"

RunTime = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
"""Declared run time, seconds."""

Deadline = Annotated[float, msgspec.Meta(ge=0, le=86_400)]
"""Maximum time from arrival to response, seconds; 0 for no deadline."""

PolicyWeight = Annotated[float, msgspec.Meta(ge=-1e6, le=1e6)]
"""Weight of the scheduling policy."""


@record_schema.schema(kind=KIND, schema_version=1)
class WorkClassV1(record_schema.Record, frozen=True, kw_only=True):
    """A work class whose demand is written in flat fields.

    Attributes:
        urgent: Whether the class is latency-critical rather than batch.
        priority: Name of its priority record; empty for rank 0.
        deadline_s: Maximum time from arrival to response for urgent work; 0 for batch.
        slots: Declared demand of one task or request for slots.
        connections: Declared demand for connections.
        cores: Declared demand for processor cores.
        memory_gb: Declared demand for memory, gigabytes.
        idempotent: Whether a request may run more than once.
        expected_run_s: Declared run time.
    """

    urgent: bool
    priority: record_schema.OptionalName = ""
    deadline_s: Deadline = 0.0
    slots: record_schema.Count = 1
    connections: record_schema.Count = 1
    cores: record_schema.Amount = 0.0
    memory_gb: record_schema.Amount = 0.0
    idempotent: bool = True
    expected_run_s: RunTime = 1.0


@record_schema.schema(kind=KIND, schema_version=2)
class WorkClass(record_schema.Record, frozen=True, kw_only=True):
    """A work class.

    Attributes:
        urgency: Latency-critical or batch.
        priority: Name of its priority record; empty for rank 0.
        deadline_s: Maximum time from arrival to response for urgent work; 0 for batch.
        demand: Declared resource demand of one task or request of the class.
        idempotent: Whether a request may run more than once.
        expected_run_s: Declared run time.
        weights: Named weights of the scheduling policy.
    """

    urgency: Literal["urgent", "batch"]
    priority: record_schema.OptionalName = ""
    deadline_s: Deadline = 0.0
    demand: record_schema.Demand = record_schema.Demand(slots=1, connections=1)
    idempotent: bool = True
    expected_run_s: RunTime = 1.0
    weights: dict[str, PolicyWeight] = {}


@record_schema.upgrade(kind=KIND, from_version=1)
def from_v1(old: WorkClassV1) -> WorkClass:
    """Converts the flat demand fields to `demand`, and `urgent` to `urgency`."""
    demand = record_schema.Demand(
        slots=old.slots, connections=old.connections, cores=old.cores, memory_gb=old.memory_gb
    )
    return WorkClass(
        name=old.name,
        urgency="urgent" if old.urgent else "batch",
        priority=old.priority,
        deadline_s=old.deadline_s,
        demand=demand,
        idempotent=old.idempotent,
        expected_run_s=old.expected_run_s,
    )
