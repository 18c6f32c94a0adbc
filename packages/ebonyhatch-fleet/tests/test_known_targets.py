from __future__ import annotations

import random

import msgspec
import pytest
from ebonyhatch.fleet import jobs, known_targets, progress, queues, rows, targets
from placed import run_on

QUEUE = queues.Queue(name="q", host="h", prefix="/q/", pool="p")
MAX_GROUP_BYTES = 25_000
TARGET = targets.Target(target_id="t", address="t:1", pool="p", failure_domain="a", born=1)


@pytest.mark.parametrize("seed", range(20))
def test_a_record_kept_from_before_equals_a_new_one(seed):
    pick = random.Random(seed)
    job = jobs.Job(job_id="0" * 16, queue="q", spec="", steps=(jobs.Step(count=40),))
    step = progress.new_steps(rows.JobRow(job=job, queue=QUEUE), 0)[0]
    row = rows.TargetRow(target=TARGET)
    recorded = None
    for index in range(40):
        field = pick.choice(("confirmed", "reachable", "listed"))
        setattr(row, field, pick.random() < 0.8)
        if pick.random() < 0.2:
            changed = {"draining": pick.random() < 0.5, "born": pick.randrange(3)}
            row.target = msgspec.structs.replace(row.target, **changed)
        if pick.random() < 0.5:
            run_on(row, step, index)
        recorded = known_targets.describe(row, recorded=recorded)
        assert recorded == known_targets.describe(row)


def _known(name: str, *, tasks: tuple[str, ...] = ()) -> known_targets.KnownTarget:
    target = msgspec.structs.replace(TARGET, target_id=name, address=f"10.100.200.{len(name)}:8169")
    return known_targets.KnownTarget(target=target, takes_runs=not tasks, tasks=tasks)


def _fleet(count: int) -> known_targets.KnownTargets:
    return {f"i-{number:016x}": _known(f"i-{number:016x}") for number in range(count)}


def _stored(records: known_targets.Records, known: known_targets.KnownTargets) -> dict[int, bytes]:
    """Takes the changed groups and returns them as they are stored."""
    changed = records.changed(known)
    records.take(changed)
    return {number: known_targets.encode(group) for number, group in changed.items()}


def test_only_the_group_of_a_changed_target_is_written_again():
    records = known_targets.Records()
    known = _fleet(300)
    stored = _stored(records, known)
    assert set(stored) == {known_targets.group_of(name) for name in known}
    assert _stored(records, dict(known)) == {}
    changed = "i-" + f"{77:016x}"
    known[changed] = _known(changed, tasks=("t",))
    again = _stored(records, known)
    assert list(again) == [known_targets.group_of(changed)]
    assert known_targets.decode_groups((stored | again).values()) == known
    assert records.targets == known


def test_target_that_leaves_is_removed_from_its_group_and_the_last_one_empties_it():
    records = known_targets.Records()
    known = _fleet(3)
    stored = _stored(records, known)
    left = next(iter(known))
    number = known_targets.group_of(left)
    assert all(known_targets.group_of(name) != number for name in known if name != left)
    del known[left]
    again = _stored(records, known)
    assert again == {number: known_targets.encode({})}
    assert _stored(records, known) == {}
    assert known_targets.decode_groups((stored | again).values()) == known


def test_groups_not_taken_for_writing_stay_changed():
    records = known_targets.Records()
    known = _fleet(5)
    assert records.changed(known) == records.changed(known) != {}
    assert records.targets == {}


def test_restored_records_are_not_written_again_until_they_change():
    before = known_targets.Records()
    known = _fleet(50)
    values = _stored(before, known).values()
    records = known_targets.Records()
    records.restore(known_targets.decode_groups(values))
    assert records.targets == known
    assert records.changed(known) == {}
    assert set(records.changed({})) == {known_targets.group_of(name) for name in known}


def test_record_of_a_group_is_small_at_3300_targets():
    stored = _stored(known_targets.Records(), _fleet(3_300))
    assert len(stored) == known_targets.GROUPS
    assert max(len(value) for value in stored.values()) <= MAX_GROUP_BYTES
