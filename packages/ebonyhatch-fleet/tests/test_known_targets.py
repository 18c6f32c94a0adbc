from __future__ import annotations

import random

import msgspec
import pytest
import world as world_module
from ebonyhatch.fleet import (
    jobs,
    keys,
    known_targets,
    owner,
    progress,
    queues,
    rows,
    store,
    targets,
)
from placed import run_on

QUEUE = queues.Queue(name="q", host="h", prefix="/q/", pool="p")
MAX_GROUP_BYTES = 25_000
TARGET = targets.Target(target_id="t", address="t:1", pool="p", failure_domain="a", born=1)


@pytest.mark.parametrize("seed", range(20))
def test_a_record_kept_from_before_equals_a_new_one(seed):
    pick = random.Random(seed)
    job = jobs.Job(job_id="0" * 16, queue="q", spec="", steps=(jobs.Step(count=40),))
    step = progress.new_steps(rows.JobRow(job=job, queue=QUEUE), 0)[0]
    row = rows.TargetRow(target=TARGET, last_report_at=1.0)
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


@pytest.mark.parametrize("confirmed", [True, False])
def test_record_of_a_target_that_was_not_heard_from_keeps_the_tasks_of_the_former_owner(confirmed):
    """Guards against tasks that wait for each lost target as if it might run any of them."""
    former = known_targets.KnownTarget(target=TARGET, takes_runs=False, tasks=("a.0.0.0",))
    row = rows.TargetRow(target=TARGET, reachable=False)
    assert known_targets.describe(row, recorded=former) == former
    restarted = msgspec.structs.replace(TARGET, born=2)
    row.target, row.recently_restarted = restarted, True
    kept = known_targets.describe(row, recorded=former)
    assert kept.tasks == former.tasks and not kept.takes_runs
    assert kept.target is restarted and kept.restarted
    row.last_report_at, row.confirmed = 5.0, confirmed
    heard = known_targets.describe(row, recorded=kept)
    assert heard.tasks == () and heard.takes_runs is not confirmed
    row.reachable = row.confirmed = True
    assert known_targets.describe(row, recorded=kept).takes_runs


def test_record_of_a_target_that_may_take_runs_says_so_until_it_is_heard_from():
    """Guards against a second run of a task that a former owner ordered there unrecorded."""
    former = known_targets.KnownTarget(target=TARGET, takes_runs=True)
    row = rows.TargetRow(target=TARGET, reachable=False)
    assert known_targets.describe(row, recorded=former).takes_runs
    assert known_targets.describe(row).takes_runs


class Fleet:
    """Rows of usable targets and their records."""

    def __init__(self, count: int) -> None:
        names = [f"i-{number:016x}" for number in range(count)]
        self.rows = {name: _row(name) for name in names}
        self.records = known_targets.Records()
        self.mark_all()

    @property
    def known(self) -> known_targets.KnownTargets:
        return {name: known_targets.describe(row) for name, row in self.rows.items()}

    def mark_all(self) -> None:
        for name in self.rows:
            self.records.mark(name)

    def changed(self) -> dict[int, known_targets.KnownTargets]:
        return dict(self.records.changed(self.rows.get))

    def store(self) -> dict[int, bytes]:
        """Takes the changed groups and returns them as they are stored."""
        changed = self.changed()
        self.records.take(changed)
        return {number: known_targets.encode(group) for number, group in changed.items()}


def _row(name: str) -> rows.TargetRow:
    target = msgspec.structs.replace(TARGET, target_id=name, address=f"10.100.200.{len(name)}:8169")
    return rows.TargetRow(target=target, confirmed=True)


def _lose(row: rows.TargetRow) -> None:
    """Makes a target with a run unreachable, so that its record lists the task."""
    job = jobs.Job(job_id="0" * 16, queue="q", spec="", steps=(jobs.Step(count=1),))
    run_on(row, progress.new_steps(rows.JobRow(job=job, queue=QUEUE), 0)[0], 0)
    row.reachable = False


def test_only_the_group_of_a_changed_target_is_written_again():
    fleet = Fleet(300)
    stored = fleet.store()
    assert set(stored) == {known_targets.group_of(name) for name in fleet.rows}
    assert fleet.store() == {}
    fleet.mark_all()
    assert fleet.store() == {}
    changed = "i-" + f"{77:016x}"
    _lose(fleet.rows[changed])
    fleet.records.mark(changed)
    assert len(fleet.known[changed].tasks) == 1
    again = fleet.store()
    assert list(again) == [known_targets.group_of(changed)]
    assert known_targets.decode_groups((stored | again).values()) == fleet.known
    assert fleet.records.targets == fleet.known


def test_target_that_leaves_is_removed_from_its_group_and_the_last_one_empties_it():
    fleet = Fleet(3)
    stored = fleet.store()
    left = next(iter(fleet.rows))
    number = known_targets.group_of(left)
    assert all(known_targets.group_of(name) != number for name in fleet.rows if name != left)
    del fleet.rows[left]
    fleet.records.mark(left)
    again = fleet.store()
    assert again == {number: known_targets.encode({})}
    assert fleet.store() == {}
    assert known_targets.decode_groups((stored | again).values()) == fleet.known


def test_groups_not_taken_for_writing_stay_changed():
    fleet = Fleet(5)
    assert fleet.changed() == fleet.changed() != {}
    assert fleet.records.targets == {}


def test_restored_records_are_not_written_again_until_they_change():
    before = Fleet(50)
    values = before.store().values()
    fleet = Fleet(50)
    fleet.records.restore(known_targets.decode_groups(values))
    assert fleet.records.targets == fleet.known == before.known
    assert fleet.changed() == {}
    groups = {known_targets.group_of(name) for name in fleet.rows}
    fleet.mark_all()
    fleet.rows.clear()
    assert set(fleet.changed()) == groups


def test_record_of_a_group_is_small_at_3300_targets():
    stored = Fleet(3_300).store()
    assert len(stored) == known_targets.GROUPS
    assert max(len(value) for value in stored.values()) <= MAX_GROUP_BYTES


class PlainComparison:
    """Compares the records and announcements of an owner with those computed over all targets."""

    def __init__(self, monkeypatch) -> None:
        self.compared = 0
        self.announced = 0
        self.differences: list = []
        self._changed = known_targets.Records.changed
        self._announce = owner.Owner._announce_targets
        comparison = self
        monkeypatch.setattr(
            known_targets.Records, "changed", lambda *args: comparison.changed(*args)
        )
        monkeypatch.setattr(
            owner.Owner, "_announce_targets", lambda subject: comparison.announce(subject)
        )

    def changed(self, records, row_of):
        sessions = row_of.__self__._sessions
        groups = {number: {} for number in records._stored}
        for name, session in sessions.items():
            group = groups.setdefault(known_targets.group_of(name), {})
            group[name] = known_targets.describe(session.row, recorded=records.targets.get(name))
        expected = {n: group for n, group in groups.items() if records._stored.get(n) != group}
        found = self._changed(records, row_of)
        if found != expected:
            self.differences.append((found, expected))
        self.compared += bool(found)
        return found

    def announce(self, subject):
        recorded = subject._known_records.targets
        expected = {
            name: session.row.announced or (name in recorded and recorded[name].takes_runs)
            for name, session in subject._sessions.items()
        }
        before = [session.row.announced for session in subject._sessions.values()]
        self._announce(subject)
        found = {name: session.row.announced for name, session in subject._sessions.items()}
        if found != expected:
            self.differences.append((found, expected))
        self.announced += before != list(found.values())


@pytest.mark.parametrize("seed", range(6))
def test_records_and_announcements_equal_those_computed_over_all_targets(seed, monkeypatch):
    comparison = PlainComparison(monkeypatch)
    pick = random.Random(seed)
    world = world_module.World(entries=2, target_count=6)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    for _ in range(40):
        target_id = f"t{pick.randrange(6)}"
        engine = world.engines[target_id]
        event = pick.randrange(6)
        if event == 0:
            world.restart_target(target_id)
        elif event == 1:
            world.unregister(target_id)
        elif event == 2:
            world.register(engine.target)
        elif event == 3:
            engine.faults.partitioned = not engine.faults.partitioned
        elif event == 4:
            work_s = pick.uniform(0.1, 3)
            step = jobs.Step(count=2, cpu_millis=1000, estimate_s=work_s)
            world.store_jobs(world.job(step, work_s=work_s))
        elif world.owner is not None and len(world.members) > 1:
            world.kill(world.owner.name)
        world.run(pick.uniform(0.1, 1.5))
    assert not comparison.differences
    assert comparison.compared
    assert comparison.announced


def test_target_that_is_listed_again_becomes_announced_again():
    world = world_module.World(entries=1, target_count=1)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.run(1.0)
    subject = world.owner.node.owner
    first = subject.scheduler.tables.targets["t0"]
    assert first.announced
    world.unregister("t0")
    world.run_until(lambda: not subject.scheduler.tables.targets)
    world.register(world.engines["t0"].target)
    world.run_until(lambda: bool(subject.scheduler.tables.targets))
    again = subject.scheduler.tables.targets["t0"]
    assert again is not first
    world.run_until(lambda: again.announced)


def test_targets_that_only_an_owner_of_the_former_code_recorded_are_contacted_and_move_to_the_groups():
    world = world_module.World(entries=0, target_count=2)
    world.unregister("t1")
    known = {
        name: known_targets.KnownTarget(target=engine.target, takes_runs=True)
        for name, engine in world.engines.items()
    }
    record = store.Put(key=keys.FORMER_TARGETS, value=known_targets.encode(known))
    world.store.commit((), (record,), ())
    grouped: list = []
    commit = world.store.commit

    def record_groups(conditions, puts, removes):
        outcome = commit(conditions, puts, removes)
        if keys.FORMER_TARGETS in {put.key for put in puts}:
            values = [item.value for item in world.store.list_prefix(keys.TARGETS)]
            grouped.append(known_targets.decode_groups(values))
        return outcome

    world.store.commit = record_groups
    world.start("new")
    world.run(3.0)
    assert world.engines["t1"].polls
    assert [set(one) for one in grouped] == [{"t0", "t1"}]
    emptied = world.store.items[keys.FORMER_TARGETS].value
    assert known_targets.decode_groups([emptied]) == {}
