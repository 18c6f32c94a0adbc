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


def run(limit, *, service_s=30.0):
    clock = task.Clock()
    sender = Sender(clock, service_s)
    ended = []
    running = load_run.LoadRun(plan=PLAN, send=sender.send, clock=clock)
    defer.ensureDeferred(running.start()).addCallback(ended.append)
    clock.pump([0.01] * limit)
    return sender, ended


def test_run_ends_after_the_last_answer_and_arrivals_wait_for_none():
    due = [arrival.at_s for arrival in load_plan.arrivals(PLAN)]
    sender, ended = run(500)
    assert sender.sent_at == pytest.approx(due, abs=0.02)
    assert ended == []
    _, ended = run(3_600)
    assert ended[0].summary()["classes"]["quote"]["answered"] == len(due)


def test_last_request_is_waited_for_when_nothing_else_is_open():
    last_at = max(arrival.at_s for arrival in load_plan.arrivals(PLAN))
    _, ended = run(round(last_at * 100) + 10, service_s=0.2)
    assert ended == []
    _, ended = run(round(last_at * 100) + 50, service_s=0.2)
    assert len(ended) == 1


def test_what_is_due_beyond_the_limit_is_not_sent(monkeypatch):
    monkeypatch.setattr(load_run, "IN_PROGRESS_LIMIT", 1)
    _, ended = run(3_600)
    counts = ended[0].summary()["classes"]["quote"]
    assert (counts["answered"], counts["not-sent"]) == (1, len(list(load_plan.arrivals(PLAN))) - 1)
