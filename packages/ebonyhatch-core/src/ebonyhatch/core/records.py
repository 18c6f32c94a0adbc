"""Operators' records: reading, validation and the configuration that they put in force."""

from __future__ import annotations

from typing import Any

import msgspec
from ebonyhatch.core import (
    configuration,
    entities,
    record_faults,
    record_kinds,
    record_reading,
    record_references,
    record_set,
    record_validation,
)
from returns import result

Capacity = record_validation.Capacity
Fault = record_faults.Fault
RecordFaults = record_faults.RecordFaults
RecordSet = record_set.RecordSet
ReadResult = result.Result[record_set.RecordSet, record_faults.RecordFaults]


def read(raw: bytes | list[Any], *, capacity: Capacity | None = None) -> ReadResult:
    """Read and validate a whole set as an operator offers it.

    Args:
        raw: JSON list of records, encoded or decoded.
        capacity: What the workers hold, if it is known.

    Returns:
        The set, or every fault at once.
    """
    reader = record_reading.Reader(previous=record_set.EMPTY, tolerant=False)
    records = reader.read(raw)
    found = (*reader.faults, *record_validation.faults(records=records, capacity=capacity))
    if found:
        return result.Failure(RecordFaults(faults=found))
    return result.Success(records)


def read_accepted(raw: bytes | list[Any], *, previous: RecordSet) -> RecordSet:
    """Read a set that some entry, perhaps a newer one, has accepted.

    What isn't understood is reported in `notices` and replaced by the record of the same name
    in an older schema version, else by the one in `previous`, else left out. Rules that this
    release may have added since are not held against it; only references to what is left out go.
    """
    reader = record_reading.Reader(previous=previous, tolerant=True)
    records = reader.read(raw)
    entries, notices = record_references.remove_dangling(records.entries)
    return RecordSet(entries=entries, notices=(*reader.faults, *records.notices, *notices))


def canonical(raw: bytes | list[Any]) -> bytes:
    """Encode a set that was read so that equal sets are equal bytes, whatever their order."""
    items = msgspec.json.decode(raw) if isinstance(raw, bytes) else raw
    ordered = sorted(items, key=_order)
    return msgspec.json.encode(ordered, order="deterministic")


def _order(item: dict[str, Any]) -> tuple[str, str, int]:
    return (item["kind"], item["name"], item["schema_version"])


def in_force(records: RecordSet, generation: int) -> configuration.InForce:
    """Put a set in force as one generation."""
    ranks = _ranks(records)
    return configuration.InForce(
        generation=generation,
        services=tuple(_service(entry.record) for entry in records.of_kind("service")),
        classes=tuple(_work_class(entry, ranks) for entry in records.of_kind("work_class")),
        tenants=tuple(_tenant(entry.record) for entry in records.of_kind("tenant")),
    )


def _service(record: Any) -> configuration.Service:
    return configuration.Service(
        name=record.name,
        work_classes=record.work_classes,
        default_class=record.default_class,
        body_limit_bytes=record.body_limit_bytes,
        workers=record.failure_domains,
    )


def _work_class(entry: record_set.Entry, ranks: dict[str, int]) -> entities.WorkClass:
    record = entry.record
    assert isinstance(record, record_kinds.work_class.WorkClass)
    return entities.WorkClass(
        name=record.name,
        urgency=entities.Urgency(record.urgency),
        priority=ranks.get(record.priority, 0),
        deadline_s=record.deadline_s,
        demand=record_validation.to_resources(record.demand),
        idempotent=record.idempotent,
        expected_run_s=record.expected_run_s,
        weights=record.weights,
    )


def _ranks(records: RecordSet) -> dict[str, int]:
    return {
        name: entry.record.rank
        for name, entry in records.by_name(record_kinds.priority.KIND).items()
        if isinstance(entry.record, record_kinds.priority.Priority)
    }


def _tenant(record: Any) -> entities.Tenant:
    quota = None if record.quota is None else record_validation.to_resources(record.quota)
    return entities.Tenant(name=record.name, weight=record.weight, quota=quota)
