from __future__ import annotations

import time

from ebonyhatch.ports import timing
from twisted.internet import selectreactor


def test_timers_of_a_reactor_do_not_follow_steps_of_the_time_of_day():
    reactor = selectreactor.SelectReactor()
    timing.use_monotonic_clock(reactor)
    before = time.monotonic()
    timer = reactor.callLater(5.0, print)
    after = time.monotonic()
    assert before <= reactor.seconds() <= time.monotonic()
    assert before + 5.0 <= timer.getTime() <= after + 5.0
    timer.cancel()
