from __future__ import annotations

import eliot
import pytest
import world as world_module
from ebonyhatch.fleet import clocks, loop_delay
from twisted.internet import task

STEP_S = 0.01


class Loop:
    """A loop delay on a fake clock, and the log lines that it wrote."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.delay = loop_delay.LoopDelay(all_clocks=clocks.MemoryClocks(clock=self.clock))
        self.lines: list[dict] = []

    def receive(self, message: dict) -> None:
        if message.get("message_type") == "loop.delayed":
            self.lines.append(message)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def block(self, seconds: float) -> float:
        """Makes the next callback but one late by a time; returns when it was due."""
        runs_before = self.delay._due_at
        while self.delay._due_at == runs_before:
            self.clock.advance(STEP_S)
        due_at = self.delay._due_at
        self.clock.advance(loop_delay.INTERVAL_S + seconds)
        return due_at


@pytest.fixture
def loop():
    measured = Loop()
    eliot.add_destinations(measured.receive)
    measured.delay.start()
    yield measured
    measured.delay.close()
    eliot.remove_destination(measured.receive)


def test_a_loop_that_runs_callbacks_in_time_has_no_delay(loop):
    loop.run(5.0)
    assert loop.delay.recent_s < 2 * STEP_S
    assert loop.lines == []


def test_the_largest_delay_of_the_last_second_is_recent(loop):
    loop.block(0.6)
    assert loop.delay.recent_s == pytest.approx(0.6)
    loop.run(0.3)
    loop.block(0.2)
    assert loop.delay.recent_s == pytest.approx(0.6)
    loop.run(0.6)
    assert loop.delay.recent_s == pytest.approx(0.2)
    loop.run(1.0)
    assert loop.delay.recent_s < 2 * STEP_S


def test_one_delay_is_logged_once(loop):
    due_at = loop.block(0.6)
    loop.run(5.0)
    assert [line["delay_s"] for line in loop.lines] == [pytest.approx(0.6)]
    assert loop.lines[0]["since"] - clocks.WALL_START_S == pytest.approx(due_at, abs=0.002)


def test_a_short_delay_is_not_logged(loop):
    loop.block(0.2)
    loop.run(2.0)
    assert loop.lines == []


def test_lasting_delays_are_logged_once_a_second_with_the_time_of_the_first(loop):
    for _ in range(10):
        loop.block(0.4)
    assert 4 <= len(loop.lines) <= loop.clock.seconds()
    assert len({line["since"] for line in loop.lines}) == 1
    loop.run(3.0)
    loop.block(0.4)
    assert loop.lines[-1]["since"] > loop.lines[0]["since"] + 3.0


def test_a_larger_delay_within_a_second_of_a_line_is_logged_with_the_next(loop):
    loop.block(0.3)
    loop.block(0.5)
    assert len(loop.lines) == 1
    loop.run(1.0)
    assert [line["delay_s"] for line in loop.lines] == [pytest.approx(0.3), pytest.approx(0.5)]


def test_nothing_is_measured_after_close(loop):
    loop.block(0.6)
    loop.delay.close()
    assert loop.delay.recent_s == 0.0
    assert loop.clock.getDelayedCalls() == []
    loop.delay.close()


def test_each_entry_reports_the_delay_of_its_loop():
    world = world_module.World()
    world.run(1.0)
    world.clock.advance(loop_delay.INTERVAL_S + 0.4)
    for member in world.members.values():
        gauges = member.node.metrics.render().decode().splitlines()
        value = next(line for line in gauges if line.startswith("ebonyhatch_loop_delay_seconds "))
        assert float(value.split()[1]) == pytest.approx(0.4, abs=world_module.STEP_S)
