"""The journal under lost answers, outages, older owners and corrupt values."""

from __future__ import annotations

import pytest
from ebonyhatch.core import entities, journal_entries, resources
from ebonyhatch.node import journal, journal_log, snapshots, store_values
from ebonyhatch.ports import memory_store, store_engine
from returns import result
from twisted.internet import defer, task


class Bench:
    """Successive owners of one cell's journal over one store engine."""

    def __init__(self):
        self.clock = task.Clock()
        self.engine = store_engine.StoreEngine(clock=self.clock)
        self.faults = {}
        self.errors = []

    def run(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def open(self, epoch):
        port = memory_store.MemoryStore(clock=self.clock, engine=self.engine)
        self.faults[epoch] = port.faults
        opened = journal.Journal(
            cell="a.0",
            epoch=epoch,
            writer=f"e{epoch}",
            store_port=port,
            clock=self.clock,
            seed=1,
            on_fault=self.errors.append,
        )
        opened.recovered = defer.Deferred.fromCoroutine(opened.recover())
        self.run(1)
        return opened


def submitted(number, size=10):
    job = entities.Job(
        job_id=f"j{number}",
        work_class="plan",
        tenant="t",
        demand=resources.NONE,
        payload=b"x" * size,
    )
    return journal_entries.JobSubmitted(job=job)


def jobs_of(opened):
    return {row.job.job_id for row in opened.state.jobs.rows()}


def damage(bench, key, change):
    stored = bench.engine.get(key=key)
    bench.engine.swap(key=key, expected_version=stored.version, value=change(stored.value))


def test_entries_are_grouped_into_few_writes():
    bench = Bench()
    opened = bench.open(1)
    before = bench.engine.counts["swap"]
    done = [opened.append(submitted(number)) for number in range(3000)]
    bench.run(3)
    assert all(isinstance(one.result, result.Success) for one in done)
    assert bench.engine.counts["swap"] - before <= 8
    assert len(jobs_of(opened)) == 3000


def test_successor_reads_all_entries_and_fences_the_older_owner_off():
    bench = Bench()
    first = bench.open(1)
    acknowledged = first.append(submitted(1))
    bench.run(1)
    second = bench.open(2)
    late = first.append(submitted(2))
    bench.run(1)
    assert isinstance(acknowledged.result, result.Success)
    assert isinstance(late.result, result.Failure)
    assert isinstance(bench.errors[0], snapshots.SupersededError)
    assert jobs_of(second) == {"j1"}


def test_lost_answer_is_resolved_by_reading_back():
    bench = Bench()
    opened = bench.open(1)
    bench.faults[1].lose_answers = True
    done = opened.append(submitted(1))
    bench.run(1)
    bench.faults[1].lose_answers = False
    bench.run(10)
    assert isinstance(done.result, result.Success)
    assert (opened.seq, jobs_of(opened)) == (2, {"j1"})


def test_outage_refuses_what_may_be_dropped_and_keeps_the_rest():
    bench = Bench()
    opened = bench.open(1)
    bench.faults[1].down = True
    refused = opened.append(submitted(1), droppable=True)
    kept = opened.append(submitted(2))
    bench.run(120)
    assert isinstance(refused.result.failure(), journal.UnavailableError)
    assert not kept.called
    bench.faults[1].down = False
    bench.run(10)
    assert isinstance(kept.result, result.Success)
    assert opened.available
    assert jobs_of(bench.open(2)) == {"j2"}


def test_journal_becomes_available_again_without_a_write():
    bench = Bench()
    opened = bench.open(1)
    bench.faults[1].down = True
    opened.append(submitted(1), droppable=True)
    bench.run(60)
    assert not opened.available
    bench.faults[1].down = False
    bench.run(10)
    assert opened.available


def test_snapshot_covers_the_log_over_many_laps_and_parts():
    bench = Bench()
    opened = bench.open(1)
    for number in range(2 * journal_log.RING_SLOTS):
        opened.append(submitted(number, size=2000))
        bench.run(0.15)
    bench.run(5)
    assert opened.seq - bench_head(bench).seq <= journal.SNAPSHOT_INTERVAL_WRITES + 64
    assert bench_head(bench).parts > 1
    assert jobs_of(bench.open(2)) == jobs_of(opened)


def bench_head(bench):
    stored = bench.engine.get(key=snapshots.head_key("a.0"))
    return store_values.decode(key="", value=stored.value, kind=snapshots.Head)


def test_stale_reads_neither_lose_nor_repeat_entries():
    bench = Bench()
    first = bench.open(1)
    for number in range(5):
        first.append(submitted(number))
        bench.run(0.5)
    port = memory_store.MemoryStore(clock=bench.clock, engine=bench.engine)
    port.faults.stale_s = 1.2
    second = journal.Journal(
        cell="a.0",
        epoch=2,
        writer="e2",
        store_port=port,
        clock=bench.clock,
        seed=1,
        on_fault=bench.errors.append,
    )
    defer.Deferred.fromCoroutine(second.recover())
    bench.run(30)
    assert jobs_of(second) == {f"j{number}" for number in range(5)}


@pytest.mark.parametrize(
    ("change", "kind"),
    [
        (lambda value: value[:-1] + b"\x00", store_values.CorruptValueError),
        (lambda value: b"", store_values.CorruptValueError),
        (lambda value: bytes([9]) + value[1:], store_values.NewerFormatError),
    ],
)
def test_damaged_value_stops_the_owner_and_changes_nothing(change, kind):
    bench = Bench()
    opened = bench.open(1)
    opened.append(submitted(1))
    bench.run(1)
    key = journal_log.slot_key("a.0", opened.seq)
    damage(bench, key, change)
    before = bench.engine.get(key=key)
    failures = []
    # An unhandled failure would be logged when it is collected, in whichever test then runs.
    bench.open(2).recovered.addErrback(failures.append)
    (failure,) = failures
    failed_error = failure.value
    assert isinstance(failed_error, kind)
    assert key in str(failed_error)
    assert bench.engine.get(key=key) == before


def test_entry_over_the_limit_is_refused():
    bench = Bench()
    opened = bench.open(1)
    refused = opened.append(submitted(1, size=journal.MAX_ENTRY_BYTES))
    assert isinstance(refused.result.failure(), journal.EntryTooLargeError)
