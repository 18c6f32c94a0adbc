"""Gauges of an entry, set from the state of its components."""

from __future__ import annotations

import types

from ebonyhatch.core import resources, views
from ebonyhatch.node import gauges, metrics


def worker(number, health):
    return views.WorkerView(
        worker_id=f"w{number}", health=health, capacity=resources.NONE, reserved=resources.NONE
    )


def test_sums_over_cells():
    measures = metrics.Metrics()
    cells = [
        views.View(
            workers=(worker(1, "healthy"), worker(2, "barred")),
            queues=(views.QueueView(work_class="cutting", waiting=3),),
            reserve_slots=4,
            retries_left=2.5,
            slowdowns=(views.SlowdownView(batch="cutting", slowdown=0.5),),
        ),
        views.View(workers=(worker(3, "healthy"),), reserve_slots=1, crest=True, retries_left=1.0),
    ]
    ages = {"a": 0.5, "b": 9.0}
    gauges.set_all(
        measures=measures,
        cell_views=cells,
        configured=types.SimpleNamespace(generation=7, age_s=1.0),
        gossiper=types.SimpleNamespace(generations=lambda: ages, age_s=ages.get),
        store_age_s=None,
    )
    text = measures.render().decode()
    for line in (
        "ebonyhatch_generation 7.0",
        "ebonyhatch_store_age_seconds +Inf",
        "ebonyhatch_reserve_slots 5.0",
        "ebonyhatch_crest 1.0",
        "ebonyhatch_retry_budget 3.5",
        "ebonyhatch_cells_owned 2.0",
        'ebonyhatch_workers{health="healthy"} 2.0',
        'ebonyhatch_queue_length{work_class="cutting"} 3.0',
        'ebonyhatch_interference{batch="cutting",urgent="all"} 0.5',
        'ebonyhatch_peers{state="silent"} 1.0',
    ):
        assert line in text, line
