from __future__ import annotations

import pytest
from ebonyhatch.fleet import clocks, poll_pace
from twisted.internet import task

BYTES_PER_S = 625_000.0
REVIEWS = 40


class PaceCase:
    """A pace with the delay of the loop and the use of the link that a test sets."""

    def __init__(self, *, bytes_per_s: float = BYTES_PER_S) -> None:
        self.clock = task.Clock()
        self.delay_s = 0.0
        self.bytes = 0.0
        self.pace = poll_pace.PollPace(
            all_clocks=clocks.MemoryClocks(clock=self.clock),
            loop_delay_s=lambda: self.delay_s,
            link_bytes=lambda: int(self.bytes),
            link_bytes_per_s=bytes_per_s,
        )

    def review(self, reviews: int = 1, *, rate: float = 0.0) -> float:
        for _ in range(reviews):
            self.clock.advance(poll_pace.REVIEW_INTERVAL_S)
            self.bytes += rate * poll_pace.REVIEW_INTERVAL_S
            pause_s = self.pace.pause_s()
        return pause_s


def test_pause_is_the_shortest_without_overload():
    case = PaceCase()
    assert case.pace.pause_s() == poll_pace.MIN_PAUSE_S
    assert case.review(REVIEWS, rate=0.7 * BYTES_PER_S) == poll_pace.MIN_PAUSE_S


@pytest.mark.parametrize(
    ("delay_s", "share"), [(1.2 * poll_pace.MAX_LOOP_DELAY_S, 0.0), (0.0, 0.9)]
)
def test_pause_grows_under_overload_up_to_its_limit_and_decays_after_it(delay_s, share):
    case = PaceCase()
    case.delay_s = delay_s
    pauses = [case.review(rate=share * BYTES_PER_S) for _ in range(REVIEWS)]
    assert pauses[0] == pytest.approx(poll_pace.MIN_PAUSE_S * poll_pace.GROWTH)
    assert pauses == sorted(pauses) and max(pauses) == poll_pace.MAX_PAUSE_S
    case.delay_s = 0.0
    pauses = [case.review() for _ in range(REVIEWS)]
    assert pauses[0] == pytest.approx(poll_pace.MAX_PAUSE_S * poll_pace.DECAY)
    assert pauses == sorted(pauses, reverse=True) and min(pauses) == poll_pace.MIN_PAUSE_S


def test_pause_changes_once_an_interval_however_often_it_is_asked_for():
    case = PaceCase()
    case.delay_s = 1.0
    assert case.review() == pytest.approx(poll_pace.MIN_PAUSE_S * poll_pace.GROWTH)
    for _ in range(1000):
        assert case.pace.pause_s() == pytest.approx(poll_pace.MIN_PAUSE_S * poll_pace.GROWTH)


def test_link_without_a_known_limit_is_never_overloaded():
    case = PaceCase(bytes_per_s=0.0)
    assert case.review(REVIEWS, rate=1e9) == poll_pace.MIN_PAUSE_S


def test_link_is_judged_by_its_use_since_the_last_review():
    case = PaceCase()
    case.bytes = 1e9
    case.review()
    grown = case.pace.pause_s()
    assert case.review() < grown
