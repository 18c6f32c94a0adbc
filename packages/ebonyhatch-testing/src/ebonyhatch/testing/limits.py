"""Bounds on latency and batch throughput that no policy can beat on the same workload."""

from __future__ import annotations

import dataclasses
import heapq

from ebonyhatch.testing import workloads


@dataclasses.dataclass(slots=True, kw_only=True)
class Limits:
    """Bounds from urgent work alone, with batch work on every slot that it leaves free.

    Attributes:
        latencies: Latency of each request without any batch work, seconds.
        batch_s: Slot-seconds that urgent work alone leaves free.
        late: Number of requests that miss their deadline even without batch work.
    """

    latencies: list[float]
    batch_s: float
    late: int


def compute(workload: workloads.Workload) -> Limits:
    """Computes the bounds by serving urgent work in order of arrival on all slots."""
    slots = workload.deployment.slots
    end_times: list[float] = []
    latencies = []
    used_s = 0.0
    late = 0
    fixed_s = 2 * workload.deployment.caller_delay_s
    for arrival in workload.arrivals:
        while end_times and end_times[0] <= arrival.at:
            heapq.heappop(end_times)
        start_at = arrival.at if len(end_times) < slots else heapq.heappop(end_times)
        service_s = arrival.service_s + 2 * workloads.NETWORK_DELAY_S
        heapq.heappush(end_times, start_at + service_s)
        used_s += service_s
        latency = start_at + service_s - arrival.at + fixed_s
        late += latency > workload.deployment.urgent[arrival.kind].deadline_s
        latencies.append(latency)
    return Limits(latencies=latencies, batch_s=slots * workload.duration_s - used_s, late=late)
