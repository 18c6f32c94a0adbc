"""Rules that a whole set of records must meet before it is accepted."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import msgspec
from ebonyhatch.core import record_faults, record_kinds, record_schema, record_set, resources


class Capacity(msgspec.Struct, frozen=True, kw_only=True):
    """What the workers hold.

    Attributes:
        total: The sum over all workers.
        largest_worker: The most of each kind that one worker holds.
    """

    total: resources.Resources
    largest_worker: resources.Resources


Rule = Callable[[record_set.RecordSet, Capacity | None], Iterator[record_faults.Fault]]
_RULES: list[Rule] = []


def rule(function: Rule) -> Rule:
    """Register a rule; it yields a fault for everything that breaks it."""
    _RULES.append(function)
    return function


def faults(
    *, records: record_set.RecordSet, capacity: Capacity | None
) -> tuple[record_faults.Fault, ...]:
    """List everything that breaks any rule."""
    return tuple(fault for each in _RULES for fault in each(records, capacity))


def to_resources(demand: record_schema.Demand) -> resources.Resources:
    """Turn a demand as written into an amount."""
    return resources.Resources(**msgspec.structs.asdict(demand))


def _fault(entry: record_set.Entry, field: str, problem: str, remedy: str) -> record_faults.Fault:
    return record_faults.Fault(
        path=f"{entry.path}.{field}", record=entry.label, problem=problem, remedy=remedy
    )


@rule
def services_name_classes(
    records: record_set.RecordSet, capacity: Capacity | None
) -> Iterator[record_faults.Fault]:
    """Each work class that a service names must be there."""
    classes = records.by_name(record_kinds.work_class.KIND)
    for entry in records.of_kind(record_kinds.service.KIND):
        assert isinstance(entry.record, record_kinds.service.Service)
        for position, name in enumerate(entry.record.work_classes):
            if name not in classes:
                field = f"work_classes[{position}]"
                yield _fault(entry, field, f"there is no work class {name!r}", "add its record")


@rule
def services_offer_default(
    records: record_set.RecordSet, capacity: Capacity | None
) -> Iterator[record_faults.Fault]:
    """The default class of a service must be among its classes."""
    for entry in records.of_kind(record_kinds.service.KIND):
        assert isinstance(entry.record, record_kinds.service.Service)
        if entry.record.default_class not in entry.record.work_classes:
            problem = f"{entry.record.default_class!r} isn't one of its work_classes"
            yield _fault(entry, "default_class", problem, "name one of them, or add it to them")


@rule
def services_take_urgent_classes(
    records: record_set.RecordSet, capacity: Capacity | None
) -> Iterator[record_faults.Fault]:
    """Requests are latency-critical, so services use urgent classes only."""
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
                yield _fault(entry, field, f"{name!r} is a batch class", "name an urgent class")


@rule
def classes_name_priorities(
    records: record_set.RecordSet, capacity: Capacity | None
) -> Iterator[record_faults.Fault]:
    """The priority that a class names must be there."""
    priorities = records.by_name(record_kinds.priority.KIND)
    for entry in records.of_kind(record_kinds.work_class.KIND):
        assert isinstance(entry.record, record_kinds.work_class.WorkClass)
        name = entry.record.priority
        if name and name not in priorities:
            yield _fault(entry, "priority", f"there is no priority {name!r}", "add its record")


@rule
def deadlines_match_urgency(
    records: record_set.RecordSet, capacity: Capacity | None
) -> Iterator[record_faults.Fault]:
    """Urgent classes have a deadline, batch classes have none."""
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
    """An urgent class whose run takes longer than its deadline can never be answered in time."""
    for entry in records.of_kind(record_kinds.work_class.KIND):
        assert isinstance(entry.record, record_kinds.work_class.WorkClass)
        if 0.0 < entry.record.deadline_s < entry.record.expected_run_s:
            problem = f"it is longer than the deadline of {entry.record.deadline_s} s"
            yield _fault(entry, "expected_run_s", problem, "lower it, or raise deadline_s")


@rule
def classes_use_something(
    records: record_set.RecordSet, capacity: Capacity | None
) -> Iterator[record_faults.Fault]:
    """Work without a slot would be placed without any limit."""
    for entry in records.of_kind(record_kinds.work_class.KIND):
        assert isinstance(entry.record, record_kinds.work_class.WorkClass)
        if entry.record.demand.slots == 0:
            yield _fault(entry, "demand.slots", "every task uses a slot", "set it to 1 or more")


@rule
def classes_fit_a_worker(
    records: record_set.RecordSet, capacity: Capacity | None
) -> Iterator[record_faults.Fault]:
    """Work larger than every worker could never run."""
    if capacity is None:
        return
    for entry in records.of_kind(record_kinds.work_class.KIND):
        assert isinstance(entry.record, record_kinds.work_class.WorkClass)
        demand = to_resources(entry.record.demand)
        for field, problem in _excess(demand, capacity.largest_worker, "the largest worker holds"):
            yield _fault(entry, f"demand.{field}", problem, "lower it to fit a worker")


@rule
def quotas_fit_capacity(
    records: record_set.RecordSet, capacity: Capacity | None
) -> Iterator[record_faults.Fault]:
    """A quota above what all workers hold promises what isn't there."""
    if capacity is None:
        return
    for entry in records.of_kind(record_kinds.tenant.KIND):
        assert isinstance(entry.record, record_kinds.tenant.Tenant)
        if entry.record.quota is None:
            continue
        quota = to_resources(entry.record.quota)
        for field, problem in _excess(quota, capacity.total, "all workers hold"):
            yield _fault(entry, f"quota.{field}", problem, "lower it, or add workers first")


def _excess(
    wanted: resources.Resources, room: resources.Resources, holder: str
) -> Iterator[tuple[str, str]]:
    for field in wanted.__struct_fields__:
        if getattr(wanted, field) > getattr(room, field):
            yield field, f"{getattr(wanted, field)} is more than the {getattr(room, field)} {holder}"
