"""The two limits that no policy beats, worked out on the same draws."""

from __future__ import annotations

import dataclasses
import heapq

from ebonyhatch.testing import workloads


@dataclasses.dataclass(slots=True, kw_only=True)
class Limits:
    """Urgent work alone, and batch work on every slot that it leaves free.

    Attributes:
        latencies: Latency of each request without any batch work, seconds.
        batch_s: Slot-seconds that urgent work alone leaves free.
        late: Requests that would miss their deadline even so.
    """

    latencies: list[float]
    batch_s: float
    late: int


def work_out(draw: workloads.Draw) -> Limits:
    """Serve urgent work first come first served by all slots."""
    slots = draw.deployment.slots
    busy: list[float] = []
    latencies = []
    used_s = 0.0
    late = 0
    fixed_s = 2 * draw.deployment.caller_s
    for arrival in draw.arrivals:
        while busy and busy[0] <= arrival.at:
            heapq.heappop(busy)
        begin = arrival.at if len(busy) < slots else heapq.heappop(busy)
        service_s = arrival.service_s + 2 * workloads.NETWORK_S
        heapq.heappush(busy, begin + service_s)
        used_s += service_s
        latency = begin + service_s - arrival.at + fixed_s
        late += latency > draw.deployment.urgent[arrival.kind].deadline_s
        latencies.append(latency)
    return Limits(latencies=latencies, batch_s=slots * draw.duration_s - used_s, late=late)
