from __future__ import annotations

import pytest
from ebonyhatch.fleet import clocks, suspension
from twisted.internet import task


def test_only_time_in_which_the_process_stood_still_counts_and_once():
    clock = task.Clock()
    all_clocks = clocks.MemoryClocks(clock=clock)
    subject = suspension.SuspensionWatch(all_clocks=all_clocks)
    clock.advance(10.0)
    assert subject.suspended_s() == 0.0
    all_clocks.suspended_s += suspension.MIN_SUSPENSION_S + 1.5
    clock.advance(1.0)
    assert subject.suspended_s() == pytest.approx(suspension.MIN_SUSPENSION_S + 1.5)
    assert subject.suspended_s() == 0.0
