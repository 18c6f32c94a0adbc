"""Bench `forwarding`: slots left idle because capacity summaries are old.

Waste is measured against a single cell that has all slots and no delay (the perfect view).
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import json
import random
import statistics
from collections.abc import Callable, Iterator
from typing import Any

import msgspec
from ebonyhatch.core import scheduler
from ebonyhatch.node import forwarding, messages
from ebonyhatch.testing.benches import registry

ENTRIES = 6
SLOTS_PER_CELL = 32
SUMMARY_PERIOD_S = 1.0
HOP_S = 0.0005
SERVICE_MEDIAN_S = 0.08
SERVICE_SIGMA = 0.6
SERVICE_MEAN_S = 0.0958
"""Mean of the lognormal service time: median times exp(sigma squared / 2)."""

DEADLINE_S = 1.0
MAX_ATTEMPTS = 2
RUN_S = 16.0
QUICK_RUN_S = 8.0
WARM_UP_S = 4.0
WASTE_LIMIT = 0.05
LOAD = 1.0

SKEWS: dict[str, tuple[float, ...]] = {
    "even": (1, 1, 1, 1, 1, 1),
    "one entry takes half": (5, 1, 1, 1, 1, 1),
    "two entries take all": (1, 1, 0, 0, 0, 0),
}


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """One randomized sequence of arrivals and the rules of the cells.

    Attributes:
        seed: Seed of all random values.
        load: Offered work as a fraction of all slots.
        skew: Name of the distribution of arrivals over the entries.
        queueing: Whether a full cell queues requests that can still meet their deadline, or
            refuses them.
        run_s: Length of the run, seconds.
        replies_tell: Whether each reply carries the summary of the cell, or only refusals do.
    """

    seed: int
    load: float
    skew: str
    queueing: bool
    run_s: float
    replies_tell: bool = True


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """One request: arrival time, entry at which it arrives, and service time."""

    at: float
    entry: int
    service_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Slots:
    """Slots and queue of one cell."""

    total: int
    queueing: bool
    busy: int = 0
    busy_s: float = 0.0
    queue: collections.deque[Arrival] = dataclasses.field(default_factory=collections.deque)

    def summary(self) -> scheduler.CapacitySummary:
        """Returns the summary of the cell that its owner would send."""
        queued = len(self.queue)
        wait_s = queued * SERVICE_MEAN_S / self.total if self.busy >= self.total else 0.0
        return scheduler.CapacitySummary(
            free_slots=self.total - self.busy,
            total_slots=self.total,
            queued_urgent=queued,
            wait_s=wait_s,
            queued_batch=0,
        )

    def accepts(self, arrival: Arrival, now: float) -> bool:
        """Returns whether a request can be served before its deadline."""
        if self.busy < self.total:
            return True
        due_s = arrival.at + DEADLINE_S - now
        return self.queueing and self.summary().wait_s + SERVICE_MEAN_S <= due_s


class Model:
    """Simulation of six cells, their summaries and the requests in transit."""

    def __init__(self, *, case: Case, chooser_kind: str) -> None:
        self._case = case
        self._now = 0.0
        self._order = itertools.count()
        self._due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._names = tuple(f"cell-{number}" for number in range(ENTRIES))
        self._cells = {
            name: Slots(total=SLOTS_PER_CELL, queueing=case.queueing) for name in self._names
        }
        self._choosers = [CHOOSERS[chooser_kind](self, number) for number in range(ENTRIES)]
        self.refused = 0
        self.forwards = 0

    @property
    def now(self) -> float:
        """Simulated time, seconds."""
        return self._now

    def own_summary(self, entry: int) -> messages.CellRoom:
        """Returns the current summary of an entry's own cell."""
        return self._cell_summary(self._names[entry])

    def run(self, arrivals: list[Arrival]) -> float:
        """Runs all arrivals; returns the slot-seconds spent on requests between warm-up and end."""
        for number in range(ENTRIES):
            self._at(number * SUMMARY_PERIOD_S / ENTRIES, self._summarize, number)
        for arrival in arrivals:
            self._at(arrival.at, self._route, arrival, ())
        while self._due and self._due[0][0] <= self._case.run_s:
            self._now, _, step, arguments = heapq.heappop(self._due)
            step(*arguments)
        return sum(cell.busy_s for cell in self._cells.values())

    def _at(self, at: float, step: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._due, (at, next(self._order), step, arguments))

    def _summarize(self, number: int) -> None:
        summary = self._cell_summary(self._names[number])
        for peer, chooser in enumerate(self._choosers):
            if peer != number:
                chooser.update(summary=summary)
        self._at(self._now + SUMMARY_PERIOD_S, self._summarize, number)

    def _reply(self, entry: int, name: str, sent_at: float, summary: messages.CellRoom) -> None:
        self._choosers[entry].record_ended(name=name, sent_at=sent_at)
        if self._case.replies_tell:
            self._choosers[entry].update(summary=summary)

    def _cell_summary(self, name: str) -> messages.CellRoom:
        return messages.CellRoom(cell=name, epoch=1, room=self._cells[name].summary())

    def _route(self, arrival: Arrival, tried: tuple[str, ...]) -> None:
        name = self._choosers[arrival.entry].choose(tried=tried)
        if name == self._names[arrival.entry]:
            self._receive(arrival, name, tried)
        else:
            self.forwards += 1
            self._at(self._now + HOP_S, self._receive, arrival, name, tried)

    def _receive(self, arrival: Arrival, name: str, tried: tuple[str, ...]) -> None:
        cell = self._cells[name]
        if not cell.accepts(arrival, self._now):
            self._at(self._now + HOP_S, self._refuse, arrival, name, tried)
        elif cell.busy < cell.total:
            self._serve(arrival, name)
        else:
            cell.queue.append(arrival)

    def _refuse(self, arrival: Arrival, name: str, tried: tuple[str, ...]) -> None:
        self._choosers[arrival.entry].update(summary=self._cell_summary(name))
        if len(tried) + 1 < MAX_ATTEMPTS:
            self._route(arrival, (*tried, name))
        else:
            self.refused += 1

    def _serve(self, arrival: Arrival, name: str) -> None:
        cell = self._cells[name]
        cell.busy += 1
        ends = self._now + arrival.service_s
        cell.busy_s += max(0.0, min(ends, self._case.run_s) - max(self._now, WARM_UP_S))
        self._at(ends, self._end, name, arrival.entry, self._now - HOP_S)

    def _end(self, name: str, entry: int, sent_at: float) -> None:
        cell = self._cells[name]
        cell.busy -= 1
        if name != self._names[entry]:
            self._at(self._now + HOP_S, self._reply, entry, name, sent_at, self._cell_summary(name))
        while cell.queue:
            arrival = cell.queue.popleft()
            if self._now + SERVICE_MEAN_S <= arrival.at + DEADLINE_S:
                self._serve(arrival, name)
                return
            self.refused += 1


class TwoChoices:
    """Chooses as the daemon does: its own cell while that has free slots, else `Forwarding`."""

    def __init__(self, *, model: Model, entry: int) -> None:
        self._model = model
        self._entry = entry
        self._forwarding = forwarding.Forwarding(generator=random.Random(entry))

    def update(self, *, summary: messages.CellRoom) -> None:
        """Applies the newest summary of a cell."""
        self._forwarding.update(
            target=_target(summary.cell), room=summary.room, reported_at=self._model.now
        )

    def choose(self, *, tried: tuple[str, ...]) -> str:
        """Chooses a cell and records a request as sent to it."""
        own = self._model.own_summary(self._entry)
        chosen = self._forwarding.choose(
            now=self._model.now,
            own=None if own.cell in tried else own.room,
            tried=tuple(map(_target, tried)),
        )
        if chosen is None:
            return own.cell
        self._forwarding.record_sent(target=chosen)
        return chosen.cell

    def record_ended(self, *, name: str, sent_at: float) -> None:
        """Records that a request to a cell has ended."""
        self._forwarding.record_ended(target=_target(name), sent_at=sent_at)


class EmptiestFirst:
    """Baseline: chooses the cell that appears emptiest.

    It ignores the age of summaries and requests in transit, and makes no random choice.
    """

    def __init__(self, *, model: Model, entry: int) -> None:
        self._model = model
        self._entry = entry
        self._summaries: dict[str, scheduler.CapacitySummary] = {}

    def update(self, *, summary: messages.CellRoom) -> None:
        """Stores the newest summary of a cell."""
        self._summaries[summary.cell] = summary.room

    def choose(self, *, tried: tuple[str, ...]) -> str:
        """Chooses its own cell while that has free slots, else the cell that appears emptiest."""
        own = self._model.own_summary(self._entry)
        summaries = {**self._summaries, own.cell: own.room}
        if own.room.free_slots > 0 and own.cell not in tried:
            return own.cell
        names = [name for name in summaries if name not in tried] or [own.cell]
        return max(
            names, key=lambda name: summaries[name].free_slots - summaries[name].queued_urgent
        )

    def record_ended(self, *, name: str, sent_at: float) -> None:
        """Ignores the event."""


def _target(cell: str) -> forwarding.Target:
    return forwarding.Target(entry_id=cell, cell=cell)


CHOOSERS: dict[str, Callable[[Model, int], Any]] = {
    "two choices": lambda model, entry: TwoChoices(model=model, entry=entry),
    "emptiest first": lambda model, entry: EmptiestFirst(model=model, entry=entry),
}


def generate_arrivals(case: Case) -> list[Arrival]:
    """Generates the arrivals of a case."""
    generator = random.Random(case.seed)
    rate = case.load * ENTRIES * SLOTS_PER_CELL / SERVICE_MEAN_S
    at = 0.0
    arrivals = []
    while at < case.run_s:
        at += generator.expovariate(rate)
        entry = generator.choices(range(ENTRIES), weights=SKEWS[case.skew])[0]
        service_s = SERVICE_MEDIAN_S * generator.lognormvariate(0.0, SERVICE_SIGMA)
        arrivals.append(Arrival(at=at, entry=entry, service_s=service_s))
    return arrivals


def perfect_view_busy_s(case: Case, arrivals: list[Arrival]) -> float:
    """Returns the busy slot-seconds of a single cell that has all slots and the same arrivals."""
    cell = Slots(total=ENTRIES * SLOTS_PER_CELL, queueing=case.queueing)
    ends: list[float] = []
    for arrival in arrivals:
        _drain(cell, ends, arrival.at, case)
        if cell.busy < cell.total:
            _start_service(cell, ends, arrival.at, arrival, case)
        elif cell.accepts(arrival, arrival.at):
            cell.queue.append(arrival)
    _drain(cell, ends, case.run_s, case)
    return cell.busy_s


def _drain(cell: Slots, ends: list[float], until: float, case: Case) -> None:
    while ends and ends[0] <= until:
        now = heapq.heappop(ends)
        cell.busy -= 1
        while cell.queue and cell.busy < cell.total:
            arrival = cell.queue.popleft()
            if now + SERVICE_MEAN_S <= arrival.at + DEADLINE_S:
                _start_service(cell, ends, now, arrival, case)


def _start_service(
    cell: Slots, ends: list[float], now: float, arrival: Arrival, case: Case
) -> None:
    cell.busy += 1
    end = now + arrival.service_s
    cell.busy_s += max(0.0, min(end, case.run_s) - max(now, WARM_UP_S))
    heapq.heappush(ends, end)


def cases(*, seeds: tuple[int, ...], quick: bool) -> Iterator[Case]:
    """Yields all cases of the bench."""
    run_s = QUICK_RUN_S if quick else RUN_S
    both = (True, False)
    for queueing, replies_tell, skew, seed in itertools.product(both, both, SKEWS, seeds):
        yield Case(
            seed=seed,
            load=LOAD,
            skew=skew,
            queueing=queueing,
            run_s=run_s,
            replies_tell=replies_tell,
        )


def waste_by_chooser(case: Case) -> dict[str, float]:
    """Returns the fraction of the perfect view's work that each kind of chooser leaves undone."""
    arrivals = generate_arrivals(case)
    perfect_s = perfect_view_busy_s(case, arrivals)
    waste_by_kind = {}
    for kind in CHOOSERS:
        busy_s = Model(case=case, chooser_kind=kind).run(arrivals)
        waste_by_kind[kind] = 1.0 - busy_s / perfect_s
    return waste_by_kind


@registry.bench("forwarding")
def forwarding_bench(*, seeds: tuple[int, ...], quick: bool = False) -> None:
    """Prints the waste of each case and the final JSON line."""
    rows: dict[str, dict[str, list[float]]] = {}
    for case in cases(seeds=seeds, quick=quick):
        row = rows.setdefault(_case_title(case), {kind: [] for kind in CHOOSERS})
        for kind, waste in waste_by_chooser(case).items():
            row[kind].append(waste)
    for title, row in rows.items():
        print(
            title, *(f"{kind}: {_format_waste(wasted)}" for kind, wasted in row.items()), sep=" | "
        )
    print(json.dumps(_summary(rows, seeds)))


def _case_title(case: Case) -> str:
    when_full = "full cells queue" if case.queueing else "full cells refuse"
    reporting = "each reply tells room" if case.replies_tell else "only refusals tell room"
    return f"{when_full}, {reporting}, {case.skew}"


def _format_waste(wasted: list[float]) -> str:
    return f"median {statistics.median(wasted):.4f} worst {max(wasted):.4f}"


def _summary(rows: dict[str, dict[str, list[float]]], seeds: tuple[int, ...]) -> dict[str, Any]:
    figures, baseline = ({title: row[kind] for title, row in rows.items()} for kind in CHOOSERS)
    worst: dict[str, float] = {}
    for title, wasted in figures.items():
        name = title.rsplit(",", 1)[0]
        worst[name] = max(worst.get(name, 0.0), *wasted)
    targets = {
        f"waste: {name}": {
            "target": WASTE_LIMIT,
            "measured": round(waste, 4),
            "met": waste < WASTE_LIMIT,
        }
        for name, waste in worst.items()
    }
    return {
        "bench": "forwarding",
        "seed": list(seeds),
        "figures": {title: round(max(wasted), 4) for title, wasted in figures.items()},
        "baseline": {title: round(max(wasted), 4) for title, wasted in baseline.items()},
        "targets": targets,
    }


if __name__ == "__main__":
    registry.main("forwarding")
