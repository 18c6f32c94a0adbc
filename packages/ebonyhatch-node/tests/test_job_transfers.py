"""A cell without free capacity passes jobs on, without loss or duplication."""

from __future__ import annotations

import json

import pytest
from ebonyhatch.core import (
    configuration,
    default_scheduler,
    entities,
    job_machine,
    resources,
    scheduler,
)
from ebonyhatch.node import cell, messages, remote_cells
from ebonyhatch.ports import instances, memory_store, memory_workers
from twisted.internet import task

POLICY = default_scheduler.DefaultScheduler

CAPACITY = resources.Resources(slots=4, connections=8, cores=8.0, memory_gb=16.0)
IN_FORCE = configuration.InForce(
    generation=1, classes=(entities.WorkClass(name="plan", urgency=entities.Urgency.BATCH),)
)


class FakeRemoteCells(remote_cells.RemoteCells):
    """Knows the cell `full`, which has a worker; replies may be lost and calls refused."""

    def __init__(self, cells):
        self.cells = cells
        self.lose = self.refuse = 0
        self.calls = []

    def could_hold(self, *, demand):
        return demand.fits(CAPACITY)

    def choose_cell(self, *, origin, demand):
        return "full" if origin != "full" and demand.fits(CAPACITY) else ""

    async def call(self, *, message):
        self.calls.append(message)
        if self.refuse:
            self.refuse -= 1
            return messages.TransferReply(done=False, reason="refused")
        reply = await self.cells[message.cell].transfer(call=message)
        if self.lose:
            self.lose -= 1
            return messages.TransferReply(done=False, certain=False, reason="peer-lost")
        return reply


class Bench:
    """Two cells: `empty` without workers, `full` with one worker."""

    def __init__(self):
        self.clock = task.Clock()
        self.engine = memory_store.MemoryStore(clock=self.clock).engine
        self.workers = memory_workers.MemoryWorkers(clock=self.clock)
        self.workers.add(worker_id="w", capacity=CAPACITY)
        self.cells = {}
        self.others = FakeRemoteCells(self.cells)
        self.open("full", epoch=1)
        self.open("empty", epoch=1)
        self.run(2.0)

    def open(self, name, epoch):
        opened = cell.Cell(
            name=name,
            epoch=epoch,
            entry_id=f"e{epoch}",
            store=memory_store.MemoryStore(clock=self.clock, engine=self.engine),
            workers_port=self.workers,
            scheduler=scheduler.build(name="default", seed=1),
            clock=self.clock,
            may_act=lambda: True,
            others=self.others,
            seed=epoch,
        )
        opened.set_configuration(in_force=IN_FORCE)
        opened.set_workers(instances=_listed() if name == "full" else ())
        opened.start()
        self.cells[name] = opened

    def run(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def submit(self, name="empty", demand=None):
        job = entities.Job(
            job_id="j",
            work_class="plan",
            tenant="t",
            demand=demand or resources.Resources(slots=1, cores=1.0),
            payload=json.dumps({"run_s": 1.0}).encode(),
        )
        replied = self.cells[name].submit(job=job)
        self.run(0.5)
        return replied.result

    def state(self, name):
        reply = self.cells[name].show(job_id="j")
        return reply.view.state if reply.view else reply.moved_to

    def starts(self):
        return [run.subject_id for run in self.workers.engines["w"].task_starts]


def _listed():
    return (
        instances.Instance(
            instance_id="w",
            role=instances.Role.WORKER,
            state=instances.InstanceState.LIVE,
            host="127.0.0.1",
            port=1,
            region="r",
            failure_domain="a",
            rack="k",
        ),
    )


def test_job_of_a_cell_without_workers_runs_once_elsewhere():
    bench = Bench()
    assert bench.submit().view is not None
    bench.run(8.0)
    assert bench.state("empty") == "full"
    assert bench.state("full") == job_machine.JobState.FINISHED
    assert bench.starts() == ["j/1"]
    assert isinstance(bench.others.calls[-1], messages.ReleaseCall)
    assert bench.submit().moved_to == "full"


@pytest.mark.parametrize("lost", [1, 3])
def test_lost_answers_make_no_copy(lost):
    bench = Bench()
    bench.others.lose = lost
    bench.submit()
    bench.run(15.0)
    assert bench.state("empty") == "full"
    assert bench.starts() == ["j/1"]


def test_refused_job_is_kept_and_offered_again():
    bench = Bench()
    bench.others.refuse = 1
    bench.submit()
    bench.run(1.5)
    assert bench.state("empty") == job_machine.JobState.QUEUED
    bench.run(10.0)
    assert bench.state("full") == job_machine.JobState.FINISHED


def test_offer_is_not_withdrawn_after_a_call_whose_outcome_is_unknown():
    bench = Bench()
    bench.others.lose = 1
    bench.submit()
    bench.run(0.7)
    bench.others.refuse = 2
    bench.run(1.5)
    assert bench.state("empty") == job_machine.JobState.OFFERED
    bench.run(15.0)
    assert bench.starts() == ["j/1"]


def test_successor_goes_on_with_an_offer():
    bench = Bench()
    bench.others.lose = 100
    bench.submit()
    bench.run(1.5)
    bench.others.lose = 0
    bench.open("empty", epoch=2)
    bench.run(10.0)
    assert bench.state("empty") == "full"
    assert bench.starts() == ["j/1"]
    assert bench.others.calls[-2].must


def test_cancellation_of_an_offered_job_is_refused_and_of_a_passed_one_follows_it():
    bench = Bench()
    bench.others.lose = 1
    bench.submit()
    bench.run(1.0)
    assert bench.state("empty") == job_machine.JobState.OFFERED
    refused = bench.cells["empty"].cancel(job_id="j").result
    assert refused.status == 503 and refused.reason == "job-moving"
    bench.run(5.0)
    assert bench.cells["empty"].cancel(job_id="j").result.moved_to == "full"


def test_jobs_that_no_known_worker_holds_are_refused():
    bench = Bench()
    assert bench.submit("full", resources.Resources(slots=1, accelerators=1)).status == 422
