"""Tests of a whole daemon over in-memory twins, on a reactor with a fake clock."""

from __future__ import annotations

import pytest
from ebonyhatch.core import entities, resources
from ebonyhatch.testing import embedded
from twisted.internet import defer, testing

STEP_S = 0.05
MAX_CALLS_PER_S = 10
SUBMISSIONS_PER_S = 40


@pytest.fixture
def entry():
    reactor = testing.MemoryReactorClock()
    entry_under_test = embedded.EmbeddedEntry(reactor=reactor, worker_ids=("w1", "w2", "w3", "w4"))
    entry_under_test.reactor = reactor
    started = defer.ensureDeferred(entry_under_test.start())
    run(entry_under_test, 10.0)
    started.result  # noqa: B018  raises AttributeError while the start is pending
    yield entry_under_test
    closed = defer.ensureDeferred(entry_under_test.close())
    run(entry_under_test, 15.0)
    assert closed.called


def run(entry, seconds, each_step=lambda: None):
    for _ in range(round(seconds / STEP_S)):
        each_step()
        entry.reactor.advance(STEP_S)


def swaps(entry):
    return entry.platform.store.engine.counts["swap"]


def submit(entry, number):
    job = entities.Job(
        job_id=f"j{number}",
        work_class="cutting",
        tenant="default",
        demand=resources.Resources(slots=1),
    )
    return defer.ensureDeferred(entry.daemon.router.submit(job=job))


def test_writes_of_a_busy_entry_stay_within_their_rate(entry):
    numbers = iter(range(10_000))
    before = swaps(entry)
    seconds = 20.0

    def submit_some():
        for _ in range(round(SUBMISSIONS_PER_S * STEP_S)):
            submit(entry, next(numbers))

    run(entry, seconds, submit_some)
    assert swaps(entry) - before <= MAX_CALLS_PER_S * seconds


def test_idle_entry_makes_at_most_one_call_a_second(entry):
    counts = entry.platform.store.engine.counts
    before = sum(counts.values())
    run(entry, 60.0)
    assert sum(counts.values()) - before <= 60


def test_submission_during_an_outage_is_refused_and_not_run(entry):
    entry.platform.store.faults.down = True
    run(entry, 10.0)
    replied = submit(entry, 1)
    run(entry, 6.0)
    assert replied.result.view is None
    assert replied.result.outcome == "not-run"
    entry.platform.store.faults.down = False
    run(entry, 15.0)
    again = submit(entry, 1)
    run(entry, 2.0)
    assert again.result.view is not None
