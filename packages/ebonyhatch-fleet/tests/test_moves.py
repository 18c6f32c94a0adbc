"""Lasting runs are moved out of evacuated domains, within budgets and free capacity elsewhere."""

from __future__ import annotations

import domain_case
import pytest
from ebonyhatch.fleet import jobs, queues, rows, targets
from ebonyhatch.fleet.evacuation import moves

SERVICE = jobs.Step(count=3, cpu_millis=1_000, long_running=True, disruption_budget=1)
UNBOUNDED = jobs.Step(count=3, cpu_millis=1_000, long_running=True)
URGENT = queues.Queue(name="u", host="h", prefix="/u/", pool="p", priority=0)


class MovesCase(domain_case.DomainCase):
    """Targets of domain a run tasks; those of B, too small for them, are kept for short work."""

    def __init__(self, *steps: jobs.Step, others: int = 2) -> None:
        super().__init__()
        self.now = 0.0
        for number in range(3):
            self.add(f"B{number}", cpu_millis=900)
        for number in range(2):
            self.rows[f"a{number}"] = self.add(f"a{number}")
        self.jobs = [self.submit(step) for step in steps]
        self.confirm(self.tick())
        for number in range(others):
            self.rows[f"b{number}"] = self.add(f"b{number}")

    def runs(self, domain: str) -> list[rows.RunRow]:
        return [
            run
            for row in self.scheduler.tables.targets.values()
            if row.target.failure_domain == domain
            for run in row.runs.values()
        ]

    def refresh(self, now: float, *, percent: float = 100.0, without: str = "") -> None:
        """Applies a report of each target, on which stopped runs have ended."""
        self.now = now
        for name, row in list(self.scheduler.tables.targets.items()):
            if name == without:
                continue
            stopped = [r.key for r in row.runs.values() if r.state == rows.RunState.STOPPING]
            running = [
                targets.Running(key=key, percent=percent) for key in row.runs if key not in stopped
            ]
            ended = tuple(
                targets.Ended(number=n, key=key, kind=targets.EndKind.STOPPED, checkpoint="c")
                for n, key in enumerate(stopped, start=1)
            )
            self.report(name, now=now, running=tuple(running), ended=ended)

    def stopped(self, now: float) -> int:
        ordered = self.tick(now)
        self.confirm(ordered, now=now)
        return len(domain_case.stops(ordered))


def test_long_running_tasks_move_one_after_the_other_within_the_budget():
    """Guards against a service of which more tasks are down at once than its owner allows."""
    case = MovesCase(SERVICE)
    case.refresh(1.0)
    case.request("a", now=1.0)
    assert case.stopped(1.0) == 1
    case.refresh(1.2)
    assert case.stopped(1.2) == 0, "the first one starts elsewhere"
    case.refresh(1.4, percent=20.0)
    assert case.stopped(1.4) == 0, "it doesn't operate yet"
    case.refresh(1.6)
    assert case.stopped(1.6) == 1
    for step in range(8):
        case.refresh(2.0 + step / 5)
        case.stopped(2.0 + step / 5)
    assert len(case.runs("a")) == 0 and len(case.runs("b")) == 3
    assert {run.task.checkpoint for run in case.runs("b")} == {"c"}
    assert len(case.logged("evacuation.run_moved")) == 3


def test_a_larger_budget_lets_as_many_tasks_be_away():
    case = MovesCase(jobs.Step(count=3, cpu_millis=1_000, long_running=True, disruption_budget=2))
    case.refresh(1.0)
    case.request("a", now=1.0)
    assert case.stopped(1.0) == 2
    assert case.stopped(1.2) == 0


def test_tasks_of_steps_without_a_budget_move_together():
    case = MovesCase(UNBOUNDED)
    case.refresh(1.0)
    case.request("a", now=1.0)
    assert case.stopped(1.0) == 3


def _lose(case: MovesCase, run: rows.RunRow, how: str) -> None:
    row = run.target
    if how == "waiting":
        case.scheduler.mark_runs_lost(row, why="lease-lapsed", now=1.0)
    elif how == "unanswered":
        row.loss = rows.Loss(from_s=0.9, by_s=1.0)
    elif how == "unreachable":
        row.reachable = False


@pytest.mark.parametrize("how", ["waiting", "unanswered", "unreachable", "starting", "silent"])
def test_task_that_is_down_for_another_reason_counts_against_the_budget(how):
    """Guards against a stop beside a crash, by which two tasks of the service are down."""
    case = MovesCase()
    case.add("c0", cpu_millis=1_000)
    case.submit(jobs.Step(count=8, cpu_millis=1_000, long_running=True, disruption_budget=1))
    case.confirm(case.tick())
    (elsewhere,) = case.runs("c")
    case.refresh(1.0)
    if how == "starting":
        case.refresh(1.0, percent=50.0)
        for run in case.runs("a"):
            run.percent = 100.0
    elif how == "silent":
        case.refresh(1.0 + 2 * moves.MAX_REPORT_AGE_S, without="c0")
    else:
        _lose(case, elsewhere, how)
    case.request("a", now=case.now)
    assert case.stopped(case.now) == 0


def test_own_absence_of_a_task_does_not_hold_its_move_up():
    case = MovesCase(jobs.Step(count=1, cpu_millis=1_000, long_running=True, disruption_budget=1))
    case.refresh(1.0, percent=20.0)
    case.request("a", now=1.0)
    assert case.stopped(1.0) == 1


@pytest.mark.parametrize(("others", "stopped"), [(0, 0), (1, 4), (2, 6)])
def test_no_more_runs_are_stopped_than_fit_elsewhere(others, stopped):
    """Guards against tasks that are stopped and then wait for capacity."""
    step = jobs.Step(count=6, cpu_millis=1_000, long_running=True)
    case = MovesCase(step, others=others)
    case.refresh(1.0)
    case.request("a", now=1.0)
    assert case.stopped(1.0) == stopped
    assert case.stopped(1.2) == 0, "planned moves count as used capacity"


def test_limit_of_tasks_on_a_target_counts_the_moves_to_it():
    step = jobs.Step(count=4, cpu_millis=1_000, long_running=True, max_per_target=2)
    case = MovesCase(step, others=1)
    case.refresh(1.0)
    case.request("a", now=1.0)
    assert case.stopped(1.0) == 2


def test_targets_of_another_evacuated_domain_are_no_capacity():
    case = MovesCase(UNBOUNDED, others=2)
    case.refresh(1.0)
    case.request("b", now=1.0)
    case.request("a", now=1.0)
    assert case.stopped(1.0) == 0


def test_urgent_tasks_move_first():
    """Guards against capacity that goes to batch work while an urgent service stays behind."""
    case = MovesCase(jobs.Step(count=3, cpu_millis=1_000, long_running=True), UNBOUNDED, others=1)
    case.jobs[1].queue = URGENT
    case.refresh(1.0)
    case.request("a", now=1.0)
    assert case.stopped(1.0) == 4
    left = [run for run in case.runs("a") if run.state == rows.RunState.RUNNING]
    assert {run.task.step.job.queue.name for run in left} == {"q"}


@pytest.mark.parametrize(
    ("checkpoints", "percent", "stopped"), [(True, 10.0, 1), (True, 90.0, 0), (False, 10.0, 0)]
)
def test_run_that_ends_is_moved_only_with_checkpoints_and_much_left_to_do(
    checkpoints, percent, stopped
):
    """Guards against work that is discarded, or moved at the cost of what remains of it."""
    step = jobs.Step(count=1, cpu_millis=1_000, estimate_s=60.0, checkpoints=checkpoints)
    case = MovesCase(step)
    case.refresh(6.0, percent=percent)
    case.request("a", now=6.0)
    assert case.stopped(6.0) == stopped


def test_members_of_a_gang_stay():
    step = jobs.Step(count=2, cpu_millis=1_000, estimate_s=60.0, checkpoints=True, gang=True)
    case = MovesCase(step)
    case.refresh(1.0, percent=1.0)
    case.request("a", now=1.0)
    assert case.stopped(1.0) == 0


def test_nothing_is_moved_before_the_runs_of_former_owners_are_known():
    case = MovesCase(UNBOUNDED)
    case.refresh(1.0)
    case.request("a", now=1.0)
    case.scheduler.reconciled = False
    assert case.stopped(1.0) == 0
    case.scheduler.reconciled = True
    assert case.stopped(1.2) == 3


def test_nothing_is_moved_while_waiting_tasks_are_held_back_by_the_limit_of_orders():
    """Guards against a lasting task that is stopped for capacity which waiting tasks take first."""
    case = MovesCase(UNBOUNDED)
    case.refresh(1.0)
    case.request("a", now=1.0)
    case.submit(jobs.Step(count=8, cpu_millis=1_000, estimate_s=1.0))
    case.scheduler.order_limit = 2
    assert case.stopped(1.0) == 0
    case.scheduler.order_limit = 64
    assert case.stopped(1.2) == 0, "the waiting tasks took the capacity"


def test_moves_end_when_the_domain_is_returned():
    case = MovesCase(SERVICE)
    case.refresh(1.0)
    case.request("a", now=1.0)
    assert case.stopped(1.0) == 1
    case.end("a", now=1.1)
    for step in range(5):
        case.refresh(1.2 + step)
        assert case.stopped(1.2 + step) == 0


def test_number_of_moves_in_a_review_is_limited():
    case = MovesCase()
    for number in range(10):
        case.add(f"a{number}9")
    step = jobs.Step(count=40, cpu_millis=1_000, long_running=True)
    case.submit(step)
    case.scheduler.tables.targets["b0"].listed = False
    case.scheduler.tables.targets["b1"].listed = False
    case.confirm(case.tick())
    for number in range(20):
        case.add(f"b{number}9")
    case.refresh(1.0)
    case.request("a", now=1.0)
    assert case.stopped(1.0) == moves.MAX_MOVES_PER_REVIEW
    assert case.stopped(1.05) == 0
    assert case.stopped(1.2) == moves.MAX_MOVES_PER_REVIEW


def test_lasting_tasks_stay_while_shorter_ones_wait_for_capacity():
    """Guards against moves that fill the remaining domains while short work waits there."""
    case = MovesCase(UNBOUNDED)
    case.refresh(1.0)
    large = case.submit(jobs.Step(count=1, cpu_millis=9_000))
    case.request("a", now=1.0)
    assert case.stopped(1.0) == 0
    case.scheduler.cancel(large.job.job_id, now=1.2)
    case.refresh(1.2)
    assert case.stopped(1.2) > 0
