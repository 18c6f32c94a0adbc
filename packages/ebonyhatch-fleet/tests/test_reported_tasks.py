from __future__ import annotations

import pytest
from ebonyhatch.fleet import graph, jobs, progress, queues, rows, scheduler, tables, targets
from ebonyhatch.fleet.takeover import reported_tasks

QUEUE = queues.Queue(name="q", host="h", prefix="/q/", pool="p")
JOB_ID = "0" * 15 + "1"
ENDED_JOB_ID = "0" * 15 + "2"
OCCURRENCES = 100
DUE = 20
"""Number of occurrences that are due."""

NEXT = graph.MAX_OPEN_OCCURRENCES
"""Number of the first occurrence that isn't open."""


def _timed(job_id: str = JOB_ID) -> rows.JobRow:
    job = jobs.Job(
        job_id=job_id,
        queue="q",
        spec="",
        steps=(jobs.Step(count=2), jobs.Step(count=1, after=(0,))),
        occurrences=OCCURRENCES,
        first_at=1.0,
        interval_s=1.0,
    )
    return rows.JobRow(job=job, queue=QUEUE)


class Case:
    """Tables with a timed job that has as many open occurrences as it may have, and an ended job."""

    def __init__(self) -> None:
        self.decisions: list[tuple[str, dict]] = []
        self.tables = tables.Tables()
        self.row = _timed()
        graph.release(self.row, now=1.0, wall=float(DUE))
        self.tables.add_job(self.row)
        ended = _timed(ENDED_JOB_ID)
        ended.state = rows.JobState.CANCELLED
        self.tables.add_job(ended)
        self.target = self.tables.set_target(
            targets.Target(target_id="t", address="t:1", pool="p", failure_domain="a")
        )
        self.released: list[rows.StepRow] = []
        self.subject = reported_tasks.ReportedTasks(
            all_tables=self.tables, release_steps=self._release, decide=self._decide
        )

    def _release(self, row: rows.JobRow) -> None:
        self.released += graph.release(row, now=1.0, wall=float(DUE))

    def _decide(self, event: str, run: rows.RunRow | None, **fields) -> None:
        self.decisions.append((event, fields))

    def find(self, name: str) -> rows.TaskRow | None:
        key = targets.RunKey(task=name, run=1)
        return self.subject.find(self.target, key, number=7, how="done")


def test_task_of_an_open_occurrence_is_found_without_a_log_line():
    case = Case()
    name = f"{JOB_ID}.3.0.1"
    assert case.find(name).name == name
    assert case.decisions == []


@pytest.mark.parametrize(
    ("name", "reason"),
    [
        (f"{'0' * 16}.0.0.0", "no-such-job"),
        (f"{ENDED_JOB_ID}.0.0.0", "job-ended"),
        (f"{JOB_ID}.0.2.0", "no-such-task"),
        (f"{JOB_ID}.0.0.2", "no-such-task"),
        (f"{JOB_ID}.{OCCURRENCES}.0.0", "not-released"),
        (f"{JOB_ID}.{NEXT}.2.0", "not-released"),
        (f"{JOB_ID}.{NEXT}.0.2", "not-released"),
        (f"{JOB_ID}.0.-1.0", "malformed"),
        (f"{JOB_ID}.0.0", "malformed"),
        (f"{JOB_ID}.x.0.0", "malformed"),
        (f"{JOB_ID}.{'9' * 5_000}.0.0", "malformed"),
        ("", "malformed"),
    ],
)
def test_log_tells_why_a_report_names_an_unknown_task(name, reason):
    """Guards against ends that are acknowledged without a trace of what was dropped."""
    case = Case()
    assert case.find(name) is None
    ((event, fields),) = case.decisions
    assert event == "run.unknown"
    assert fields["reason"] == reason and fields["target"] == "t"
    assert fields["number"] == 7 and fields["how"] == "done" and fields["key"].task == name


def test_log_tells_that_an_occurrence_is_done():
    case = Case()
    del case.row.occurrences[0]
    assert case.find(f"{JOB_ID}.0.0.0") is None
    ((_, fields),) = case.decisions
    assert fields["reason"] == "occurrence-done"


def test_occurrence_of_a_reported_run_is_opened_with_all_before_it():
    """Guards against ends that are acknowledged while their occurrence isn't open."""
    case = Case()
    name = f"{JOB_ID}.{NEXT + 2}.1.0"
    assert case.find(name).name == name
    assert sorted(case.row.occurrences) == list(range(NEXT + 3))
    assert [step.occurrence for step in case.released] == [NEXT, NEXT + 1, NEXT + 2]
    ((event, fields),) = case.decisions
    assert event == "job.occurrences_found"
    assert fields["first"] == NEXT and fields["opened"] == 3


def test_opened_occurrences_are_restored_from_the_progress_of_the_job():
    case = Case()
    case.find(f"{JOB_ID}.{NEXT + 2}.0.0")
    durable = progress.decode(progress.encode(case.row))
    restored = progress.restore(job=case.row.job, queue=QUEUE, progress=durable)
    assert sorted(restored.occurrences) == list(range(NEXT + 3))
    assert restored.next_occurrence == NEXT + 3


def test_report_with_a_wrong_number_opens_a_limited_number_of_steps(monkeypatch):
    """Guards against an owner that one wrong report takes out of memory."""
    case = Case()
    monkeypatch.setattr(reported_tasks, "MAX_OPENED_STEPS", 2 * len(case.row.job.steps))
    assert case.find(f"{JOB_ID}.{NEXT + 2}.0.0") is None
    assert len(case.row.occurrences) == NEXT
    assert case.find(f"{JOB_ID}.{NEXT + 1}.0.0") is not None


def test_failed_run_of_an_occurrence_that_was_not_open_counts_as_an_attempt():
    """Guards against more attempts than the queue allows, after the end of an owner."""
    subject = scheduler.Scheduler(decide=lambda *args, **fields: None)
    row = _timed()
    subject.add_job(row, now=1.0, wall=0.5)
    assert not row.occurrences
    target = subject.set_target(
        targets.Target(target_id="t", address="t:1", pool="p", failure_domain="a"), now=1.0
    )
    key = targets.RunKey(task=f"{JOB_ID}.0.0.1", run=1)
    ended = targets.Ended(number=1, key=key, kind=targets.EndKind.FAILED)
    report = targets.StatusReport(clock_s=1.0, born=1, ended=(ended,), running=())
    subject.apply_report(target, report, now=1.0)
    assert row.occurrences[0][0].tasks[1].failed_runs == {1}
    assert subject.drain_changed_jobs() == [row]
