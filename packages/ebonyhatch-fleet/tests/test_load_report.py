"""The log line of an owner's load."""

from __future__ import annotations

import pytest
from ebonyhatch.fleet import call_counts, clocks, decision_log, load_report
from ebonyhatch.node import coroutines
from twisted.internet import task


class LoadCase:
    """A report on a fake clock, with gauges and counts of calls that the test sets."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = task.Clock()
        self.lines: list[dict[str, object]] = []
        self.gauges = dict.fromkeys((*load_report.CURRENT, *load_report.COUNTED, "term"), 0.0)
        self.calls = {"poll": call_counts.CallCounts(), "start": call_counts.CallCounts()}
        monkeypatch.setattr(
            decision_log, "write", lambda event, **fields: self.lines.append(fields)
        )
        all_clocks = clocks.Clocks(reactor=self.clock)
        report = load_report.LoadReport(
            all_clocks=all_clocks,
            gauges=lambda: self.gauges,
            calls=lambda: self.calls,
            group=coroutines.CoroutineGroup(clock=self.clock),
        )
        report.start()


@pytest.fixture
def case(monkeypatch):
    return LoadCase(monkeypatch)


def test_entry_that_is_not_the_owner_logs_no_load(case):
    case.clock.pump([load_report.INTERVAL_S] * 5)
    assert case.lines == []


def test_line_holds_what_was_counted_since_the_last_one(case):
    case.gauges |= {"term": 3.0, "ticks": 10.0, "tasks_waiting": 4.0}
    case.clock.advance(load_report.INTERVAL_S)
    case.gauges |= {"ticks": 25.0, "tasks_waiting": 7.0, "tick_seconds": 0.25}
    case.calls["poll"].bytes_sent += 300
    case.calls["start"].bytes_sent += 200
    case.calls["start"].bytes_received += 90
    case.clock.advance(load_report.INTERVAL_S)
    (line,) = case.lines
    assert (line["term"], line["ticks"], line["tasks_waiting"]) == (3, 15.0, 7.0)
    assert (line["tick_seconds"], line["interval_seconds"]) == (0.25, load_report.INTERVAL_S)
    assert (line["bytes_sent"], line["bytes_received"]) == (500, 90)


def test_counts_of_one_term_are_not_compared_with_those_of_another(case):
    case.gauges |= {"term": 3.0, "ticks": 1000.0}
    case.clock.advance(load_report.INTERVAL_S)
    case.gauges |= {"term": 5.0, "ticks": 12.0}
    case.clock.advance(load_report.INTERVAL_S)
    assert case.lines == []
    case.gauges |= {"ticks": 20.0}
    case.clock.advance(load_report.INTERVAL_S)
    assert [line["ticks"] for line in case.lines] == [8.0]
