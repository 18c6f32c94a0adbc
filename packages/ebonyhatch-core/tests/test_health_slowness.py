"""Quarantine of slow workers: only a worker that is slower than its peers gets no new work."""

from __future__ import annotations

import pytest
from ebonyhatch.core import default_scheduler, entities, events, resources

SLOTS = 16
ONE = resources.Resources(slots=1, connections=1)
QUOTE = entities.WorkClass(name="quote", urgency=entities.Urgency.URGENT, deadline_s=2.0)


class Bench:
    """Workers that answer each request after a service time set per worker."""

    def __init__(self, workers):
        self.scheduler = default_scheduler.DefaultScheduler(seed=1)
        self.now = 0.0
        self.number = 0
        self.due = []
        capacity = resources.Resources(slots=SLOTS, connections=64)
        joined = [
            events.WorkerJoined(
                worker_id=f"w{number}", failure_domain="a", rack="r", capacity=capacity
            )
            for number in range(workers)
        ]
        self.scheduler.tick(
            now=0.0, events=[events.ClassesChanged(classes=(QUOTE,), tenants=()), *joined]
        )

    def serve(self, *, seconds, at_once, service_s):
        """Keeps `at_once` requests in progress; `service_s` returns a worker's service time."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.01
            due_events = [event for at, event in self.due if at <= self.now]
            self.due = [item for item in self.due if item[0] > self.now]
            missing = at_once - len(self.due)
            due_events += [self.arrived() for _ in range(missing)]
            for command in self.scheduler.tick(now=self.now, events=due_events):
                if type(command).__name__ == "SendRequest":
                    took_s = service_s(command.worker_id)
                    answered = events.RequestAnswered(
                        request_id=command.request_id,
                        worker_id=command.worker_id,
                        service_s=took_s,
                    )
                    self.due.append((self.now + took_s, answered))

    def arrived(self):
        self.number += 1
        request = entities.Request(
            request_id=f"r{self.number}",
            service="s",
            work_class="quote",
            tenant="t",
            arrived_at=self.now,
            deadline_at=self.now + 2.0,
            idempotent=True,
            demand=ONE,
        )
        return events.RequestArrived(request=request)

    def health(self):
        return {row.worker_id: row.health for row in self.scheduler.view().workers}


@pytest.mark.parametrize("workers", [1, 2, 4])
def test_load_that_slows_all_workers_quarantines_none(workers):
    bench = Bench(workers)
    bench.serve(seconds=3.0, at_once=1, service_s=lambda worker_id: 0.02)
    for _ in range(20):
        bench.serve(seconds=0.2, at_once=SLOTS * workers, service_s=lambda worker_id: 0.3)
        assert set(bench.health().values()) == {"healthy"}


def test_worker_far_slower_than_its_peers_is_quarantined():
    bench = Bench(4)
    bench.serve(
        seconds=10.0,
        at_once=SLOTS,
        service_s=lambda worker_id: 1.0 if worker_id == "w3" else 0.1,
    )
    assert bench.health()["w3"] == "barred"
    assert sum(health == "barred" for health in bench.health().values()) == 1
