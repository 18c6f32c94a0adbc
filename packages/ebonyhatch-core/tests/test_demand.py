"""Demand: level in noisy arrivals, steep rises and peaks."""

from __future__ import annotations

import random

from ebonyhatch.core import demand

SERVICE_S = 0.1


def demand_after(rates, seed=1):
    source = random.Random(seed)
    measured = demand.Demand()
    measured.record_service_time(SERVICE_S)
    measured.close_bin(now=0.0)
    for number, rate in enumerate(rates, start=1):
        mean = rate * demand.BIN_S
        for _ in range(max(0, round(source.gauss(mean, mean**0.5)))):
            measured.record_arrival()
        measured.close_bin(now=number * demand.BIN_S)
    return measured, len(rates) * demand.BIN_S


def test_steady_demand_is_no_surge():
    for seed in range(5):
        measured, now = demand_after([400.0] * 600, seed=seed)
        assert not measured.surging(now=now)
        assert 35.0 < measured.forecast(ahead_s=1.2) < 45.0


def test_steep_rise_is_seen_and_extrapolated():
    ramp = [400.0 + 50.0 * number for number in range(8)]
    measured, now = demand_after([400.0] * 100 + ramp)
    assert measured.surging(now=now)
    assert measured.forecast(ahead_s=1.2) > 80.0


def test_peak_is_remembered():
    measured, _ = demand_after([400.0] * 50 + [1400.0] * 50 + [400.0] * 100)
    assert measured.peak > 120.0
    assert measured.forecast(ahead_s=0.0) < 60.0
