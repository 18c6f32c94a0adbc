"""Capacity probes of the platform's list of instances, which each entry reads completely."""

from __future__ import annotations

import functools

import msgspec
from ebonyhatch.node import instance_view
from ebonyhatch.ports import answers, instances
from ebonyhatch.testing.benches import capacity_slopes, heap_clock
from returns import result
from twisted.internet import defer

SIZES = (330, 1_100, 3_300)
QUICK_SIZES = (20, 40, 80)
DOMAINS = 20
RACK_WORKERS = 11


class EncodedInstances(instances.Instances):
    """Returns a list that is decoded again at each read, as by a client over HTTP."""

    def __init__(self, *, encoded: bytes) -> None:
        self.encoded = encoded

    def start(self) -> None:
        """Does nothing; there is no connection to open."""

    def close(self) -> None:
        """Does nothing; there is no connection to close."""

    def list(self) -> instances.InstancesOutcome:
        """Decodes and returns the list."""
        listed = answers.decode(self.encoded, instances.InstanceList)
        answers.check_amounts(listed)
        return defer.succeed(result.Success(listed))


def encoded_list(size: int, *, age_s: float = 1.0) -> bytes:
    """Encodes a list of workers as the platform returns it."""
    listed = tuple(
        instances.Instance(
            instance_id=f"worker-{number:06}",
            role=instances.Role.WORKER,
            state=instances.InstanceState.LIVE,
            host=f"10.{number // 65_536}.{number // 256 % 256}.{number % 256}",
            port=8_080,
            region=f"region-{number % 6}",
            failure_domain=f"domain-{number % DOMAINS:02}",
            rack=f"rack-{number // RACK_WORKERS:04}",
        )
        for number in range(size)
    )
    return msgspec.json.encode(instances.InstanceList(instances=listed, age_s=age_s))


@capacity_slopes.probe("instance list")
def instance_list(*, seed: int, quick: bool) -> list[capacity_slopes.Slope]:
    """Measures the size of the list, and processor time to read it unchanged and changed."""
    sizes, same, changed = [], [], []
    for size in QUICK_SIZES if quick else SIZES:
        port = EncodedInstances(encoded=encoded_list(size))
        view = instance_view.InstanceView(
            port=port,
            clock=heap_clock.HeapClock(),
            cells_per_domain=lambda: 2,
            on_change=lambda: None,
        )
        refresh = functools.partial(_refresh, view)
        refresh()
        sizes.append((size, len(port.encoded) / 1e3))
        same.append((size, capacity_slopes.min_cpu_s(refresh) * 1e3))
        port.encoded = encoded_list(size + 1)
        changed.append((size, capacity_slopes.cpu_s(refresh) * 1e3))
    per = "instances"
    return [
        capacity_slopes.slope(name="instance list: size", unit="KB", per=per, points=sizes),
        capacity_slopes.slope(
            name="instance list: read unchanged", unit="ms", per=per, points=same
        ),
        capacity_slopes.slope(
            name="instance list: read changed", unit="ms", per=per, points=changed
        ),
    ]


def _refresh(view: instance_view.InstanceView) -> None:
    defer.Deferred.fromCoroutine(view.refresh())
