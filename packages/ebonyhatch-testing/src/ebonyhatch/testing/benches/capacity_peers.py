"""Capacity probes of the peer network over loopback: gossip, heartbeats and calls."""

from __future__ import annotations

import collections
import time
from collections.abc import Callable
from typing import Any

from ebonyhatch.core import scheduler
from ebonyhatch.node import frames, gossip, keys, messages, peers
from ebonyhatch.ports import workers
from ebonyhatch.testing.benches import capacity_slopes
from twisted.internet import defer, reactor, task

ENTRY_SIZES = (6, 12, 24)
QUICK_ENTRY_SIZES = (2, 3, 4)
REGIONS = 6
CELLS = 40
FRAME_CELLS = (0, 7, 20, 40)
CALL_SIZES_BYTES = (200, 20_000, 200_000)
CALLS = 300
QUICK_CALLS = 30
IN_FLIGHT = 8
RUN_S = 8.0
QUICK_RUN_S = 1.0
WARM_UP_S = 3.0
QUICK_WARM_UP_S = 1.0
TIMEOUT_S = 10.0
POLL_S = 0.01

SUMMARY = scheduler.CapacitySummary(
    free_slots=1_234, total_slots=1_980, queued_urgent=0, wait_s=0.0123, queued_batch=1_000
)


class Member:
    """One entry that sends gossip and counts its traffic."""

    def __init__(self, *, name: str, cells: int, key_ring: keys.KeyRing | None) -> None:
        self.name = name
        self.cells = cells
        self.traffic: collections.Counter[str] = collections.Counter()
        self.frames: collections.Counter[str] = collections.Counter()
        self.network = peers.PeerNetwork(
            reactor=reactor,
            entry_id=name,
            host="127.0.0.1",
            port=0,
            keys=key_ring,
            on_bytes=self._count,
        )
        self.gossiper = gossip.Gossiper(reactor=reactor, network=self.network, report=self._report)

    def close(self) -> None:
        """Stops gossip and closes the network."""
        self.gossiper.close()
        self.network.close()

    def _count(self, direction: str, size: int) -> None:
        self.traffic[direction] += size
        self.frames[direction] += 1

    def _report(self) -> messages.Gossip:
        return gossip_of(self.name, self.cells)


def gossip_of(entry_id: str, cells: int) -> messages.Gossip:
    """Builds the gossip message of an entry with this many cells."""
    return messages.Gossip(
        entry_id=entry_id,
        generation=123_456,
        ownership_version=12_345,
        rooms=tuple(
            messages.CellRoom(cell=f"domain-{number:02}.1", epoch=12, room=SUMMARY)
            for number in range(cells)
        ),
    )


class Mesh:
    """Entries that are all peers of each other; entries of one region are near."""

    def __init__(self, *, size: int, regions: int, cells: int, keyed: bool = False) -> None:
        names = [f"entry-{number:03}" for number in range(size)]
        pairs = {name: keys.new_pair() for name in names}
        public = {name: pair.public for name, pair in pairs.items()}
        key_rings = {name: keys.KeyRing(pair=pairs[name], peers=public) for name in names}
        self.members = [
            Member(name=name, cells=cells, key_ring=key_rings[name] if keyed else None)
            for name in names
        ]
        self._regions = regions

    def start(self) -> None:
        """Starts to listen, connects all members and starts gossip."""
        for member in self.members:
            member.network.start()
        for number, member in enumerate(self.members):
            region = number % self._regions
            others = [(n, other) for n, other in enumerate(self.members) if n != number]
            near = tuple(o.name for n, o in others if n % self._regions == region)
            far = tuple(o.name for n, o in others if n % self._regions != region)
            member.network.set_peers(
                peers=tuple(
                    peers.PeerAddress(
                        entry_id=other.name,
                        host="127.0.0.1",
                        port=other.network.port,
                        near=other.name in near,
                    )
                    for _, other in others
                )
            )
            member.gossiper.set_peers(near=near, far=far)
            member.gossiper.start()

    def close(self) -> None:
        """Closes all members."""
        for member in self.members:
            member.close()

    def total(self, counter: str) -> int:
        """Returns the sum of a counter over all members and both directions."""
        return sum(sum(getattr(member, counter).values()) for member in self.members)


def run_on_reactor(work: Callable[[], defer.Deferred[None]]) -> None:
    """Iterates the reactor until `work` is done, without `run`, so that it can be used again."""
    done = work()
    failures: list[object] = []
    running_reactor: Any = reactor
    done.addErrback(failures.append)
    while not done.called:
        running_reactor.iterate(POLL_S)
    if failures:
        raise RuntimeError(str(failures[0]))


def sleep(seconds: float) -> defer.Deferred[None]:
    """Returns a deferred that fires after a delay."""
    return task.deferLater(reactor, seconds, lambda: None)


class MeshFigures:
    """Traffic and processor time per entry of one mesh."""

    def __init__(self, *, mesh: Mesh, quick: bool) -> None:
        self._mesh = mesh
        self._run_s = QUICK_RUN_S if quick else RUN_S
        self._warm_up_s = QUICK_WARM_UP_S if quick else WARM_UP_S
        self.kb_s = 0.0
        self.frames_s = 0.0
        self.cpu_ms_s = 0.0

    def measure(self) -> MeshFigures:
        """Runs the mesh: a warm-up, then the measured period."""
        run_on_reactor(lambda: defer.ensureDeferred(self._measure()))
        return self

    async def _measure(self) -> None:
        mesh = self._mesh
        mesh.start()
        await sleep(self._warm_up_s)
        traffic, frames_before = mesh.total("traffic"), mesh.total("frames")
        cpu, started_at = time.process_time(), time.monotonic()
        await sleep(self._run_s)
        entry_seconds = (time.monotonic() - started_at) * len(mesh.members)
        self.kb_s = (mesh.total("traffic") - traffic) / entry_seconds / 1e3
        self.frames_s = (mesh.total("frames") - frames_before) / entry_seconds
        self.cpu_ms_s = (time.process_time() - cpu) / entry_seconds * 1e3
        mesh.close()


@capacity_slopes.probe("gossip")
def gossip_traffic(*, seed: int, quick: bool) -> list[capacity_slopes.Slope]:
    """Measures payload and processor time of gossip and heartbeats, in one region and in six."""
    slopes = []
    for title, regions, keyed in (("one region", 1, False), ("six regions, keys", 6, True)):
        kilobytes, frame_rates, times = [], [], []
        for size in QUICK_ENTRY_SIZES if quick else ENTRY_SIZES:
            mesh = Mesh(size=size, regions=regions, cells=max(1, CELLS // size), keyed=keyed)
            figures = MeshFigures(mesh=mesh, quick=quick).measure()
            kilobytes.append((size, figures.kb_s))
            frame_rates.append((size, figures.frames_s))
            times.append((size, figures.cpu_ms_s))
        slopes += [
            capacity_slopes.slope(
                name=f"gossip, {title}: payload both ways",
                unit="KB/s",
                per="entries",
                points=kilobytes,
            ),
            capacity_slopes.slope(
                name=f"gossip, {title}: frames both ways",
                unit="1/s",
                per="entries",
                points=frame_rates,
            ),
            capacity_slopes.slope(
                name=f"gossip, {title}: processor time", unit="ms/s", per="entries", points=times
            ),
        ]
    return slopes


@capacity_slopes.probe("gossip frame")
def gossip_frame(*, seed: int, quick: bool) -> list[capacity_slopes.Slope]:
    """Measures the size of a gossip frame against the cells of its sender.

    At 0 cells the frame holds only the generation of the configuration and the ownership version.
    """
    points = []
    for cells in FRAME_CELLS:
        frame = frames.encode(
            kind=frames.Kind.SEND, sender="entry-001", message=gossip_of("entry-001", cells)
        )
        points.append((cells, len(frame)))
    return [capacity_slopes.slope(name="gossip: frame", unit="B", per="cells", points=points)]


@capacity_slopes.probe("peer calls")
def peer_calls(*, seed: int, quick: bool) -> list[capacity_slopes.Slope]:
    """Measures processor time of both sides for a forwarded request and its response."""
    points = []
    for size in CALL_SIZES_BYTES:
        mesh = Mesh(size=2, regions=1, cells=1)
        points.append((size / 1e3, _call_us(mesh, size, QUICK_CALLS if quick else CALLS)))
    return [
        capacity_slopes.slope(
            name="peer call: both sides", unit="us", per="KB of body each way", points=points
        )
    ]


def _call_us(mesh: Mesh, size: int, count: int) -> float:
    processor_times: list[float] = []

    async def work() -> None:
        mesh.start()
        caller_network, owner_network = (member.network for member in mesh.members)
        answer = messages.RequestReply(request_id="r", answer=_response(size))
        owner_network.handle(messages.RequestCall, lambda sender, message: answer)
        while caller_network.last_frame_age_s(mesh.members[1].name) is None:
            await sleep(0.01)
        started_at = time.process_time()
        for _ in range(count // IN_FLIGHT):
            await defer.gatherResults(
                [
                    caller_network.call(
                        entry_id=mesh.members[1].name, message=_call(size), timeout_s=TIMEOUT_S
                    ).addCallback(lambda reply: reply.unwrap())
                    for _ in range(IN_FLIGHT)
                ]
            )
        processor_times.append(time.process_time() - started_at)
        mesh.close()

    run_on_reactor(lambda: defer.ensureDeferred(work()))
    return processor_times[0] / (count // IN_FLIGHT * IN_FLIGHT) * 1e6


def _response(size: int) -> workers.ServiceResponse:
    return workers.ServiceResponse(request_id="r", status=200, headers=(), body=bytes(size))


def _call(size: int) -> messages.RequestCall:
    request = workers.ServiceRequest(
        request_id="r",
        service="quotes",
        method="POST",
        path="/v1/quotes",
        headers=(workers.Header(name="Content-Type", value="application/json"),),
        body=bytes(size),
        timeout_s=TIMEOUT_S,
    )
    return messages.RequestCall(
        cell="domain-01.1", request=request, work_class="quote", tenant="team-1", idempotent=True
    )
