"""Learns interference from service times and from the load that workers report later.

A usage report arrives some time after its sample. Service times are therefore stored with the batch
classes that shared the worker then, until the load of that time is known.
"""

from __future__ import annotations

from ebonyhatch.core import events, rows, tables

WINDOW_S = 2.0
"""Time before its sample that a usage report covers, seconds."""

MAX_ANSWER_AGE_S = 15.0
"""Age at which service times are dropped if no report has covered their time, seconds."""

FIT_PERIOD_S = 1.0
"""Time between two fits of the interference model, seconds."""

CLEAR_FRACTION = 0.7
"""Fraction of the limit below which a class stops counting as interfering."""


def record_answer(state: tables.Tables, row: rows.Request, service_s: float) -> None:
    """Stores a service time until the load of its time is known."""
    worker = row.worker
    if worker is None:
        return
    key = (int(row.sent_at), row.request.work_class, row.colocated_classes)
    found = worker.service_times.get(key)
    if found is None:
        worker.service_times[key] = [1.0, service_s]
    else:
        found[0] += 1.0
        found[1] += service_s


def apply_report(state: tables.Tables, worker: rows.Worker, event: events.UsageReported) -> None:
    """Learns from the service times of the period that a usage report covers."""
    load = event.usage.cores / max(worker.capacity.cores, 1e-9)
    if event.sampled_at >= worker.load_sampled_at:
        worker.load_sampled_at = event.sampled_at
        worker.load = load
    for key in list(worker.service_times):
        second, urgent, colocated_classes = key
        if event.sampled_at - WINDOW_S < second + 1 <= event.sampled_at:
            count, total = worker.service_times.pop(key)
            state.interference.learn(
                urgent=urgent,
                colocated_classes=colocated_classes,
                load=load,
                answers=int(count),
                mean_s=total / count,
            )
        elif second < state.now - MAX_ANSWER_AGE_S:
            del worker.service_times[key]


def run(state: tables.Tables) -> None:
    """Fits the model once per `FIT_PERIOD_S` and ranks the workers by its predictions."""
    if state.now < state.next_fit_at:
        return
    state.next_fit_at = state.now + FIT_PERIOD_S
    state.interference.fit()
    limit = state.settings.harm_limit
    previous = state.interfering_classes
    state.interfering_classes = {
        name
        for name in state.classes
        if state.interference.interferes(
            name, limit=limit * (CLEAR_FRACTION if name in previous else 1.0)
        )
    }
    for worker in state.workers.values():
        if worker.tasks:
            state.reindex_worker(worker)
    if state.interfering_classes != previous:
        state.batch_placement_due = True
