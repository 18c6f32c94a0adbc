from __future__ import annotations

import pytest
from ebonyhatch.fleet import messages
from ebonyhatch.fleet.budget import gate, ledger
from twisted.internet import defer

BUDGET = 12_000_000
SMALL = 50_000
LARGE = 1_000_000


class _Gate:
    """A gate whose owner is replaced by a prepared answer."""

    def __init__(self, *, entries: int = 3) -> None:
        self.now = 100.0
        self.asked: list[str] = []
        self.answer: object | None = None
        self.subject = gate.Gate(
            budget=BUDGET,
            ask_owner=self._ask,
            entry_count=lambda: entries,
            now=lambda: self.now,
        )

    async def _ask(self, call: messages.ReserveCall) -> object | None:
        self.asked.append(call.job_id)
        return self.answer

    def decide(self, job_id: str, price_bytes: int) -> ledger.Decision:
        outcome: list[ledger.Decision] = []
        pending = defer.Deferred.fromCoroutine(self.subject.decide(job_id, price_bytes))
        pending.addCallback(outcome.append)
        return outcome[0]


def test_small_jobs_are_accepted_without_the_owner_up_to_an_allowance():
    """Guards against memory that fills while no owner answers."""
    world = _Gate()
    granted = 0
    while world.decide(f"{granted}", SMALL).granted:
        granted += 1
    assert granted == int(gate.ALLOWANCE_SHARE * BUDGET / 3 / SMALL)
    assert world.asked == [f"{granted}"]
    world.now += gate.REFILL_S / 2
    assert world.decide("later", SMALL).granted


def test_owner_is_asked_for_small_jobs_beyond_the_allowance():
    world = _Gate(entries=1_000)
    world.answer = messages.ReserveAnswer(acting=True, decision=ledger.Decision(granted=True))
    assert world.decide("1", SMALL).granted and world.asked == ["1"]


@pytest.mark.parametrize("answer", [None, messages.ReserveAnswer(acting=False)])
def test_large_job_is_refused_while_no_owner_answers(answer):
    world = _Gate()
    world.answer = answer
    decision = world.decide("1", LARGE)
    assert not decision.granted and decision.uncertain and decision.retry_after_s > 0


def test_job_that_never_fits_is_refused_without_the_owner():
    world = _Gate()
    assert world.decide("1", BUDGET).permanent and not world.asked


def test_owner_is_asked_for_small_jobs_while_it_reports_that_the_memory_is_nearly_full():
    world = _Gate()
    world.subject.report_use(0.9)
    assert world.decide("smaller", SMALL // 10).granted and not world.asked
    assert world.decide("1", SMALL).uncertain and world.asked == ["1"]
    world.now += gate.REPORT_VALID_S + 0.1
    assert world.decide("2", SMALL).granted
    world.subject.report_use(0.9)
    world.subject.report_use(0.3)
    assert world.decide("3", SMALL).granted and world.asked == ["1"]
