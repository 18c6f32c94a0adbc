"""Records of operators: reading, validation, and conversion to the configuration in force."""

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
    """Reads and validates a complete set that an operator submits.

    Args:
        raw: JSON list of records, encoded or decoded.
        capacity: Capacity of the workers, if it is known.

    Returns:
        The set, or all its faults together.
    """
    reader = record_reading.Reader(previous=record_set.EMPTY, tolerant=False)
    records = reader.read(raw)
    faults = (*reader.faults, *record_validation.faults(records=records, capacity=capacity))
    if faults:
        return result.Failure(RecordFaults(faults=faults))
    return result.Success(records)


def read_accepted(raw: bytes | list[Any], *, previous: RecordSet) -> RecordSet:
    """Reads a set that was accepted by an entry, possibly one of a newer release.

    A record that cannot be interpreted is reported in `notices`. It is replaced by the record of
    the same name in an older schema version, or else by the one in `previous`, or else omitted.
    The rules are not applied, because this release may have rules that the accepting one did not
    have; only references to omitted records are removed.
    """
    reader = record_reading.Reader(previous=previous, tolerant=True)
    records = reader.read(raw)
    entries, notices = record_references.remove_dangling(records.entries)
    return RecordSet(entries=entries, notices=(*reader.faults, *records.notices, *notices))


def canonical(raw: bytes | list[Any]) -> bytes:
    """Returns a canonical encoding of a set: the same bytes whatever the order of its records."""
    items = msgspec.json.decode(raw) if isinstance(raw, bytes) else raw
    ordered = sorted(items, key=_sort_key)
    return msgspec.json.encode(ordered, order="deterministic")


def _sort_key(item: dict[str, Any]) -> tuple[str, str, int]:
    return (item["kind"], item["name"], item["schema_version"])


def in_force(records: RecordSet, generation: int) -> configuration.InForce:
    """Returns the configuration that a set of records describes, as generation `generation`."""
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
