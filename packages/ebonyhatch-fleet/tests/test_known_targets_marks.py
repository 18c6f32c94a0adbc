from __future__ import annotations

import random

import pytest
import world as world_module
from ebonyhatch.fleet import jobs, known_targets, owner


class PlainComparison:
    """Compares the records and announcements of an owner with those computed over all targets."""

    def __init__(self, monkeypatch) -> None:
        self.compared = 0
        self.announced = 0
        self.differences: list = []
        self._changed = known_targets.Records.changed
        self._on_durable = owner.Owner._on_durable
        comparison = self
        monkeypatch.setattr(
            known_targets.Records, "changed", lambda *args: comparison.changed(*args)
        )
        monkeypatch.setattr(owner.Owner, "_on_durable", lambda *args: comparison.on_durable(*args))

    def changed(self, records, row_of):
        sessions = row_of.__self__._sessions
        groups = {number: {} for number in records._stored}
        for name, session in sessions.items():
            group = groups.setdefault(known_targets.group_of(name), {})
            group[name] = known_targets.describe(session.row)
        expected = {n: group for n, group in groups.items() if records._stored.get(n) != group}
        found = self._changed(records, row_of)
        if found != expected:
            self.differences.append((found, expected))
        self.compared += bool(found)
        return found

    def on_durable(self, subject, states):
        recorded = subject._known_records.targets
        expected = {
            name: session.row.announced or (name in recorded and recorded[name].takes_runs)
            for name, session in subject._sessions.items()
        }
        before = [session.row.announced for session in subject._sessions.values()]
        self._on_durable(subject, states)
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
