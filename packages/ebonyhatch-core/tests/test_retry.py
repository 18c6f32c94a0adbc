"""Retries, and reservations of sends without a known outcome."""

from __future__ import annotations

import pytest
from ebonyhatch.core import default_scheduler, entities, events, resources

SLOTS = 2
ONE = resources.Resources(slots=1, connections=1)
QUOTE = entities.WorkClass(name="quote", urgency=entities.Urgency.URGENT, deadline_s=1.0)


def build():
    scheduler = default_scheduler.DefaultScheduler(seed=1)
    joined = events.WorkerJoined(
        worker_id="w",
        failure_domain="a",
        rack="r",
        capacity=resources.Resources(slots=SLOTS, connections=SLOTS),
    )
    changed = events.ClassesChanged(classes=(QUOTE,), tenants=())
    scheduler.tick(now=0.0, events=[changed, joined])
    return scheduler


def arrived(request_id, now):
    request = entities.Request(
        request_id=request_id,
        service="s",
        work_class="quote",
        tenant="t",
        arrived_at=now,
        deadline_at=now + 1.0,
        idempotent=False,
        demand=ONE,
    )
    return events.RequestArrived(request=request)


@pytest.mark.parametrize("lost", [False, True])
def test_request_without_an_answer_keeps_its_slot_for_a_while(lost):
    scheduler = build()
    scheduler.tick(now=0.0, events=[arrived("r", 0.0)])
    if lost:
        scheduler.tick(now=0.5, events=[events.RequestLost(request_id="r", worker_id="w")])
    scheduler.tick(now=1.1, events=[])
    assert scheduler.room(now=1.1).free_slots == SLOTS - 1
    scheduler.tick(now=2.1, events=[])
    assert scheduler.room(now=2.1).free_slots == SLOTS


def test_late_answer_frees_the_slot_at_once():
    scheduler = build()
    scheduler.tick(now=0.0, events=[arrived("r", 0.0)])
    scheduler.tick(now=1.1, events=[])
    late = events.RequestAnswered(request_id="r", worker_id="w", service_s=1.2)
    scheduler.tick(now=1.2, events=[late])
    assert scheduler.room(now=1.2).free_slots == SLOTS
