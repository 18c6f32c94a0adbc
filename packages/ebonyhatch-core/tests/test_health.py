"""Health: failing and hanging workers, faulty classes, return to use."""

from __future__ import annotations

from ebonyhatch.core import default_scheduler, entities, events, resources, rows
from ebonyhatch.core.systems import health

CAPACITY = resources.Resources(slots=4, connections=8, cores=8.0, memory_gb=8.0)
DEMAND = resources.Resources(slots=1, connections=1, cores=0.5, memory_gb=0.5)
CLASSES = (
    entities.WorkClass(name="quote", urgency=entities.Urgency.URGENT, deadline_s=1.0),
    entities.WorkClass(name="plan", urgency=entities.Urgency.BATCH),
)


class Cell:
    """Six workers; those in `refusing` refuse all work, those in `unresponsive` never answer."""

    def __init__(self):
        self.scheduler = default_scheduler.DefaultScheduler(seed=1)
        self.now = 0.0
        self.number = 0
        self.refusing = set()
        self.unresponsive = set()
        self.sent = []
        self.refused = 0
        joined = [
            events.WorkerJoined(
                worker_id=f"w{number}", failure_domain="a", rack="r", capacity=CAPACITY
            )
            for number in range(6)
        ]
        self.tick([events.ClassesChanged(classes=CLASSES, tenants=()), *joined])

    def tick(self, due):
        replies = []
        for command in self.scheduler.tick(now=self.now, events=due):
            name = type(command).__name__
            if name == "SendRequest":
                self.sent.append(command.worker_id)
                replies += self.reply(command)
            elif name == "StartTask":
                self.sent.append(command.worker_id)
                failed = events.TaskStartFailed(task_id=command.task_id, reason="failed")
                replies.append(failed)
            self.refused += name == "RefuseRequest"
        return replies

    def reply(self, command):
        ids = {"request_id": command.request_id, "worker_id": command.worker_id}
        if command.worker_id in self.unresponsive:
            return []
        if command.worker_id in self.refusing:
            return [events.RequestNotRun(**ids)]
        return [events.RequestAnswered(**ids, service_s=0.02)]

    def run(self, steps):
        replies = []
        for _ in range(steps):
            self.now += 0.02
            self.number += 1
            request = entities.Request(
                request_id=f"r{self.number}",
                service="orders",
                work_class="quote",
                tenant="t",
                arrived_at=self.now,
                deadline_at=self.now + 1.0,
                idempotent=True,
                demand=DEMAND,
            )
            replies = self.tick([*replies, events.RequestArrived(request=request)])


def test_worker_that_fails_all_is_hardly_used_and_returns():
    cell = Cell()
    cell.run(50)
    cell.refusing.add("w0")
    cell.sent.clear()
    cell.run(500)
    assert cell.sent.count("w0") < 15
    assert cell.refused == 0
    cell.refusing.clear()
    cell.sent.clear()
    cell.run(2500)
    assert cell.sent.count("w0") > 50


def test_requests_on_an_unresponsive_worker_are_retried_on_others():
    cell = Cell()
    cell.run(50)
    cell.unresponsive.add("w0")
    cell.sent.clear()
    cell.run(500)
    assert cell.sent.count("w0") < 15
    assert cell.refused == 0


def test_deadlines_missed_under_overload_quarantine_no_worker():
    cell = Cell()
    cell.run(50)
    for worker in cell.scheduler.tables.workers.values():
        row = rows.Request(request=None, worker=worker, sent_at=cell.now - 0.5)
        worker.last_answer_at = cell.now
        for _ in range(5):
            health.record_timeout(cell.scheduler.tables, row)
        assert not worker.quarantined
        assert worker.health_record.failures == 0.0


def test_worker_that_must_be_used_is_quarantined_when_it_fails():
    cell = Cell()
    cell.refusing.add("w0")
    worker = cell.scheduler.tables.workers["w0"]
    for _ in range(4):
        health.record_failure(cell.scheduler.tables, worker, "quote")
    assert worker.quarantined


def test_class_that_fails_everywhere_quarantines_no_worker():
    cell = Cell()
    job = entities.Job(job_id="j1", work_class="plan", tenant="t", demand=DEMAND)
    replies = [events.JobSubmitted(job=job)]
    for _ in range(600):
        cell.now += 0.1
        replies = cell.tick(replies)
    assert 5 < len(cell.sent) < 30
    assert not any(worker.quarantined for worker in cell.scheduler.tables.workers.values())
