"""An outage of the store for minutes: work that continues, refusals, load on its return."""

from __future__ import annotations

import collections

import pytest
from ebonyhatch.testing import checker, history
from ebonyhatch.testing.histories import fleet

OUTAGE_S = 180.0
MAX_CALLS_PER_S = 12
"""Maximum store calls of an entry in any second of the return."""


@pytest.fixture(name="run", scope="module")
def run_with_outage() -> fleet.Fleet:
    run = fleet.Fleet(seed=1, entries=6)
    run.advance(30.0)
    for _ in range(6):
        run.submit(run_s=60.0)
    run.advance(3.0)
    for member in run.running:
        member.store.faults.down = True
    run.advance(10.0)
    for number in range(round((OUTAGE_S - 10.0) / 2)):
        run.request(f"e{number % 6}")
        if number % 20 == 0:
            run.submit()
        run.advance(2.0)
    return run


@pytest.fixture(name="returning", scope="module")
def calls_of_return(run: fleet.Fleet) -> list[int]:
    """Returns the store calls in each of the first 20 s after the return of the store."""
    run.clear_faults()
    calls = []
    for _ in range(20):
        before = sum(run.engine.counts.values())
        run.advance(1.0)
        calls.append(sum(run.engine.counts.values()) - before)
    return calls


def test_urgent_requests_go_on_and_submissions_are_refused(run: fleet.Fleet) -> None:
    outcomes = collections.Counter(record.told for record in run.run.of(history.RequestOutcome))
    assert set(outcomes) == {history.CallerOutcome.ANSWERED}
    later = [record.told for record in run.run.of(history.SubmissionOutcome) if record.at > 43.0]
    assert set(later) == {history.CallerOutcome.NOT_RUN}


def test_running_jobs_go_on(run: fleet.Fleet) -> None:
    assert sorted(record.task_id for record in run.run.of(history.TaskRan)) == [
        f"j{number}/1" for number in range(1, 7)
    ]
    ended = run.run.of(history.TaskEnded)
    assert sorted(record.finished for record in ended) == [True] * 6


def test_return_of_the_store_makes_no_stampede(returning: list[int], run: fleet.Fleet) -> None:
    assert max(returning) <= MAX_CALLS_PER_S * len(run.entries)


def test_nothing_is_lost_on_return(returning: list[int], run: fleet.Fleet) -> None:
    ended = run.finish(quiet_s=60.0)
    assert checker.check(ended) == []
    last = {record.job_id: record.state for record in ended.of(history.JobObserved)}
    assert last == {f"j{number}": "finished" for number in range(1, 7)}
