"""Capacity probes of the metrics: memory and scrape time against label sets."""

from __future__ import annotations

import time

from ebonyhatch.node import metrics
from ebonyhatch.testing.benches import capacity_slopes

SIZES = (128, 512, 1_024)
QUICK_SIZES = (16, 32, 64)


@capacity_slopes.probe("metrics")
def label_sets(*, seed: int, quick: bool) -> list[capacity_slopes.Slope]:
    """Measures memory, rendering time and its longest slice against pairs of class and tenant."""
    retained, sizes, times, slices = [], [], [], []
    for size in QUICK_SIZES if quick else SIZES:
        before = capacity_slopes.resident_bytes()
        recorded = metrics.Metrics(label_sets=size)
        for number in range(size):
            pair = {"work_class": f"class-{number % 8}", "tenant": f"team-{number}"}
            recorded.record_wait_time(**pair, seconds=0.02)
            recorded.record_service_time(**pair, seconds=0.1)
            recorded.record_total_time(**pair, seconds=0.12)
        retained.append(recorded)
        sizes.append((size, (capacity_slopes.resident_bytes() - before) / 1e6))
        times.append((size, capacity_slopes.min_cpu_s(recorded.render) * 1e3))
        slices.append((size, min(_longest_slice_ms(recorded) for _ in range(3))))
    per = "pairs of class and tenant"
    return [
        capacity_slopes.slope(name="metrics: memory", unit="MB", per=per, points=sizes),
        capacity_slopes.slope(name="metrics: one scrape", unit="ms", per=per, points=times),
        capacity_slopes.slope(name="metrics: longest turn", unit="ms", per=per, points=slices),
    ]


def _longest_slice_ms(recorded: metrics.Metrics) -> float:
    longest, started_at = 0.0, time.process_time()
    for _ in recorded.slices():
        now = time.process_time()
        longest, started_at = max(longest, now - started_at), now
    return longest * 1e3
