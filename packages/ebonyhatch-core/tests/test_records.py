"""Reading, validation and comparison of records, and sets that a newer release wrote."""

import json

import pytest
from ebonyhatch.core import (
    entities,
    record_changes,
    record_fields,
    record_reading,
    records,
    resources,
)
from hypothesis import given, settings
from hypothesis import strategies as st

ACCEPTED = [
    {"kind": "priority", "name": "top", "schema_version": 1, "rank": 5},
    {
        "kind": "work_class",
        "name": "quotes",
        "schema_version": 2,
        "urgency": "urgent",
        "priority": "top",
        "deadline_s": 1.5,
        "demand": {"slots": 1, "cores": 0.5},
    },
    {"kind": "work_class", "name": "plans", "schema_version": 1, "urgent": False, "slots": 2},
    {
        "kind": "service",
        "name": "orders",
        "schema_version": 1,
        "work_classes": ["quotes"],
        "default_class": "quotes",
    },
    {"kind": "tenant", "name": "darkhan", "schema_version": 1, "quota": {"slots": 40}},
]

CAPACITY = records.Capacity(
    total=resources.Resources(slots=32, connections=512, cores=128, memory_gb=500),
    largest_worker=resources.Resources(slots=8, connections=64, cores=32, memory_gb=125),
)

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
NEAR_RECORDS = st.lists(
    st.builds(
        lambda record, field, value: {**record, field: value},
        st.sampled_from(ACCEPTED),
        st.sampled_from(sorted({field for record in ACCEPTED for field in record})),
        JSON,
    ),
    max_size=4,
)


def changed(index, **fields):
    return [{**r, **fields} if i == index else r for i, r in enumerate(ACCEPTED)]


def paths(read):
    return [fault.path for fault in read.failure().faults]


def test_schema_versions_can_be_mixed_in_a_set():
    in_force = records.in_force(records.read(ACCEPTED).unwrap(), 3)
    quotes, plans = in_force.classes
    assert (in_force.generation, quotes.priority, plans.priority) == (3, 5, 0)
    assert plans.urgency is entities.Urgency.BATCH
    assert plans.demand.slots == 2
    assert in_force.tenants[0].quota.slots == 40


@pytest.mark.parametrize(
    ("raw", "path"),
    [
        (changed(1, priority="none"), "records[1].priority"),
        (changed(1, deadline_s=0), "records[1].deadline_s"),
        (changed(1, expected_run_s=2), "records[1].expected_run_s"),
        (changed(1, demand={}), "records[1].demand.slots"),
        (changed(1, demand={"slots": 9}), "records[1].demand.slots"),
        (changed(2, deadline_s=1), "records[2].deadline_s"),
        (changed(3, work_classes=["quotes", "gone"]), "records[3].work_classes[1]"),
        (changed(3, work_classes=["quotes", "plans"]), "records[3].work_classes[1]"),
        (changed(3, default_class="plans"), "records[3].default_class"),
        (changed(0, rank=True), "records[0].rank"),
        (changed(4, weigth=2), "records[4].'weigth'"),
        (changed(4, schema_version=7), "records[4].schema_version"),
        (changed(4, kind="teams"), "records[4].kind"),
        (changed(4, name="Not A Name"), "records[4]"),
        ([*ACCEPTED, ACCEPTED[0]], "records[5]"),
        (b"[" * 100_000, "records"),
        (b"{}", "records"),
    ],
)
def test_each_fault_has_path_and_remedy(raw, path):
    faults = records.read(raw, capacity=CAPACITY).failure().faults
    assert path in [fault.path for fault in faults]
    assert all(fault.problem and fault.remedy for fault in faults)


def test_all_faults_are_listed_together():
    raw = changed(1, priority="none", deadline_s=0)
    raw[4] = {**raw[4], "weight": "heavy", "quota": {"slots": -1, "cors": 1}}
    assert sorted(paths(records.read(raw, capacity=CAPACITY))) == [
        "records[1].deadline_s",
        "records[1].priority",
        "records[4].quota.'cors'",
        "records[4].quota.slots",
        "records[4].weight",
    ]


def test_quota_above_capacity_is_refused_only_where_capacity_is_known():
    assert paths(records.read(ACCEPTED, capacity=CAPACITY)) == ["records[4].quota.slots"]
    assert records.read(ACCEPTED).unwrap().notices == ()


def test_record_of_a_newer_schema_is_replaced_by_the_previous_one():
    before = records.read(ACCEPTED).unwrap()
    newer = changed(1, schema_version=9, unheard_of=True)
    replaced = records.read_accepted(newer, previous=before)
    assert replaced.by_name("work_class")["quotes"].record == before.entries[1].record
    assert "newer than 2" in replaced.notices[0].problem
    again = records.read_accepted(newer, previous=replaced)
    assert again.by_name("work_class") == replaced.by_name("work_class")


def test_older_schema_version_in_the_same_set_is_used():
    both = [*ACCEPTED, {**ACCEPTED[1], "schema_version": 9, "unheard_of": 1}]
    assert "quotes@2 stays in force" in records.read(both).unwrap().notices[0].problem


def test_new_entry_omits_records_that_it_cannot_interpret():
    raw = changed(3, work_classes=["quotes", "express"])
    raw.append({"kind": "work_class", "name": "express", "schema_version": 9})
    read = records.read_accepted(raw, previous=records.RecordSet())
    assert records.in_force(read, 1).services[0].work_classes == ("quotes",)
    assert [notice.record for notice in read.notices] == [
        "work_class/express@9",
        "service/orders@1",
    ]
    without_class = records.read_accepted(
        changed(1, schema_version=9), previous=records.RecordSet()
    )
    assert records.in_force(without_class, 1).services == ()


def test_changes_name_the_records():
    new = json.dumps([*changed(0, rank=6)[:4]]).encode()
    changes = record_changes.compare(old=json.dumps(ACCEPTED).encode(), new=new)
    assert str(changes) == "changed priority/top@1; removed tenant/darkhan@1"


def test_faults_are_bounded():
    wide = {**ACCEPTED[0], **{f"field-{number}": 1 for number in range(5_000)}}
    assert len(paths(records.read([wide]))) <= record_fields.MAX_UNKNOWN_FIELDS
    many = paths(records.read([{}] * 5_000))
    assert len(many) == record_reading.MAX_FAULTS + 1
    assert many[-1] == f"records[{record_reading.MAX_FAULTS}]"


@settings(derandomize=True, deadline=None, max_examples=300)
@given(raw=JSON | NEAR_RECORDS | st.binary(max_size=40))
def test_any_input_is_read_or_refused_with_faults(raw):
    for read in (records.read(raw, capacity=CAPACITY), records.read(raw)):
        accepted = read.value_or(None)
        if accepted is not None:
            records.in_force(accepted, 1)
            assert records.read(records.canonical(raw)).unwrap().notices == accepted.notices
        else:
            assert all(fault.remedy for fault in read.failure().faults)
    records.in_force(records.read_accepted(raw, previous=records.RecordSet()), 1)
