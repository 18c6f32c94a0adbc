"""Sets the gauges of an entry from the state of its components."""

from __future__ import annotations

import collections
from collections.abc import Sequence

from ebonyhatch.core import views
from ebonyhatch.node import configuration, gossip, metrics

MAX_GOSSIP_AGE_S = 3.0
"""Maximum age of the newest gossip of a peer that counts as `heard`, seconds."""

HEALTH_STATES = ("healthy", "overloaded", "barred", "leaving")


def set_all(
    *,
    measures: metrics.Metrics,
    cell_views: Sequence[views.View],
    configured: configuration.Configuration,
    gossiper: gossip.Gossiper,
    store_age_s: float | None,
) -> None:
    """Sets every gauge; an unknown age of the store is set to infinity."""
    measures.set_generation(generation=configured.generation, age_s=configured.age_s)
    measures.set_store_age(age_s=float("inf") if store_age_s is None else store_age_s)
    measures.set_cells(count=len(cell_views))
    measures.set_reserve(
        slots=sum(view.reserve_slots for view in cell_views),
        crest=any(view.crest for view in cell_views),
    )
    measures.set_retry_budget(retries=sum(view.retries_left for view in cell_views))
    _set_workers(measures, cell_views)
    _set_queues(measures, cell_views)
    _set_slowdowns(measures, cell_views)
    _set_peers(measures, gossiper)


def _set_workers(measures: metrics.Metrics, cell_views: Sequence[views.View]) -> None:
    counts = collections.Counter(row.health for view in cell_views for row in view.workers)
    for health in HEALTH_STATES:
        measures.set_workers(health=health, count=counts[health])


def _set_queues(measures: metrics.Metrics, cell_views: Sequence[views.View]) -> None:
    waiting: collections.Counter[str] = collections.Counter()
    for view in cell_views:
        for row in view.queues:
            waiting[row.work_class] += row.waiting
        for slowdown in view.slowdowns:
            waiting[slowdown.batch] += 0
    for work_class, length in waiting.items():
        measures.set_queue(work_class=work_class, length=length)


def _set_slowdowns(measures: metrics.Metrics, cell_views: Sequence[views.View]) -> None:
    worst: dict[str, float] = {}
    for view in cell_views:
        for row in view.slowdowns:
            worst[row.batch] = max(worst.get(row.batch, 0.0), row.slowdown)
    for batch, slowdown in worst.items():
        measures.set_interference(urgent="all", batch=batch, slowdown=slowdown)


def _set_peers(measures: metrics.Metrics, gossiper: gossip.Gossiper) -> None:
    ages = [gossiper.age_s(name) for name in gossiper.generations()]
    recent = sum(age is not None and age <= MAX_GOSSIP_AGE_S for age in ages)
    measures.set_peers(state="heard", count=recent)
    measures.set_peers(state="silent", count=len(ages) - recent)
