from __future__ import annotations

import random

import pytest
from ebonyhatch.fleet.budget import ledger

BUDGET = 10_000_000
LARGE = 1_000_000
SMALL = 10_000


class _Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def _ledger(*, first_term: bool = True) -> tuple[ledger.Ledger, _Clock]:
    clock = _Clock()
    return ledger.Ledger(budget=BUDGET, first_term=first_term, now=clock), clock


def test_large_jobs_leave_room_for_small_ones():
    subject, _ = _ledger()
    granted = [subject.promise(f"{number}", LARGE).granted for number in range(8)]
    assert granted == [True] * 5 + [False] * 3
    assert subject.promise("small", SMALL).granted


def test_job_that_never_fits_is_refused_for_good():
    subject, _ = _ledger()
    decision = subject.promise("huge", BUDGET // 2 + 1)
    assert not decision.granted and decision.permanent


def test_memory_is_kept_while_a_write_may_be_on_its_way_and_not_longer():
    subject, clock = _ledger()
    for number in range(5):
        subject.promise(f"{number}", LARGE)
    clock.now += ledger.PROMISE_S - 0.1
    assert not subject.promise("later", LARGE).granted
    clock.now += 0.2
    assert subject.promise("later", LARGE).granted


def test_job_that_is_submitted_again_needs_no_memory_of_its_own():
    subject, _ = _ledger()
    for number in range(5):
        subject.promise(f"{number}", LARGE)
    assert subject.promise("3", LARGE).granted
    subject.record("3", LARGE)
    assert subject.promise("3", LARGE).granted
    assert not subject.promise("later", LARGE).granted


def test_job_that_may_have_been_made_durable_is_not_refused():
    """Guards against a refusal of a job that runs, as its write takes effect late."""
    subject, _ = _ledger()
    for number in range(5):
        subject.promise(f"{number}", LARGE)
    subject.note_sent("sent", LARGE)
    assert subject.promise("sent", LARGE).granted
    assert not subject.promise("other", LARGE).granted


def test_new_owner_promises_nothing_large_while_writes_of_earlier_ones_may_be_on_their_way():
    subject, clock = _ledger(first_term=False)
    decision = subject.promise("1", LARGE)
    assert not decision.granted and decision.uncertain and decision.retry_after_s >= 2.0
    assert subject.promise("2", SMALL).granted
    clock.now += decision.retry_after_s
    assert subject.promise("1", LARGE).granted


def test_refused_job_comes_back_about_when_there_is_memory_again():
    subject, clock = _ledger()
    for number in range(5):
        subject.record(f"{number}", LARGE)
    assert subject.promise("later", LARGE).retry_after_s == ledger.MAX_RETRY_AFTER_S
    subject.remove("0")
    clock.now += 1.0
    assert subject.promise("first", LARGE).granted
    assert 2.0 <= subject.promise("second", LARGE).retry_after_s <= 15.0


@pytest.mark.parametrize("seed", range(20))
def test_used_memory_is_the_sum_of_the_prices(seed):
    pick = random.Random(seed)
    subject, clock = _ledger()
    prices: dict[str, int] = {}
    for _ in range(300):
        job_id = f"{pick.randrange(30)}"
        clock.now += pick.random()
        match pick.randrange(3):
            case 0:
                prices[job_id] = pick.randrange(1, 2 * LARGE)
                subject.record(job_id, prices[job_id])
            case 1:
                prices.pop(job_id, None)
                subject.remove(job_id)
            case _:
                price_bytes = pick.choice((SMALL, LARGE))
                known = job_id in prices
                granted = subject.promise(job_id, price_bytes).granted
                assert granted or not known
        assert subject.used_bytes == sum(prices.values())
