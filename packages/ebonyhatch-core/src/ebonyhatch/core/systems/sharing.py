"""Matches late samples to who shared the worker at the sample's own time, and learns."""

from __future__ import annotations

from ebonyhatch.core import events, rows, tables

WINDOW_S = 2.0
"""A usage report tells the load of the seconds before it."""

KEEP_S = 15.0
"""Answers whose report hasn't come by then are dropped."""

FIT_EVERY_S = 1.0
RETURN_SHARE = 0.7
"""A harmful class counts as harmless below this share of the limit."""


def answered(state: tables.Tables, row: rows.Request, service_s: float) -> None:
    """Keep an answer until the load of its time is known."""
    worker = row.worker
    if worker is None:
        return
    key = (int(row.sent_at), row.request.work_class, row.sharers)
    found = worker.answers.get(key)
    if found is None:
        worker.answers[key] = [1.0, service_s]
    else:
        found[0] += 1.0
        found[1] += service_s


def reported(state: tables.Tables, worker: rows.Worker, event: events.UsageReported) -> None:
    """Learn from the answers of the time that a usage report tells of."""
    load = event.usage.cores / max(worker.capacity.cores, 1e-9)
    if event.sampled_at >= worker.load_at:
        worker.load_at = event.sampled_at
        worker.load = load
    for key in list(worker.answers):
        second, urgent, sharers = key
        if event.sampled_at - WINDOW_S < second + 1 <= event.sampled_at:
            count, total = worker.answers.pop(key)
            state.interference.learn(
                urgent=urgent,
                sharers=sharers,
                load=load,
                answers=int(count),
                mean_s=total / count,
            )
        elif second < state.now - KEEP_S:
            del worker.answers[key]


def run(state: tables.Tables) -> None:
    """Fit the model once a second and rank the workers by it."""
    if state.now < state.fit_at:
        return
    state.fit_at = state.now + FIT_EVERY_S
    state.interference.fit()
    limit = state.settings.harm_limit
    former = state.harmful
    state.harmful = {
        name
        for name in state.classes
        if state.interference.harmful(name, limit=limit * (RETURN_SHARE if name in former else 1.0))
    }
    for worker in state.workers.values():
        if worker.tasks:
            state.touch(worker)
    if state.harmful != former:
        state.batch_dirty = True
