from __future__ import annotations

import contextlib
import os

import eliot
import msgspec
import pytest
from ebonyhatch.fleet import decision_log, metrics
from twisted.internet import task


@pytest.fixture
def pipe():
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def lines(descriptor: int) -> list[dict]:
    written = os.read(descriptor, 1_000_000)
    return [msgspec.json.decode(line) for line in written.splitlines()]


def test_a_line_has_the_fields_of_a_message_that_eliot_makes(pipe):
    log = decision_log.DecisionLog(descriptor=pipe[1], clock=task.Clock(), common={"entry": "e1"})
    log.start()
    fields = {"job_id": "j", "state": "", "reason": None, "took_s": 0.25, "steps": 0}
    eliot.log_message(message_type="job.shown", **fields)
    decision_log.write("job.shown", **fields)
    log.close()
    made_by_eliot, written = lines(pipe[0])
    assert list(written) == list(made_by_eliot)
    assert written.pop("timestamp") >= made_by_eliot.pop("timestamp")
    assert written == made_by_eliot
    assert written == {
        "job_id": "j",
        "took_s": 0.25,
        "steps": 0,
        "message_type": "job.shown",
        "entry": "e1",
    }


def test_a_line_that_the_rate_limit_drops_is_counted_by_the_metrics(pipe, monkeypatch):
    monkeypatch.setattr(decision_log, "MAX_BURST_LINES", 2.0)
    log = decision_log.DecisionLog(descriptor=pipe[1], clock=task.Clock(), common={})
    counted = metrics.Metrics(gauges=dict)
    log.start()
    counted.start()
    for _ in range(5):
        decision_log.write("job.removed", job_id="j")
    log.close()
    counted.close()
    assert len(lines(pipe[0])) == 2
    assert log.dropped == 3
    expected = 'ebonyhatch_events_total{event="job.removed",outcome=""} 5.0'
    assert expected in counted.render().decode().splitlines()


def test_lines_that_explain_a_fault_are_not_dropped_for_routine_ones(pipe, monkeypatch):
    """Guards against logs of a busy owner that lack the loss of a run and its second order."""
    monkeypatch.setattr(decision_log, "MAX_BURST_LINES", 2.0)
    monkeypatch.setattr(decision_log, "MAX_RESERVED_LINES", 2.0)
    log = decision_log.DecisionLog(descriptor=pipe[1], clock=task.Clock(), common={})
    log.start()
    for number in range(5):
        decision_log.write("run.order", number=number)
    decision_log.write("run.lost", number=5)
    decision_log.write("run.order", number=6, again=True)
    decision_log.write("run.lost", number=7)
    log.close()
    assert [line["number"] for line in lines(pipe[0])] == [0, 1, 5, 6]


def test_lines_of_one_decision_are_written_together_and_soon(pipe, monkeypatch):
    writes = []
    write = os.write
    monkeypatch.setattr(os, "write", lambda end, data: writes.append(len(data)) or write(end, data))
    clock = task.Clock()
    log = decision_log.DecisionLog(descriptor=pipe[1], clock=clock, common={})
    log.start()
    for number in range(30):
        decision_log.write("run.order", number=number)
    assert writes == []
    clock.advance(decision_log.FLUSH_DELAY_S)
    assert len(writes) == 1
    assert [line["number"] for line in lines(pipe[0])] == list(range(30))
    decision_log.write("run.order", number=30)
    clock.advance(decision_log.FLUSH_DELAY_S)
    assert [line["number"] for line in lines(pipe[0])] == [30]
    log.close()


def test_many_lines_are_written_before_the_delay_and_each_write_holds_whole_lines(
    pipe, monkeypatch
):
    written = []
    write = os.write
    monkeypatch.setattr(os, "write", lambda end, data: written.append(data) or write(end, data))
    clock = task.Clock()
    log = decision_log.DecisionLog(descriptor=pipe[1], clock=clock, common={})
    log.start()
    for number in range(300):
        decision_log.write("run.order", number=number, text="t" * (number % 90))
    assert 8 < len(written) < 30
    clock.advance(decision_log.FLUSH_DELAY_S)
    assert all(part.endswith(b"\n") and len(part) <= decision_log.WRITE_BYTES for part in written)
    assert [line["number"] for line in lines(pipe[0])] == list(range(300))
    log.close()


def test_lines_that_the_reader_holds_up_are_written_whole_once_it_reads(pipe):
    clock = task.Clock()
    log = decision_log.DecisionLog(descriptor=pipe[1], clock=clock, common={})
    log.start()
    text = "t" * 1000
    for number in range(200):
        decision_log.write("run.order", number=number, text=text)
    received = b""
    while received.count(b"\n") < 200:
        received += os.read(pipe[0], 1_000_000)
        clock.advance(decision_log.FLUSH_DELAY_S)
    decoded = [msgspec.json.decode(line) for line in received.splitlines()]
    assert [line["number"] for line in decoded] == list(range(200))
    log.close()


def test_line_longer_than_a_write_does_not_take_the_lines_after_it_along(pipe, monkeypatch):
    clock = task.Clock()
    log = decision_log.DecisionLog(descriptor=pipe[1], clock=clock, common={})
    log.start()
    filled = 0
    with contextlib.suppress(BlockingIOError):
        while True:
            filled += os.write(pipe[1], b"x" * decision_log.WRITE_BYTES)
    decision_log.write("run.order", number=-1)
    clock.advance(decision_log.FLUSH_DELAY_S)
    decision_log.write("tick.failed", reason="r" * 2 * decision_log.WRITE_BYTES)
    for number in range(20):
        decision_log.write("run.order", number=number)
    assert len(os.read(pipe[0], filled)) == filled
    written = []
    write = os.write
    monkeypatch.setattr(os, "write", lambda end, data: written.append(data) or write(end, data))
    clock.advance(decision_log.FLUSH_DELAY_S)
    log.close()
    assert [part.count(b"\n") for part in written] == [1, 1, 20]
    assert len(lines(pipe[0])) == 22
