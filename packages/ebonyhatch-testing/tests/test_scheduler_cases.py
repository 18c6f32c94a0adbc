"""Differential tests: the default scheduler against the naive one on the same generated cases."""

from __future__ import annotations

import hypothesis
from ebonyhatch.core import default_scheduler, scheduler
from ebonyhatch.testing import naive_scheduler, scheduler_cases

REGISTERED = (default_scheduler, naive_scheduler)
UNTIL_S = 400.0


def run(case, policy):
    history = scheduler_cases.History(case=case, policy=scheduler.build(name=policy, seed=1))
    history.run(until=UNTIL_S)
    return history


@hypothesis.settings(max_examples=25, derandomize=True, deadline=None)
@hypothesis.given(case=scheduler_cases.cases())
def test_both_keep_the_limits_and_finish_the_same_jobs(case):
    ours = run(case, "default")
    naive = run(case, "naive")
    assert ours.faults == []
    assert [fault for fault in naive.faults if "holds" in fault or "twice" in fault] == []
    assert sorted(ours.finished) == sorted(naive.finished)
    assert len(ours.finished) == len(case.jobs)


@hypothesis.settings(max_examples=25, derandomize=True, deadline=None)
@hypothesis.given(case=scheduler_cases.cases())
def test_urgent_work_is_sent_or_refused_within_its_bound(case):
    ours = run(case, "default")
    assert ours.faults == []
    for number, drawn in enumerate(case.requests):
        request_id = f"r{number}"
        assert request_id in ours.outcomes
        if request_id in ours.sent_at:
            late_s = ours.sent_at[request_id] - drawn.at
            assert late_s <= scheduler_cases.DEADLINE_S + scheduler_cases.IDLE_TICK_S
