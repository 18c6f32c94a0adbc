from __future__ import annotations

import collections

import msgspec
import pytest
import scripted
import world as world_module
from ebonyhatch.fleet import (
    entry,
    jobs,
    keys,
    memory_store,
    memory_targets,
    progress,
    rows,
    store,
    target_session,
)
from ebonyhatch.fleet.orders import sender
from ebonyhatch.node import coroutines
from returns import result
from twisted.internet import task

ANSWER_S = 0.15
HISTORY_S = 20.0
PAGE_S = 3.5
CANCEL_S = 4.0
RESTART_S = 9.0
"""Time within which a task that lasts has to run again after its last run, seconds."""
LARGE_TARGET_COUNT = 120
TURN_S = 0.3
"""Time of one turn of a loop that has much to do, seconds."""

ONE_TASK = jobs.Step(count=1, cpu_millis=1000, estimate_s=30.0)


def _ready(*, target_count: int = 4) -> world_module.World:
    world = world_module.World(entries=1, target_count=target_count)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.run(1.0)
    return world


class StartOrders:
    """Records the start orders of a member: their tasks, and the most that had no answer."""

    def __init__(self, world: world_module.World) -> None:
        self.tasks: list[str] = []
        self.in_flight = self.most_in_flight = 0
        port = world.owner.targets
        start_run = port.start_run

        async def start(**arguments):
            self.tasks.append(arguments["order"].key.task)
            self.in_flight += 1
            self.most_in_flight = max(self.most_in_flight, self.in_flight)
            try:
                return await start_run(**arguments)
            finally:
                self.in_flight -= 1

        port.start_run = start


class StopOrders:
    """Records the most stop orders of a member to one target that had no answer."""

    def __init__(self, world: world_module.World) -> None:
        self.sent = 0
        self.most_in_flight = 0
        self._in_flight: collections.Counter[str] = collections.Counter()
        port = world.owner.targets
        stop_run = port.stop_run

        async def stop(**arguments):
            name = arguments["target"].target_id
            self.sent += 1
            self._in_flight[name] += 1
            self.most_in_flight = max(self.most_in_flight, self._in_flight[name])
            try:
                return await stop_run(**arguments)
            finally:
                self._in_flight[name] -= 1

        port.stop_run = stop


def test_stops_in_flight_are_limited_for_each_target_and_not_repeated_meanwhile(monkeypatch):
    """Guards against one cancellation that opens thousands of connections at once."""
    world = _ready(target_count=2)
    job = world.job(jobs.Step(count=200, cpu_millis=10), work_s=600.0)
    world.store_jobs(job)
    world.run_until(lambda: len(world.starts(job.job_id)) == 200)
    world.run(1.0)
    orders = StopOrders(world)
    monkeypatch.setattr(memory_targets, "CALL_LATENCY_S", 3 * ANSWER_S)
    world.cancel(job.job_id)
    world.run_until(lambda: not any(engine.runs for engine in world.engines.values()))
    assert orders.most_in_flight <= target_session.MAX_STOPS_IN_FLIGHT
    assert orders.sent == 200


def test_orders_in_flight_are_limited_and_the_rest_is_placed_in_order(monkeypatch):
    world = _ready(target_count=60)
    monkeypatch.setattr(memory_targets, "CALL_LATENCY_S", ANSWER_S)
    orders = StartOrders(world)
    submitted = []
    for number in range(200):
        job = world.job(ONE_TASK, work_s=60.0)
        submitted.append(jobs.Job(**_fields(job) | {"accepted_at": job.accepted_at + number / 1e4}))
    world.store_jobs(*submitted)
    took_s = world.run_until(lambda: len(orders.tasks) == len(submitted) and not orders.in_flight)
    assert orders.most_in_flight == sender.MAX_ORDERS_IN_FLIGHT
    assert [name.partition(".")[0] for name in orders.tasks] == [job.job_id for job in submitted]
    assert took_s < (len(submitted) / sender.MAX_ORDERS_IN_FLIGHT + 2) * ANSWER_S
    world.run(1.0)
    assert len(orders.tasks) == len(submitted)
    world_module.check_all(world)


def _fields(job: jobs.Job) -> dict:
    return {name: getattr(job, name) for name in job.__struct_fields__}


class IntakeCalls:
    """Records a member's listings and watches of the intake; the next watch may fail."""

    def __init__(self, member: world_module.Member) -> None:
        self.listings = 0
        self.watched: list[int] = []
        self.failures = 0
        watch, list_page = member.store.watch, member.store.list_page

        async def record_watch(**arguments):
            if arguments["prefix"] != keys.INTAKE:
                return await watch(**arguments)
            self.watched.append(arguments["after"])
            if self.failures:
                self.failures -= 1
                return result.Failure(store.UnknownOutcomeError(call="watch", reason="lost"))
            return await watch(**arguments)

        async def record_listing(**arguments):
            self.listings += arguments["prefix"] == keys.INTAKE
            return await list_page(**arguments)

        member.store.watch, member.store.list_page = record_watch, record_listing


@pytest.mark.parametrize("failures", [1, 3])
def test_watch_of_the_intake_resumes_from_its_revision_after_failures_without_a_listing(failures):
    world = _ready()
    calls = IntakeCalls(world.owner)
    calls.failures = failures
    world.run_until(lambda: calls.watched, 4.0)
    job = world.job(ONE_TASK, work_s=0.5)
    world.store_jobs(job)
    world.run_until(lambda: world.state(job.job_id) == "completed")
    assert calls.failures == 0 and calls.listings == 0
    assert len(set(calls.watched[: failures + 1])) == 1
    assert len(world.starts(job.job_id)) == 1


def test_history_that_was_compacted_leads_to_one_new_listing_that_finds_what_was_missed():
    world = _ready()
    calls = IntakeCalls(world.owner)
    calls.failures = 4
    world.run_until(lambda: calls.watched, 4.0)
    missed = world.job(ONE_TASK, work_s=0.5)
    world.store_jobs(missed)
    world.store.compact()
    world.run_until(lambda: world.state(missed.job_id) == "completed")
    assert calls.listings == 1
    later = world.job(ONE_TASK, work_s=0.5)
    world.store_jobs(later)
    world.run_until(lambda: world.state(later.job_id) == "completed")
    assert calls.listings == 1
    assert [len(world.starts(job.job_id)) for job in (missed, later)] == [1, 1]


def _run_with_history(world: world_module.World, seconds: float) -> None:
    """Advances a world whose store keeps its history for `HISTORY_S`."""
    for _ in range(round(seconds)):
        revision = world.store.revision
        world.clock.callLater(HISTORY_S, _forget, world, revision)
        world.run(1.0)


def _forget(world: world_module.World, revision: int) -> None:
    world.store.compacted = revision
    world.store.changes = [one for one in world.store.changes if one.revision > revision]


def _list_slowly(world: world_module.World, member: world_module.Member) -> None:
    """Makes each page of the intake hold one item and take `PAGE_S`."""
    member.store._page_items = 1
    list_page = member.store.list_page

    async def list_slowly(**arguments):
        outcome = await list_page(**arguments)
        if arguments["prefix"] == keys.INTAKE:
            await task.deferLater(world.clock, PAGE_S)
        return outcome

    member.store.list_page = list_slowly


def test_listing_that_takes_longer_than_the_history_is_made_once_and_later_changes_are_applied():
    world = world_module.World(entries=0)
    listed = [world.job(ONE_TASK, work_s=300.0) for _ in range(8)]
    world.store_jobs(*listed)
    member = world.start("slow")
    calls = IntakeCalls(member)
    _list_slowly(world, member)
    _run_with_history(world, 2 * PAGE_S)
    later = world.job(ONE_TASK, work_s=300.0)
    world.store_jobs(later)
    cancel = store.Put(key=keys.cancel(listed[0].job_id), value=b"{}")
    world.store.commit((), (cancel,), ())
    _run_with_history(world, 2 * HISTORY_S)
    assert world.owner.node.owner.recovered
    assert len(world.starts(later.job_id)) == 1
    assert world.state(listed[0].job_id) == "cancelled"
    cancel = store.Put(key=keys.cancel(later.job_id), value=b"{}")
    world.store.commit((), (cancel,), ())
    _run_with_history(world, CANCEL_S)
    assert world.state(later.job_id) == "cancelled"
    assert calls.listings <= len(listed) + 2
    world_module.check_all(world)


def test_job_that_is_cancelled_during_a_long_recovery_is_not_started_after_it(monkeypatch):
    sleep = coroutines.CoroutineGroup.sleep
    monkeypatch.setattr(
        coroutines.CoroutineGroup, "sleep", lambda group, delay_s: sleep(group, delay_s or TURN_S)
    )
    world = world_module.World(entries=0, target_count=LARGE_TARGET_COUNT)
    listed = [world.job(ONE_TASK, work_s=300.0) for _ in range(4)]
    world.store_jobs(*listed)
    member = world.start("slow")
    _list_slowly(world, member)
    world.run(3 * PAGE_S)
    cancel = store.Put(key=keys.cancel(listed[0].job_id), value=b"{}")
    world.store.commit((), (cancel,), ())
    world.run_until(lambda: world.starts(listed[1].job_id), 10 * PAGE_S)
    world.run(1.0)
    assert world.state(listed[0].job_id) == "cancelled"
    assert world.starts(listed[0].job_id) == []
    world_module.check_all(world)


def test_cancellation_that_a_failed_watch_missed_is_applied():
    world = _ready()
    job = world.job(ONE_TASK, work_s=60.0)
    world.submit(job)
    world.run_until(lambda: world.starts(job.job_id))
    calls = IntakeCalls(world.owner)
    calls.failures = 2
    world.run_until(lambda: calls.watched, 4.0)
    world.store.commit((), (store.Put(key=keys.cancel(job.job_id), value=b"{}"),), ())
    world.run_until(lambda: world.state(job.job_id) == "cancelled", 3.0)
    assert calls.listings == 0
    world.run(0.5)
    assert not any(engine.runs for engine in world.engines.values())


def test_cancellation_during_an_earlier_write_of_its_job_is_not_reported_durable_by_that_write():
    world = _ready()
    next_step = jobs.Step(count=1, cpu_millis=1000, estimate_s=30.0, after=(0,))
    job = world.job(ONE_TASK, next_step)
    world.store_jobs(job)
    key, written = keys.progress(job.job_id), []
    commit = world.owner.store.commit

    async def commit_late(**arguments):
        written.extend(put.key for put in arguments["puts"])
        await task.deferLater(world.clock, ANSWER_S)
        return await commit(**arguments)

    world.owner.store.commit = commit_late
    world.run_until(lambda: key in written)
    waiter = world.owner.node.owner.cancel(job.job_id)
    world.run_until(lambda: waiter.called)
    stored = progress.decode(world.store.items[key].value)
    assert stored.state == rows.JobState.CANCELLED


def test_late_list_of_targets_does_not_set_a_restarted_target_back_and_lose_its_runs():
    world = _ready(target_count=2)
    session_row = world.owner.node.owner.scheduler.tables.targets["t0"]
    world.engines["t0"].restart()
    world.run_until(lambda: session_row.target.born == 2)
    job = world.job(jobs.Step(count=2, cpu_millis=4000, estimate_s=3.0), work_s=3.0)
    with scripted.logged() as lines:
        world.submit(job)
        world.run(0.5)
        world.add_target("t9")
        world.run(2.0)
    assert session_row.target.born == 2
    assert [line for line in lines if line["message_type"] == "run.lost"] == []
    world.run_until(lambda: world.state(job.job_id) == "completed")
    assert len(world.starts(job.job_id)) == 2
    world_module.check_all(world)


def test_start_in_flight_on_a_restarted_target_is_not_repeated_after_a_late_list(monkeypatch):
    world = _ready(target_count=2)
    row = world.owner.node.owner.scheduler.tables.targets["t0"]
    world.engines["t0"].restart()
    world.run_until(lambda: row.target.born == 2)
    monkeypatch.setattr(memory_targets, "CALL_LATENCY_S", ANSWER_S)
    step = jobs.Step(count=1, cpu_millis=500, estimate_s=0.5)
    for _ in range(20):
        world.store_jobs(world.job(step, work_s=0.5))
        world.run(0.1)
        world.register(world.engines["t1"].target)
    world.run(5.0)
    assert [len(world.starts(job_id)) for job_id in world.accepted] == [1] * 20
    world_module.check_all(world)


@pytest.mark.parametrize("listed_first", [True, False])
def test_start_that_the_next_incarnation_of_a_target_carried_out_is_not_repeated(listed_first):
    """Guards against a second run of a task whose target restarted unseen just before its start."""
    world = _ready(target_count=1)
    world.engines["t0"].restart()
    job = world.job(ONE_TASK, work_s=3.0)
    world.submit(job)
    world.run_until(lambda: world.starts(job.job_id), limit_s=0.6)
    world.add_target("t9")
    if listed_first:
        world.register(world.engines["t0"].target)
    world.run(2.0)
    assert len(world.starts(job.job_id)) == 1
    world.run_until(lambda: world.state(job.job_id) == "completed")
    world_module.check_all(world)


def test_start_that_the_next_incarnation_of_a_target_carries_out_late_is_not_repeated():
    """Guards against a second run beside one that a restarted target begins after seconds."""
    world = _ready(target_count=1)
    world.engines["t0"].restart()
    world.engines["t0"].faults.delay_s = 1.5
    job = world.job(ONE_TASK, work_s=3.0)
    world.submit(job)
    world.run(0.1)
    world.add_target("t9")
    world.register(world.engines["t0"].target)
    world.run(4.0)
    world.engines["t0"].faults.delay_s = 0.0
    world.run_until(lambda: world.state(job.job_id) == "completed")
    world_module.check_all(world)


def test_targets_that_the_list_shows_to_have_restarted_together_convict_no_task():
    """Guards against jobs that fail for two short power losses of a whole failure domain."""
    world = _ready(target_count=6)
    job = world.job(jobs.Step(count=6, cpu_millis=4000, estimate_s=30.0), work_s=30.0)
    world.submit(job)
    world.run_until(lambda: len(world.starts(job.job_id)) == 6)
    for _ in range(2):
        world.run(5.0)
        for target_id in list(world.engines):
            world.restart_target(target_id)
        world.run(2.0)
    assert world.state(job.job_id) == "running"


def test_older_registration_does_not_set_a_target_back_to_its_former_incarnation():
    """Guards against runs that are given up though their target never restarted again."""
    world = _ready(target_count=1)
    former = world.engines["t0"].target
    world.restart_target("t0")
    job = world.job(ONE_TASK, work_s=3.0)
    world.submit(job)
    world.run(1.5)
    world.register(msgspec.structs.replace(former, memory_mb=3999))
    world.run(0.3)
    row = world.owner.node.owner.scheduler.tables.targets["t0"]
    assert row.target.born == 2
    world.register(world.engines["t0"].target)
    world.run_until(lambda: world.state(job.job_id) == "completed")
    assert len(world.starts(job.job_id)) == 1


def test_answer_of_an_incarnation_that_has_not_reported_confirms_no_run():
    """Guards against a late report of the former incarnation that ends the new one's run."""
    world = _ready(target_count=1)
    world.run(5.0)
    engine = world.engines["t0"]
    engine.restart()
    job = world.job(ONE_TASK, work_s=3.0)
    with scripted.logged() as lines:
        world.submit(job)
        world.run_until(lambda: world.starts(job.job_id), limit_s=0.6)
        world.run(2.0)
    assert "run.answered_across_restart" in [line["message_type"] for line in lines]
    (row,) = world.owner.node.owner.scheduler.tables.targets.values()
    assert [run.task.crashes for run in row.runs.values()] == [0]
    world.run_until(lambda: world.state(job.job_id) == "completed")
    assert len(world.starts(job.job_id)) == 1


def test_task_of_an_order_without_effect_is_placed_again_once_its_target_has_restarted():
    """Guards against a task that waits for a start that its restarted target never received."""
    world = _ready(target_count=1)
    world.engines["t0"].faults.down = True
    job = world.job(ONE_TASK, work_s=0.5)
    world.submit(job)
    world.run(0.3)
    world.restart_target("t0")
    world.engines["t0"].faults.down = False
    assert world.run_until(lambda: world.state(job.job_id) == "completed") < 2.0
    world_module.check_all(world)


def test_target_whose_registration_changes_is_updated():
    world = _ready(target_count=2)
    row = world.owner.node.owner.scheduler.tables.targets["t0"]
    world.register(msgspec.structs.replace(row.target, cpu_millis=9000))
    world.run(0.5)
    assert row.target.cpu_millis == row.free_cpu == 9000


def _tasks_started_again(world: world_module.World, job_ids: list[str]) -> list[str]:
    """Returns the names of the tasks that were started more than once."""
    names = [name for job_id in job_ids for _, name, _, _ in world.starts(job_id)]
    return sorted({name for name in names if names.count(name) > 1})


def _outage_with_many_ends(world: world_module.World) -> list[str]:
    """Starts short tasks and makes the store silent, so that ends stay listed; returns the jobs."""
    new_jobs = [world.job(jobs.Step(count=8, cpu_millis=500, estimate_s=0.2), work_s=0.2)]
    new_jobs += [world.job(jobs.Step(count=8, cpu_millis=500, estimate_s=0.2), work_s=0.2)]
    world.store_jobs(*new_jobs)
    world.run_until(lambda: all(world.starts(job.job_id) for job in new_jobs))
    for member in world.members.values():
        member.store.faults.silent = True
    return [job.job_id for job in new_jobs]


def test_tasks_whose_ends_a_target_does_not_list_yet_are_not_started_again(monkeypatch):
    """Guards against repeated work after an outage in which more tasks end than one report lists."""
    monkeypatch.setattr(memory_targets, "LISTED_ENDS", 3)
    world = _ready(target_count=2)
    ids = _outage_with_many_ends(world)
    world.run(4.0)
    for member in world.members.values():
        member.store.faults.silent = False
    world.run_until(lambda: all(world.state(job_id) == "completed" for job_id in ids))
    assert _tasks_started_again(world, ids) == []
    world_module.check_all(world)


def test_runs_whose_ends_a_target_does_not_list_yet_are_not_taken_for_hung(monkeypatch):
    """Guards against a quarantine of targets for runs that have ended without a listed end."""
    monkeypatch.setattr(memory_targets, "LISTED_ENDS", 3)
    world = _ready(target_count=2)
    _outage_with_many_ends(world)
    world.run(4.0)
    rows_now = world.owner.node.owner.scheduler.tables.targets.values()
    assert not any(run.stop_reason for row in rows_now for run in row.runs.values())
    assert [row.suspicion_score for row in rows_now] == [0.0, 0.0]


def test_new_owner_starts_nothing_again_that_ended_beyond_the_first_list_of_a_target(monkeypatch):
    """Guards against repeated work if the owner is lost while a target has many ends."""
    monkeypatch.setattr(memory_targets, "LISTED_ENDS", 1)
    world = world_module.World(entries=2, target_count=2)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.run(1.0)
    ids = _outage_with_many_ends(world)
    world.run(1.0)
    world.kill(world.owner.name)
    for member in world.members.values():
        member.store.faults.silent = False
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    # The journal of the new owner writes slowly: its targets list further ends seconds later.
    world.owner.store.faults.latency_s = 0.5
    world.run_until(lambda: all(world.state(job_id) == "completed" for job_id in ids), 60.0)
    assert _tasks_started_again(world, ids) == []
    world_module.check_all(world)


def test_job_whose_progress_outgrows_a_value_of_the_store_fails_and_the_others_complete(
    monkeypatch,
):
    """Guards against a fleet in which nothing completes any more because of one job's record."""
    world = _ready()
    monkeypatch.setattr(memory_store, "VALUE_BYTES", 1_000)
    large = world.job(jobs.Step(count=400, cpu_millis=100, estimate_s=0.1), work_s=0.1)
    world.store_jobs(large)
    world.run_until(lambda: world.state(large.job_id) == "failed")
    row = world.owner.node.owner.job(large.job_id)
    assert row.reason == "its progress exceeds the largest value of the store"
    other = world.job(ONE_TASK, work_s=0.3)
    world.store_jobs(other)
    world.run_until(lambda: world.state(other.job_id) == "completed")
    world_module.check_all(world)


def _delay_listings(member: world_module.Member, delay_s: float) -> None:
    """Lets pages of the intake arrive a while after they were read."""
    list_page = member.store.list_page

    async def delayed(**arguments):
        page = await list_page(**arguments)
        if arguments["prefix"] == keys.INTAKE:
            await task.deferLater(member.clocks.loop, delay_s)
        return page

    member.store.list_page = delayed


def _world_that_lists_while_jobs_are_removed() -> tuple[world_module.World, list[str]]:
    world = world_module.World(entries=1, keep_ended_s=3.0)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.run(1.0)
    done = [world.job(ONE_TASK, work_s=0.1) for _ in range(4)]
    world.store_jobs(*done)
    ids = [job.job_id for job in done]
    world.run_until(lambda: all(world.state(job_id) == "completed" for job_id in ids))
    world.run(1.0)
    _delay_listings(world.owner, 3.0)
    world.store.compact()
    return world, ids


def test_jobs_that_are_removed_while_the_intake_is_listed_do_not_run_again():
    """Guards against completed jobs that run again after the store forgot its history."""
    world, ids = _world_that_lists_while_jobs_are_removed()
    world.run(5.0)
    assert not any(world.owner.node.owner.job(job_id) for job_id in ids)
    assert [len(world.starts(job_id)) for job_id in ids] == [1, 1, 1, 1]


def test_job_that_is_handed_in_anew_after_its_removal_runs_although_a_listing_is_under_way():
    """Guards against a removal that hides a later submission under the same id."""
    world, ids = _world_that_lists_while_jobs_are_removed()
    world.run_until(lambda: keys.job(ids[0]) not in world.store.items)
    world.store_jobs(world.accepted[ids[0]])
    world.run(6.0)
    assert [len(world.starts(job_id)) for job_id in ids] == [2, 1, 1, 1]


@pytest.mark.parametrize("fresh", [1, 6])
def test_new_owner_does_not_wait_for_targets_that_no_former_owner_knew(fresh):
    """Guards against tasks that a new owner holds back while targets are replaced one after the other."""
    world = world_module.World(entries=2, target_count=2)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.run(1.0)
    waiting = world.job(jobs.Step(count=10, cpu_millis=1000, estimate_s=2.0), work_s=2.0)
    assert world.submit(waiting).verdict == entry.Verdict.DONE
    world.run_until(lambda: world.starts(waiting.job_id))
    world.kill(world.owner.name)
    for number in range(fresh):
        world.clock.callLater(0.8 * number, _add_silent_target, world, f"fresh{number}")
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.run_until(lambda: len(world.starts(waiting.job_id)) == 10, limit_s=4.0)
    world_module.check_all(world)


def _add_silent_target(world: world_module.World, name: str) -> None:
    world.add_target(name)
    world.engines[name].faults.down = True


def test_slow_recovery_does_not_prolong_the_wait_for_leases_of_targets_that_are_gone():
    """Guards against tasks that stay down for a lease's length after each slow recovery."""
    world = world_module.World(entries=2, target_count=3)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.run(1.0)
    lasting = world.job(jobs.Step(count=1, cpu_millis=1000, long_running=True), work_s=-1.0)
    assert world.submit(lasting).verdict == entry.Verdict.DONE
    world.run_until(lambda: world.starts(lasting.job_id))
    world.run(1.0)
    ((_, _, _, lost),) = world.starts(lasting.job_id)
    world.kill(world.owner.name)
    world.engines[lost].faults.down = True
    world.unregister(lost)
    (member,) = world.members.values()
    _delay_listings(member, 4.0)
    world.run_until(lambda: world.owner is not None)
    world.run_until(
        lambda: len(world.starts(lasting.job_id)) == 2, limit_s=world_module.LEASE_S + 1
    )
    world_module.check_all(world)


def test_target_that_is_listed_late_in_a_term_keeps_its_runs_for_a_lease_when_it_stops_to_answer():
    """Guards against a second run while the first one may go on."""
    world = _ready(target_count=1)
    world.run(world_module.LEASE_S + 1)
    world.engines["t0"].faults.max_runs = 0
    world.add_target("late")
    job = world.job(jobs.Step(count=1, cpu_millis=1000, estimate_s=20.0), work_s=20.0)
    assert world.submit(job).verdict == entry.Verdict.DONE
    world.run_until(lambda: world.starts(job.job_id))
    world.engines["late"].faults.partitioned = True
    world.engines["t0"].faults.max_runs = 100
    world.run(world_module.LEASE_S - 1)
    assert len(world.starts(job.job_id)) == 1
    world.run_until(lambda: len(world.starts(job.job_id)) == 2)
    world_module.check_all(world)


def test_task_of_a_target_that_left_is_back_in_time_though_owners_follow_each_other():
    """Guards against a wait for the leases of gone targets that begins anew with each owner."""
    world = world_module.World(entries=5, target_count=3)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.run(1.0)
    lasting = world.job(jobs.Step(count=1, cpu_millis=1000, long_running=True), work_s=-1.0)
    assert world.submit(lasting, at=world.owner.name).verdict == entry.Verdict.DONE
    world.run_until(lambda: world.starts(lasting.job_id))
    world.run(1.0)
    ((_, _, _, lost),) = world.starts(lasting.job_id)
    world.engines[lost].faults.down = True
    world.unregister(lost)
    left_at = world.clock.seconds()
    for _ in range(3):
        world.kill(world.owner.name)
        world.run_until(lambda: world.owner is not None)
        world.run(1.2)
    world.run_until(lambda: len(world.starts(lasting.job_id)) == 2)
    assert world.clock.seconds() - left_at <= RESTART_S
    world_module.check_all(world)


def test_owner_with_a_slow_recovery_starts_tasks_on_a_fleet_on_which_nothing_else_changes():
    """Guards against targets that stay unannounced as their records need no write."""
    world = world_module.World(entries=2, target_count=3)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.run(3.0)
    world.kill(world.owner.name)
    (member,) = world.members.values()
    _delay_listings(member, 2.0)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.run(1.0)
    job = world.job(ONE_TASK, work_s=0.5)
    assert world.submit(job).verdict == entry.Verdict.DONE
    world.run_until(lambda: world.state(job.job_id) == "completed", limit_s=5.0)
    world_module.check_all(world)
