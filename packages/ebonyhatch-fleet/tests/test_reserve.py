from __future__ import annotations

import msgspec
import pytest
from ebonyhatch.fleet import commands, jobs, queues, rows, scheduler, targets

QUEUE = queues.Queue(name="q", host="h", prefix="/q/", pool="p", priority=1, max_attempts=3)
CPU_MILLIS = 8_000
ONE = jobs.Step(count=1, cpu_millis=1_000, long_running=True)


class Fleet:
    """A scheduler with usable targets, to which long-running jobs are handed in."""

    def __init__(self, labels_by_target: dict[str, str]) -> None:
        self.subject = scheduler.Scheduler(decide=lambda *args, **fields: None)
        self.subject.reconciled = self.subject.may_place = True
        for name, label in labels_by_target.items():
            target = targets.Target(
                target_id=name,
                address=f"{name}:1",
                pool="p",
                failure_domain="a",
                born=1,
                cpu_millis=CPU_MILLIS,
                memory_mb=64_000,
                labels=frozenset({label}),
            )
            row = self.subject.set_target(target, now=0.0)
            row.confirmed = row.announced = True
        self._job_count = 0

    def resize(self, name: str, cpu_millis: int) -> None:
        row = self.subject.tables.targets[name]
        self.subject.set_target(msgspec.structs.replace(row.target, cpu_millis=cpu_millis), now=0.0)

    def add(self, step: jobs.Step) -> rows.JobRow:
        self._job_count += 1
        job = jobs.Job(job_id=f"{self._job_count:016x}", queue="q", spec="", steps=(step,))
        row = rows.JobRow(job=job, queue=QUEUE)
        self.subject.add_job(row, now=0.0, wall=0.0)
        return row

    def started(self, *, now: float) -> list[str]:
        """Returns the targets on which a tick starts runs."""
        return sorted(
            command.run.target.target_id
            for command in self.subject.tick(now=now, wall=now)
            if isinstance(command, commands.StartRun)
        )

    def fill(self, *names: str) -> None:
        """Fills targets with long-running tasks; each target needs a label of its own."""
        for name in names:
            (label,) = self.subject.tables.targets[name].target.labels
            self.add(msgspec.structs.replace(ONE, cpu_millis=CPU_MILLIS, label=label))
        assert self.started(now=0.0) == sorted(names)


def test_a_task_that_lasts_starts_on_the_only_target_with_its_label():
    """Guards against an accepted task that waits for ever for a target that isn't reserved."""
    fleet = Fleet({"a": "b", **{f"x{n}": f"x{n}" for n in range(4)}})
    fleet.fill("x0", "x1", "x2", "x3")
    fleet.add(msgspec.structs.replace(ONE, label="b"))
    assert fleet.started(now=0.1) == ["a"]


def test_a_task_that_lasts_starts_on_the_only_target_of_a_pool():
    """Guards against a pool that starts no long-running task once one target is left."""
    fleet = Fleet({"a": "x"})
    fleet.add(ONE)
    assert fleet.started(now=0.0) == ["a"]


def test_a_task_that_lasts_starts_on_the_last_target_that_the_spread_of_its_step_leaves():
    """Guards against a step spread over all targets whose last task never starts."""
    fleet = Fleet(dict.fromkeys("abcde", "x"))
    fleet.add(jobs.Step(count=5, cpu_millis=7_000, long_running=True, max_per_target=1))
    assert fleet.started(now=0.0) == ["a", "b", "c", "d", "e"]


def test_a_task_that_lasts_starts_on_the_only_target_that_is_large_enough():
    """Guards against a large task that waits for ever for the reserved large target."""
    fleet = Fleet({"a": "a", **{f"x{n}": f"x{n}" for n in range(4)}})
    fleet.resize("a", 2 * CPU_MILLIS)
    fleet.fill("x0", "x1", "x2", "x3")
    fleet.add(msgspec.structs.replace(ONE, cpu_millis=CPU_MILLIS + 1_000))
    assert fleet.started(now=0.1) == ["a"]


@pytest.mark.parametrize("lost", ["reachable", "confirmed"])
def test_a_task_that_lasts_does_not_wait_for_targets_that_take_no_runs(lost):
    """Guards against waiting for targets that are listed but can't be used."""
    fleet = Fleet({"a": "b", "c": "b", "d": "b", **{f"x{n}": f"x{n}" for n in range(5)}})
    fleet.fill("x0", "x1", "x2", "x3", "x4")
    for name in ("c", "d"):
        setattr(fleet.subject.tables.targets[name], lost, False)
    fleet.add(msgspec.structs.replace(ONE, label="b"))
    assert fleet.started(now=0.1) == ["a"]


def test_a_task_that_lasts_uses_the_reserve_while_most_of_the_pool_is_free():
    """Guards against a task that waits beside free capacity because the others of its label are full."""
    fleet = Fleet({"a": "b", "c": "b", "d": "b", **{f"x{n}": f"x{n}" for n in range(6)}})
    large = msgspec.structs.replace(ONE, cpu_millis=CPU_MILLIS, label="b")
    for _ in range(3):
        fleet.add(large)
    assert fleet.started(now=0.0) == ["a", "c", "d"]


def test_tasks_that_last_leave_the_reserve_alone_on_a_full_pool():
    fleet = Fleet({f"x{n}": "x" for n in range(8)})
    fleet.add(msgspec.structs.replace(ONE, count=64))
    assert len(set(fleet.started(now=0.0))) == 7
    fleet.add(ONE)
    assert fleet.started(now=30.0) == []
