import pytest
from ebonyhatch.cli import load_plan, load_report, load_run
from twisted.internet import defer, task

PLAN = load_plan.Plan(
    rates=(load_plan.ClassRate(work_class="quote", rate_per_s=1.0),), duration_s=5.0, seed=2
)


class Sender:
    def __init__(self, clock, service_s):
        self._clock = clock
        self._service_s = service_s
        self.sent_at = []

    async def send(self, arrival):
        self.sent_at.append(self._clock.seconds())
        await task.deferLater(self._clock, self._service_s)
        return load_report.Outcome.ANSWERED


def run(steps, *, service_s=30.0):
    clock = task.Clock()
    sender = Sender(clock, service_s)
    reports = []
    running = load_run.LoadRun(plan=PLAN, send=sender.send, clock=clock)
    defer.ensureDeferred(running.start()).addCallback(reports.append)
    clock.pump([0.01] * steps)
    return sender, reports


def test_run_ends_after_the_last_answer_and_arrivals_wait_for_none():
    due = [arrival.at_s for arrival in load_plan.arrivals(PLAN)]
    sender, reports = run(500)
    assert sender.sent_at == pytest.approx(due, abs=0.02)
    assert reports == []
    _, reports = run(3_600)
    assert reports[0].summary()["classes"]["quote"]["answered"] == len(due)


def test_last_request_is_waited_for_when_nothing_else_is_open():
    last_at = max(arrival.at_s for arrival in load_plan.arrivals(PLAN))
    _, reports = run(round(last_at * 100) + 10, service_s=0.2)
    assert reports == []
    _, reports = run(round(last_at * 100) + 50, service_s=0.2)
    assert len(reports) == 1


def test_requests_over_the_limit_are_not_sent(monkeypatch):
    monkeypatch.setattr(load_run, "MAX_IN_PROGRESS", 1)
    _, reports = run(3_600)
    counts = reports[0].summary()["classes"]["quote"]
    assert (counts["answered"], counts["not-sent"]) == (1, len(list(load_plan.arrivals(PLAN))) - 1)
