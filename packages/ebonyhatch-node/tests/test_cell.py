"""A cell end to end over the in-memory stand-ins for store and workers."""

from __future__ import annotations

import json

import msgspec
from ebonyhatch.core import (
    commands,
    configuration,
    default_scheduler,  # noqa: F401  registers the policy
    entities,
    resources,
    scheduler,
)
from ebonyhatch.node import cell, cell_status, journal, messages
from ebonyhatch.ports import instances, memory_store, memory_workers, workers
from ebonyhatch.testing.benches import heap_clock
from returns import result
from twisted.internet import task

CAPACITY = resources.Resources(slots=4, connections=64, cores=8.0, memory_gb=16.0)
CLASSES = (
    entities.WorkClass(name="quote", urgency=entities.Urgency.URGENT, deadline_s=1.0),
    entities.WorkClass(name="plan", urgency=entities.Urgency.BATCH),
)
IN_FORCE = configuration.InForce(generation=1, classes=CLASSES)


class Bench:
    """One cell with two workers."""

    def __init__(self, *, fenced=True, clock=None):
        self.clock = clock or task.Clock()
        self.store = memory_store.MemoryStore(clock=self.clock)
        self.workers = memory_workers.MemoryWorkers(clock=self.clock, fenced=fenced)
        for worker_id in ("w1", "w2"):
            self.workers.add(worker_id=worker_id, capacity=CAPACITY)
        self.state = dict.fromkeys(("w1", "w2"), instances.InstanceState.LIVE)

    def run(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def open(self, *, epoch=1, entry_id="e1", may_act=lambda: True):
        self.last_store = memory_store.MemoryStore(clock=self.clock, engine=self.store.engine)
        opened = cell.Cell(
            name="a.0",
            epoch=epoch,
            entry_id=entry_id,
            store=self.last_store,
            workers_port=self.workers,
            scheduler=scheduler.build(name="default", seed=1),
            clock=self.clock,
            may_act=may_act,
            seed=1,
        )
        opened.set_configuration(in_force=IN_FORCE)
        opened.set_workers(instances=self.listed())
        started = opened.start()
        return opened, started

    def listed(self):
        return tuple(
            instances.Instance(
                instance_id=worker_id,
                role=instances.Role.WORKER,
                state=state,
                host="127.0.0.1",
                port=1,
                region="r",
                failure_domain="a",
                rack="k",
            )
            for worker_id, state in self.state.items()
        )

    def starts(self):
        return [
            run.subject_id for engine in self.workers.engines.values() for run in engine.task_starts
        ]

    def request_starts(self):
        return [
            run.subject_id
            for engine in self.workers.engines.values()
            for run in engine.request_starts
        ]


def job(job_id, run_s=5.0, slots=1):
    return entities.Job(
        job_id=job_id,
        work_class="plan",
        tenant="t",
        demand=resources.Resources(slots=slots, cores=1.0, memory_gb=1.0),
        payload=json.dumps({"run_s": run_s}).encode(),
    )


def call(request_id, *, key="", idempotent=True, work_s="0.2", timeout_s=1.0, body=b"x"):
    return messages.RequestCall(
        cell="a.0",
        request=workers.ServiceRequest(
            request_id=request_id,
            service="orders",
            method="POST",
            path="/",
            headers=(workers.Header(name="X-Work-S", value=work_s),),
            body=body,
            timeout_s=timeout_s,
        ),
        work_class="quote",
        tenant="t",
        idempotent=idempotent,
        idempotency_key=key,
    )


def outcome_of(deferred):
    assert deferred.called
    return deferred.result


def test_job_runs_to_its_end():
    bench = Bench()
    opened, started = bench.open()
    bench.run(1)
    assert isinstance(outcome_of(started), result.Success)
    submitted = opened.submit(job=job("j1"))
    bench.run(1)
    assert outcome_of(submitted).view.job_id == "j1"
    bench.run(8)
    view = opened.show(job_id="j1").view
    assert (view.state, view.attempts) == ("finished", 1)
    assert bench.starts() == ["j1/1"]
    assert opened.status().jobs == {"finished": 1}


def test_request_is_answered_with_its_own_body():
    bench = Bench()
    opened, _ = bench.open()
    bench.run(1)
    replies = [opened.request(call=call(f"r{n}", body=b"%d" % n)) for n in range(5)]
    bench.run(0.5)
    bodies = [outcome_of(reply).answer.body for reply in replies]
    assert bodies == [b"0", b"1", b"2", b"3", b"4"]


def test_successor_adopts_what_runs_and_finishes_it_once():
    bench = Bench()
    first, _ = bench.open()
    bench.run(1)
    first.submit(job=job("j1", run_s=8.0))
    first.submit(job=job("j2", run_s=1.0))
    bench.run(2)
    second, started = bench.open(epoch=2, entry_id="e2")
    bench.run(3)
    assert isinstance(outcome_of(started), result.Success)
    assert first.status().state == cell_status.CellPhase.SUPERSEDED
    bench.run(8)
    assert second.show(job_id="j1").view.state == "finished"
    assert second.show(job_id="j2").view.state == "finished"
    assert sorted(bench.starts()) == ["j1/1", "j2/1"]


def test_close_lets_requests_finish_and_refuses_new_ones():
    bench = Bench()
    opened, _ = bench.open()
    bench.run(1)
    running = opened.request(call=call("r1", work_s="0.8"))
    bench.run(0.2)
    closed = opened.close()
    refused = outcome_of(opened.request(call=call("r2")))
    assert refused.outcome is commands.Outcome.NOT_RUN
    bench.run(2)
    assert outcome_of(running).answer is not None
    assert closed.called


def test_keyed_request_runs_once_over_owner_changes():
    bench = Bench()
    first, _ = bench.open()
    bench.run(1)
    one = first.request(call=call("r1", key="k", idempotent=False))
    bench.run(1)
    again = first.request(call=call("r2", key="k", idempotent=False))
    assert outcome_of(again).answer.body == outcome_of(one).answer.body
    assert outcome_of(again).answer.request_id == "r2"
    bench.run(1)
    second, _ = bench.open(epoch=2, entry_id="e2")
    bench.run(2)
    later = outcome_of(second.request(call=call("r3", key="k", idempotent=False)))
    assert later.answer.body == b"x"
    assert bench.request_starts() == ["r1"]


def test_job_that_no_worker_can_hold_is_refused():
    bench = Bench()
    opened, _ = bench.open()
    bench.run(2)
    refused = outcome_of(opened.submit(job=job("j1", slots=99)))
    assert refused.status == 422


def test_cancelled_job_frees_its_capacity():
    bench = Bench()
    opened, _ = bench.open()
    bench.run(1)
    for number in range(10):
        opened.submit(job=job(f"j{number}", run_s=1000.0))
    bench.run(2)
    for number in range(8):
        opened.cancel(job_id=f"j{number}")
    bench.run(4)
    assert opened.status().jobs == {"cancelled": 8, "running": 2}
    running = [t for engine in bench.workers.engines.values() for t in engine.running_task_ids]
    assert sorted(running) == ["j8/1", "j9/1"]


def test_capacity_summary_counts_requests_that_arrived_since_the_last_tick():
    bench = Bench()
    opened, _ = bench.open()
    bench.run(1.0)
    before = opened.room().room
    for number in range(3):
        opened.request(call=call(f"r{number}"))
    now = opened.room().room
    assert now.free_slots - now.queued_urgent == before.free_slots - 3


def test_close_answers_a_keyed_request_whose_intent_is_not_durable():
    bench = Bench()
    opened, _ = bench.open()
    bench.run(1)
    bench.last_store.faults.slow_s = 1.0
    asked = opened.request(call=call("r1", key="k", idempotent=False, timeout_s=60.0))
    bench.run(1.5)
    bench.last_store.faults.lose_answers = True
    closed = opened.close()
    bench.run(20)
    assert closed.called
    assert outcome_of(asked).outcome is commands.Outcome.NOT_RUN
    assert bench.request_starts() == []


def test_repeated_message_never_gets_another_outcome_than_the_first():
    bench = Bench()
    opened, _ = bench.open()
    bench.run(1)
    running = opened.request(call=call("r1", work_s="0.8"))
    bench.run(0.2)
    opened.close()
    again = opened.request(call=call("r1", work_s="0.8"))
    bench.run(1)
    assert outcome_of(again) == outcome_of(running)
    assert bench.request_starts() == ["r1"]


def test_nothing_is_sent_on_stale_reports_of_a_worker():
    bench = Bench(fenced=False)
    lease = {"valid": True}
    opened, _ = bench.open(may_act=lambda: lease["valid"])
    bench.run(13)
    lease["valid"] = False
    for engine in bench.workers.engines.values():
        engine.leave()
    bench.run(5)
    lease["valid"] = True
    opened.submit(job=job("j1"))
    asked = opened.request(call=call("r1"))
    bench.run(5)
    assert bench.starts() == []
    assert bench.request_starts() == []
    assert outcome_of(asked).outcome is commands.Outcome.NOT_RUN


def test_keyed_refusal_is_repeated_to_a_repeated_message():
    bench = Bench()
    opened, _ = bench.open()
    bench.run(1)
    bench.last_store.faults.down = True
    first = opened.request(call=call("r1", key="k", idempotent=False))
    bench.run(1)
    bench.last_store.faults.down = False
    bench.run(10)
    again = opened.request(call=call("r1", key="k", idempotent=False))
    bench.run(2)
    assert outcome_of(again) == outcome_of(first)
    assert bench.request_starts() == []


def test_result_of_a_lost_attempt_is_accepted_while_no_later_one_is_intended():
    bench = Bench()
    del bench.state["w2"]
    opened, _ = bench.open()
    bench.run(1)
    opened.submit(job=job("j1", run_s=4.0))
    bench.run(3)
    bench.workers.faults("w1").silent = True
    bench.run(25)
    assert opened.show(job_id="j1").view.state == "queued"
    bench.workers.faults("w1").silent = False
    bench.run(10)
    view = opened.show(job_id="j1").view
    assert (view.state, view.attempts) == ("finished", 1)
    assert bench.starts() == ["j1/1"]


def test_wave_of_cancellations_costs_few_writes_and_delays_no_request():
    bench = Bench(clock=heap_clock.HeapClock())
    opened, _ = bench.open()
    bench.run(1)
    count = 10_000
    for number in range(count):
        opened.submit(job=job(f"j{number}", run_s=1000.0))
    bench.run(4)
    before = bench.store.engine.counts["swap"]
    cancelled = [opened.cancel(job_id=f"j{number}") for number in range(count)]
    asked = opened.request(call=call("r1"))
    bench.run(0.3)
    assert outcome_of(asked).answer is not None
    bench.run(4)
    assert all(one.called for one in cancelled)
    assert opened.status().queued == 0
    writes_of_wave = count / journal.MAX_WRITE_ENTRIES
    assert bench.store.engine.counts["swap"] - before <= 2 * writes_of_wave


def test_submission_is_accepted_once_by_its_id():
    bench = Bench()
    opened, _ = bench.open()
    bench.run(1)
    for _ in range(2):
        submitted = opened.submit(job=job("j1"))
        bench.run(1)
    assert outcome_of(submitted).view.job_id == "j1"
    assert sum(opened.status().jobs.values()) == 1
    large = msgspec.structs.replace(job("j2"), payload=b"x" * journal.MAX_ENTRY_BYTES)
    refused = outcome_of(opened.submit(job=large))
    assert (refused.status, refused.outcome) == (413, commands.Outcome.NOT_RUN)


def test_owner_without_a_lease_does_not_deny_a_job():
    bench = Bench()
    lease = {"valid": True}
    opened, _ = bench.open(may_act=lambda: lease["valid"])
    bench.run(1)
    assert opened.show(job_id="j1").status == 404
    lease["valid"] = False
    assert opened.show(job_id="j1").status == 503
