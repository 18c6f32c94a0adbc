"""Rules that a complete set of records must meet before it is accepted."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import msgspec
from ebonyhatch.core import record_faults, record_kinds, record_schema, record_set, resources


class Capacity(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity of the workers.

    Attributes:
        total: Sum over all workers.
        largest_worker: For each kind of resource, the largest amount of any single worker.
    """

    total: resources.Resources
    largest_worker: resources.Resources


Rule = Callable[[record_set.RecordSet, Capacity | None], Iterator[record_faults.Fault]]
_RULES: list[Rule] = []


def rule(function: Rule) -> Rule:
    """Registers a rule; a rule yields a fault for each violation."""
    _RULES.append(function)
    return function


def faults(
    *, records: record_set.RecordSet, capacity: Capacity | None
) -> tuple[record_faults.Fault, ...]:
    """Returns the violations of all rules, in the order in which the rules are defined."""
    return tuple(fault for each in _RULES for fault in each(records, capacity))


def to_resources(demand: record_schema.Demand) -> resources.Resources:
    """Returns the resources of a demand as written in a record."""
    return resources.Resources(**msgspec.structs.asdict(demand))


def _fault(entry: record_set.Entry, field: str, problem: str, remedy: str) -> record_faults.Fault:
    return record_faults.Fault(
        path=f"{entry.path}.{field}", record=entry.label, problem=problem, remedy=remedy
    )


@rule
def services_name_classes(
    records: record_set.RecordSet, capacity: Capacity | None
) -> Iterator[record_faults.Fault]:
    """Requires a record for each work class that a service refers to."""
    classes = records.by_name(record_kinds.work_class.KIND)
    for entry in records.of_kind(record_kinds.service.KIND):
        assert isinstance(entry.record, record_kinds.service.Service)
        for position, name in enumerate(entry.record.work_classes):
            if name not in classes:
                field = f"work_classes[{position}]"
                yield _fault(
                    entry, field, f"no record of the work class {name!r}", "add the record"
                )


@rule
def services_offer_default(
    records: record_set.RecordSet, capacity: Capacity | None
) -> Iterator[record_faults.Fault]:
    """Requires the default class of a service to be one of its work classes."""
    for entry in records.of_kind(record_kinds.service.KIND):
        assert isinstance(entry.record, record_kinds.service.Service)
        if entry.record.default_class not in entry.record.work_classes:
            problem = f"{entry.record.default_class!r} is not one of its work_classes"
            yield _fault(
                entry, "default_class", problem, "use one of them, or add this class to them"
            )


@rule
def services_take_urgent_classes(
    records: record_set.RecordSet, capacity: Capacity | None
) -> Iterator[record_faults.Fault]:
    """Requires services to use urgent classes only, because requests are latency-critical."""
    classes = records.by_name(record_kinds.work_class.KIND)
    for entry in records.of_kind(record_kinds.service.KIND):
        assert isinstance(entry.record, record_kinds.service.Service)
        for position, name in enumerate(entry.record.work_classes):
            found = classes.get(name)
            if found is None:
                continue
            assert isinstance(found.record, record_kinds.work_class.WorkClass)
            if found.record.urgency != "urgent":
                field = f"work_classes[{position}]"
                yield _fault(entry, field, f"{name!r} is a batch class", "use an urgent class")


@rule
def classes_name_priorities(
    records: record_set.RecordSet, capacity: Capacity | None
) -> Iterator[record_faults.Fault]:
    """Requires a record for the priority that a work class refers to."""
    priorities = records.by_name(record_kinds.priority.KIND)
    for entry in records.of_kind(record_kinds.work_class.KIND):
        assert isinstance(entry.record, record_kinds.work_class.WorkClass)
        name = entry.record.priority
        if name and name not in priorities:
            yield _fault(entry, "priority", f"no record of the priority {name!r}", "add the record")


@rule
def deadlines_match_urgency(
    records: record_set.RecordSet, capacity: Capacity | None
) -> Iterator[record_faults.Fault]:
    """Requires a deadline for urgent classes, and none for batch classes."""
    for entry in records.of_kind(record_kinds.work_class.KIND):
        assert isinstance(entry.record, record_kinds.work_class.WorkClass)
        urgent = entry.record.urgency == "urgent"
        if urgent and entry.record.deadline_s == 0.0:
            yield _fault(entry, "deadline_s", "an urgent class needs a deadline", "set it above 0")
        if not urgent and entry.record.deadline_s > 0.0:
            yield _fault(entry, "deadline_s", "a batch class has no deadline", "remove it")


@rule
def runs_end_before_deadlines(
    records: record_set.RecordSet, capacity: Capacity | None
) -> Iterator[record_faults.Fault]:
    """Refuses urgent classes whose run time exceeds the deadline: no response could be in time."""
    for entry in records.of_kind(record_kinds.work_class.KIND):
        assert isinstance(entry.record, record_kinds.work_class.WorkClass)
        if 0.0 < entry.record.deadline_s < entry.record.expected_run_s:
            problem = f"the run time exceeds the deadline of {entry.record.deadline_s} s"
            yield _fault(entry, "expected_run_s", problem, "lower it, or raise deadline_s")


@rule
def classes_use_something(
    records: record_set.RecordSet, capacity: Capacity | None
) -> Iterator[record_faults.Fault]:
    """Requires at least one slot: the number of tasks without a slot would be unlimited."""
    for entry in records.of_kind(record_kinds.work_class.KIND):
        assert isinstance(entry.record, record_kinds.work_class.WorkClass)
        if entry.record.demand.slots == 0:
            yield _fault(
                entry, "demand.slots", "every task uses at least one slot", "set it to 1 or more"
            )


@rule
def classes_fit_a_worker(
    records: record_set.RecordSet, capacity: Capacity | None
) -> Iterator[record_faults.Fault]:
    """Refuses classes that are too large for every worker, because their work could never run."""
    if capacity is None:
        return
    for entry in records.of_kind(record_kinds.work_class.KIND):
        assert isinstance(entry.record, record_kinds.work_class.WorkClass)
        demand = to_resources(entry.record.demand)
        for field, problem in _excess(demand, capacity.largest_worker, "of the largest worker"):
            yield _fault(entry, f"demand.{field}", problem, "lower it to fit a worker")


@rule
def quotas_fit_capacity(
    records: record_set.RecordSet, capacity: Capacity | None
) -> Iterator[record_faults.Fault]:
    """Refuses quotas above the capacity of all workers: they promise capacity that is missing."""
    if capacity is None:
        return
    for entry in records.of_kind(record_kinds.tenant.KIND):
        assert isinstance(entry.record, record_kinds.tenant.Tenant)
        if entry.record.quota is None:
            continue
        quota = to_resources(entry.record.quota)
        for field, problem in _excess(quota, capacity.total, "of all workers together"):
            yield _fault(entry, f"quota.{field}", problem, "lower it, or add workers first")


def _excess(
    demand: resources.Resources, limit: resources.Resources, scope: str
) -> Iterator[tuple[str, str]]:
    for field in demand.__struct_fields__:
        if getattr(demand, field) > getattr(limit, field):
            yield field, f"{getattr(demand, field)} exceeds the {getattr(limit, field)} {scope}"
