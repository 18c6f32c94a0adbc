"""Demand: level in the noise, rises, peaks."""

from __future__ import annotations

import random

from ebonyhatch.core import demand

SERVICE_S = 0.1


def fed(rates, seed=1):
    source = random.Random(seed)
    built = demand.Demand()
    built.served(SERVICE_S)
    built.roll(now=0.0)
    for number, rate in enumerate(rates, start=1):
        mean = rate * demand.BIN_S
        for _ in range(max(0, round(source.gauss(mean, mean**0.5)))):
            built.arrive()
        built.roll(now=number * demand.BIN_S)
    return built, len(rates) * demand.BIN_S


def test_steady_demand_is_no_surge():
    for seed in range(5):
        built, now = fed([400.0] * 600, seed=seed)
        assert not built.surging(now=now)
        assert 35.0 < built.forecast(ahead_s=1.2) < 45.0


def test_steep_rise_is_seen_and_extrapolated():
    ramp = [400.0 + 50.0 * number for number in range(8)]
    built, now = fed([400.0] * 100 + ramp)
    assert built.surging(now=now)
    assert built.forecast(ahead_s=1.2) > 80.0


def test_peak_is_remembered():
    built, _ = fed([400.0] * 50 + [1400.0] * 50 + [400.0] * 100)
    assert built.peak > 120.0
    assert built.forecast(ahead_s=0.0) < 60.0
