"""Bench of failover: time without an owner, outcomes reported meanwhile, and calls to the store.

Time is that of a fake clock; the entries run the daemon's ownership and cells over in-memory
ports. The baseline is the time rule: workers that do not refuse calls of older epochs.
"""

from __future__ import annotations

import collections
import statistics

import msgspec
from ebonyhatch.core import scheduler
from ebonyhatch.node import frames, messages
from ebonyhatch.testing import checker, history
from ebonyhatch.testing.benches import registry
from ebonyhatch.testing.histories import fleet

ENTRIES = 6
JOIN_S = 40.0
IDLE_S = 60.0
STEADY_S = 30.0
AFTER_KILL_S = 40.0
QUICK_PERIOD_S = 5.0
FINAL_QUIET_S = 60.0
REQUEST_INTERVAL_S = 0.1
JOBS_PER_STEP = 2
JOB_RUN_S = 5.0


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one run.

    Attributes:
        gap_s: Time from the kill of the owner until its workers start new work, seconds.
        answered: Requests answered after the kill.
        not_run: Requests refused after the kill that certainly did not run.
        unknown: Requests whose outcome is unknown, or whose caller's entry was killed.
        violations: Number of violations that the history checker found.
        idle_calls: Store calls per second and entry without work, waiting watches included.
        steady_calls: Store calls per second and entry under load.
        steady_writes: Writes per second and entry under load.
        takeover_calls: Store calls per second and entry in the ten seconds after the kill.
    """

    gap_s: float
    answered: int
    not_run: int
    unknown: int
    violations: int
    idle_calls: float
    steady_calls: float
    steady_writes: float
    takeover_calls: float


@registry.bench("failover")
def run(*, seeds: tuple[int, ...], quick: bool) -> None:
    """Measures each seed with workers that refuse older epochs, then with workers that do not."""
    for fenced in (True, False):
        label = "fenced" if fenced else "time rule"
        measured = []
        for seed in seeds:
            figures = measure(seed=seed, fenced=fenced, quick=quick)
            measured.append(figures)
            print(f"{label} seed {seed} {figures}")
        gaps = [figures.gap_s for figures in measured]
        print(f"{label}: gap median {statistics.median(gaps):.2f} s, worst {max(gaps):.2f} s")
    print(f"gossip of an entry to {ENTRIES - 1} peers: {gossip_bytes()} bytes a period")


def measure(*, seed: int, fenced: bool, quick: bool = False) -> Figures:
    """Measures one run."""
    run = fleet.Fleet(seed=seed, entries=ENTRIES, fenced=fenced)
    run.advance(JOIN_S)
    idle = _calls_while(run, QUICK_PERIOD_S if quick else IDLE_S, load=False)
    steady = _calls_while(run, QUICK_PERIOD_S if quick else STEADY_S, load=True)
    run.advance(run.random.random() * 2.0)
    killed = next(entry for entry in run.running if entry.cells)
    cell = sorted(killed.cells)[0]
    killed_at = run.now
    run.kill(killed.entry_id)
    takeover = _calls_while(run, 10.0, load=True, cell=cell)
    _calls_while(run, AFTER_KILL_S, load=True, cell=cell)
    recorded = run.finish(quiet_s=FINAL_QUIET_S)
    outcomes = collections.Counter(
        record.told for record in recorded.of(history.RequestOutcome) if record.at >= killed_at
    )
    return Figures(
        gap_s=_first_start(recorded, cell, killed_at) - killed_at,
        answered=outcomes[history.CallerOutcome.ANSWERED],
        not_run=outcomes[history.CallerOutcome.NOT_RUN],
        unknown=outcomes[history.CallerOutcome.UNKNOWN],
        violations=len(checker.check(recorded)),
        idle_calls=sum(idle.values()),
        steady_calls=sum(steady.values()),
        steady_writes=steady["swap"],
        takeover_calls=sum(takeover.values()),
    )


def gossip_bytes() -> int:
    """Returns the bytes that one entry with one cell sends to all its peers in a gossip period."""
    summary = scheduler.CapacitySummary(
        free_slots=48, total_slots=64, queued_urgent=0, wait_s=0.0123, queued_batch=200
    )
    cell_room = messages.CellRoom(cell="a.0", epoch=1234, room=summary)
    message = messages.Gossip(
        entry_id="entry-1", generation=12345, ownership_version=123456, rooms=(cell_room,)
    )
    frame = frames.encode(kind=frames.Kind.SEND, sender="entry-1", message=message)
    return len(frame) * (ENTRIES - 1)


def _calls_while(
    run: fleet.Fleet, seconds: float, *, load: bool, cell: str = ""
) -> collections.Counter[str]:
    """Advances time, under load if `load`; returns store calls per second and entry by kind."""
    before = run.engine.counts.copy()
    for _ in range(round(seconds / REQUEST_INTERVAL_S)):
        if load:
            _send(run, cell)
        run.advance(REQUEST_INTERVAL_S)
    calls = run.engine.counts.copy()
    calls.subtract(before)
    scale = 1.0 / seconds / ENTRIES
    return collections.Counter({kind: count * scale for kind, count in calls.items()})


def _send(run: fleet.Fleet, cell: str) -> None:
    entry = run.random.choice(run.running)
    run.request(entry.entry_id, cell=cell, work_s=0.05)
    if run.random.random() < 0.2:
        for _ in range(JOBS_PER_STEP):
            run.submit(run_s=JOB_RUN_S)


def _first_start(recorded: history.History, cell: str, after: float) -> float:
    domain = cell.rpartition(".")[0]
    return min(
        record.at
        for record in recorded.of(history.RequestRan) + recorded.of(history.TaskRan)
        if record.at > after and record.worker_id.startswith(f"w-{domain}")
    )


if __name__ == "__main__":
    registry.main("failover")
