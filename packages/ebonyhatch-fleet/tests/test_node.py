from __future__ import annotations

import msgspec
import pytest
import world as world_module
from ebonyhatch.fleet import (
    entry,
    jobs,
    keys,
    memory_peers,
    memory_store,
    messages,
    node,
    queues,
    store,
    targets,
)
from returns import result

TWO_STEPS = (
    jobs.Step(count=3, cpu_millis=1000, estimate_s=0.5),
    jobs.Step(count=2, cpu_millis=1000, estimate_s=0.5, after=(0,)),
)


def _ready(*, entries: int = 3) -> world_module.World:
    world = world_module.World(entries=entries)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    return world


def test_a_job_of_two_steps_is_completed_once():
    world = _ready()
    job = world.job(*TWO_STEPS)
    assert world.submit(job).verdict == entry.Verdict.DONE
    took_s = world.run_until(lambda: world.state(job.job_id) == "completed")
    assert took_s < 1.6
    assert len(world.starts(job.job_id)) == 5
    for name in world.members:
        assert world.show(job.job_id, at=name).state == "completed"
    world_module.check_all(world)


def test_the_same_id_again_is_the_same_job():
    world = _ready()
    job = world.job(*TWO_STEPS)
    for name in world.members:
        assert world.submit(job, at=name).verdict == entry.Verdict.DONE
    world.run(3.0)
    assert len(world.starts(job.job_id)) == 5


def test_a_job_that_was_never_submitted_is_not_known():
    world = _ready()
    assert world.show("f" * 16).verdict == entry.Verdict.NO_SUCH_JOB
    assert world.cancel("f" * 16).verdict == entry.Verdict.NO_SUCH_JOB


def test_a_cancelled_job_is_stopped_everywhere():
    world = _ready()
    job = world.job(*TWO_STEPS, work_s=30.0)
    world.submit(job)
    world.run(0.5)
    assert world.cancel(job.job_id, at="e2").verdict == entry.Verdict.DONE
    assert world.show(job.job_id, at="e1").state == "cancelled"
    world.run(0.5)
    assert not any(engine.runs for engine in world.engines.values())
    before = len(world.starts(job.job_id))
    world.run(3.0)
    assert len(world.starts(job.job_id)) == before


def test_a_killed_owner_is_replaced_and_its_runs_go_on():
    world = _ready()
    job = world.job(*TWO_STEPS, work_s=4.0)
    world.submit(job)
    world.run(1.0)
    first = world.owner
    world.kill(first.name)
    later = world.job(*TWO_STEPS)
    survivor = next(iter(world.members))
    assert world.submit(later, at=survivor).verdict == entry.Verdict.DONE
    took_s = world.run_until(lambda: world.starts(later.job_id))
    assert took_s < 3.0
    world.run_until(lambda: world.state(job.job_id) == "completed")
    assert len(world.starts(job.job_id)) == 5
    world_module.check_all(world)


def test_all_entries_killed_at_once_lose_nothing():
    world = _ready()
    accepted = [world.job(*TWO_STEPS, work_s=1.0) for _ in range(4)]
    for job in accepted:
        assert world.submit(job).verdict == entry.Verdict.DONE
    world.run(0.7)
    for name in list(world.members):
        world.kill(name)
    world.run(2.0)
    for number in range(3):
        world.start(f"f{number}")
    world.run_until(
        lambda: all(world.state(job.job_id) == "completed" for job in accepted), limit_s=25.0
    )
    world_module.check_all(world)


def test_tasks_of_a_partitioned_owner_are_not_run_twice():
    world = _ready()
    job = world.job(*TWO_STEPS, work_s=3.0)
    world.submit(job)
    world.run(0.5)
    partitioned_owner = world.owner
    partitioned_owner.store.faults.silent = True
    world.network.partitioned.add(partitioned_owner.name)
    world.run(6.0)
    assert world.owner.name != partitioned_owner.name
    partitioned_owner.store.faults.silent = False
    world.network.partitioned.clear()
    world.run_until(lambda: world.state(job.job_id) == "completed")
    assert sum(member.node.owner is not None for member in world.members.values()) == 1
    world_module.check_all(world)


@pytest.mark.parametrize("reached", [1, 2, 3])
def test_tasks_of_an_owner_that_is_cut_off_with_some_targets_are_not_run_twice(reached):
    world = _ready()
    job = world.job(jobs.Step(count=8, cpu_millis=1000, estimate_s=40.0), work_s=40.0)
    world.submit(job)
    world.run(1.0)
    cut_off = world.owner
    names = sorted(world.engines)
    cut_off.store.faults.silent = True
    world.network.partitioned.add(cut_off.name)
    cut_off.targets.unreached = frozenset(names[reached:])
    for member in world.members.values():
        if member is not cut_off:
            member.targets.unreached = frozenset(names[:reached])
    world.run(20.0)
    assert any(m.node.owner for m in world.members.values() if m is not cut_off)
    world_module.check_single_execution(world)


def test_owner_with_a_new_lease_acts_only_once_the_owner_s_key_is_under_it():
    world = _ready()
    job = world.job(jobs.Step(count=8, cpu_millis=1000, estimate_s=40.0), work_s=40.0)
    world.submit(job)
    world.run(1.0)
    former = world.owner
    names = sorted(world.engines)
    world.network.partitioned.add(former.name)
    for member in world.members.values():
        member.targets.unreached = frozenset(names[2:] if member is former else names[:2])

    async def refuse(**arguments):
        return result.Failure(store.NotDoneError(call="any", reason="refused"))

    former.store.commit = former.store.watch = former.store.list_page = refuse
    world.store.revoke(world.store.items[keys.OWNER].lease)
    world.run(20.0)
    assert any(m.node.owner for m in world.members.values() if m is not former)
    world_module.check_single_execution(world)


def test_running_work_goes_on_while_the_store_is_down():
    world = _ready()
    job = world.job(*TWO_STEPS, work_s=2.0)
    world.submit(job)
    world.run(0.5)
    for member in world.members.values():
        member.store.faults.refuse = True
    world.run(4.5)
    assert world.submit(world.job(*TWO_STEPS)).verdict == entry.Verdict.NOT_DONE
    for member in world.members.values():
        member.store.faults.refuse = False
    world.run_until(lambda: world.state(job.job_id) == "completed")
    assert len(world.starts(job.job_id)) == 5
    world_module.check_all(world)


def test_outage_of_the_store_while_some_targets_are_down_loses_no_run_on_the_others():
    world = _ready()
    job = world.job(jobs.Step(count=8, cpu_millis=1000, estimate_s=60.0), work_s=60.0)
    world.submit(job)
    world.run(1.0)
    names = sorted(world.engines)
    for name in names[:2]:
        world.engines[name].faults.down = True
    world.run(4.0)
    running = {key for name in names[2:] for key in world.engines[name].runs}
    for member in world.members.values():
        member.store.faults.silent = True
    world.run(10.0)
    assert running <= {key for name in names[2:] for key in world.engines[name].runs}
    world_module.check_single_execution(world)


@pytest.mark.parametrize("fault", ["silent", "refuse"])
def test_submissions_are_refused_at_once_while_the_store_is_down_or_unresponsive(fault):
    """The refused jobs never run, and Retry-After sends the callers back near the outage's end."""
    world = _ready()
    for member in world.members.values():
        setattr(member.store.faults, fault, True)
    world.run(3.0)
    began = world.clock.seconds()
    answer = world.submit(world.job(*TWO_STEPS))
    assert answer.verdict == entry.Verdict.NOT_DONE
    assert world.clock.seconds() - began < 0.25
    assert 2.0 < answer.retry_after_s < 6.5
    for member in world.members.values():
        setattr(member.store.faults, fault, False)
    world.run(1.0)
    assert world.submit(world.job(*TWO_STEPS)).verdict == entry.Verdict.DONE


def test_a_submission_is_answered_before_its_caller_leaves_though_the_store_is_unresponsive():
    world = _ready()
    for member in world.members.values():
        member.store.faults.silent = True
    began = world.clock.seconds()
    assert world.submit(world.job(*TWO_STEPS)).verdict == entry.Verdict.UNKNOWN
    assert world.clock.seconds() - began <= 2.5 + 2 * world_module.STEP_S


def test_a_submission_whose_answer_is_lost_is_accepted_once_its_record_exists():
    world = _ready()
    job = world.job(*TWO_STEPS)
    world.members["e0"].store.faults.lose_answers = True
    pending = world.members["e0"].node.entry.submit(
        job, queue=world_module.QUEUE, version=1, until=world.clock.seconds() + 2.5
    )
    world.clock.callLater(0.95, setattr, world.members["e0"].store.faults, "lose_answers", False)
    assert world.wait(pending).verdict == entry.Verdict.DONE


def test_a_submission_whose_record_the_store_never_takes_is_refused_for_good(monkeypatch):
    """Guards against callers who are told to come back with a job that can't be stored."""
    world = _ready()
    monkeypatch.setattr(memory_store, "VALUE_BYTES", 300)
    answer = world.submit(world.job(spec="x" * 400))
    assert answer.verdict == entry.Verdict.TOO_LARGE


def test_an_entry_that_the_store_refuses_relays_submissions_through_a_peer():
    world = _ready()
    world.run(1.0)
    refused = next(name for name in world.members if name != world.owner.name)
    world.members[refused].store.faults.refuse = True
    job = world.job(*TWO_STEPS)
    assert world.submit(job, at=refused).verdict == entry.Verdict.DONE
    world.run_until(lambda: world.state(job.job_id) == "completed")


def test_a_crashed_target_that_restarts_releases_its_runs_at_once():
    world = _ready()
    job = world.job(jobs.Step(count=4, cpu_millis=4000, estimate_s=2.0), work_s=2.0)
    world.submit(job)
    world.run(0.5)
    world.engines["t0"].faults.down = True
    world.run(0.5)
    world.restart_target("t0")
    world.engines["t0"].faults.down = False
    world.run_until(lambda: world.state(job.job_id) == "completed", limit_s=6.0)
    world_module.check_all(world)


def test_runs_of_a_partitioned_target_wait_for_its_lease():
    world = _ready()
    job = world.job(jobs.Step(count=4, cpu_millis=3000, estimate_s=5.0), work_s=5.0)
    world.submit(job)
    world.run(0.5)
    world.engines["t1"].faults.partitioned = True
    world.run_until(lambda: world.state(job.job_id) == "completed", limit_s=20.0)
    world.engines["t1"].faults.partitioned = False
    world.run(3.0)
    world_module.check_single_execution(world)


def test_orders_that_are_carried_out_late_start_nothing_twice():
    world = _ready()
    world.engines["t0"].faults.delay_s = 3.0
    job = world.job(jobs.Step(count=4, cpu_millis=3000, estimate_s=1.0), work_s=1.0)
    world.submit(job)
    world.run_until(lambda: world.state(job.job_id) == "completed", limit_s=20.0)
    world.run(5.0)
    world_module.check_all(world)


def test_a_job_that_always_fails_ends_as_failed_after_its_attempts():
    world = _ready()
    for engine in world.engines.values():
        engine.faults.fail_runs = True
    job = world.job(jobs.Step(count=1, cpu_millis=1000, estimate_s=1.0), work_s=1.0)
    world.submit(job)
    world.run_until(lambda: world.state(job.job_id) == "failed")
    assert len(world.starts(job.job_id)) == 3


def test_a_target_that_fails_everything_is_quarantined():
    world = _ready()
    world.engines["t0"].faults.fail_runs = True
    accepted = [world.job(work_s=0.3) for _ in range(12)]
    for job in accepted:
        world.submit(job)
    world.run_until(lambda: all(world.state(job.job_id) == "completed" for job in accepted))
    failed = sum(kind == targets.EndKind.FAILED for _, _, kind in world.engines["t0"].ended)
    assert failed <= 8


def test_a_version_is_in_force_everywhere_and_never_goes_back():
    world = _ready()
    newer = queues.Configuration(version=9, queues=(), pools=())
    world.configure(newer)
    world.run(0.3)
    assert all(member.node.configuration.version == 9 for member in world.members.values())
    world.configure(queues.Configuration(version=4, queues=(world_module.QUEUE,), pools=()))
    world.run(2.0)
    assert all(member.node.configuration.version == 9 for member in world.members.values())


def test_fresh_entry_is_not_ready_with_a_version_of_a_peer_before_it_has_read_the_store():
    world = _ready()
    fresh = world.start("e9")
    fresh.store.faults.silent_prefix = world_module.CONFIGURATION_KEY
    world.run(3.0)
    assert fresh.node.configuration.version == 1
    assert not fresh.node.ready
    fresh.store.faults.silent_prefix = ""
    world.run_until(lambda: fresh.node.ready, limit_s=3.0)


def test_an_entry_that_the_store_refuses_receives_a_version_from_a_peer():
    world = _ready()
    world.run(1.0)
    world.members["e1"].store.faults.refuse = True
    world.configure(queues.Configuration(version=9, queues=(), pools=()))
    world.run(1.0)
    assert world.members["e1"].node.configuration.version == 9


@pytest.mark.parametrize("refused_s", [3.0, 10.0])
def test_an_entry_whose_lease_ended_receives_a_version_from_a_peer(refused_s):
    world = _ready()
    world.members["e1"].store.faults.refuse = True
    world.run(refused_s)
    world.configure(queues.Configuration(version=9, queues=(), pools=()))
    world.run_until(lambda: world.members["e1"].node.configuration.version == 9, limit_s=2.0)


@pytest.mark.parametrize("entries", [3, 41])
def test_an_entry_whose_watch_is_silent_receives_a_version_while_its_lease_is_renewed(entries):
    world = world_module.World(entries=entries, target_count=1, large=entries > 3)
    world.run(6.0)
    lagging = world.members["e1"]
    lagging.store.faults.silent_watches = world_module.CONFIGURATION_KEY
    world.network.members["e1"].handle(messages.ConfigurationNotice, lambda sender, message: None)
    world.run(3.0)
    world.configure(queues.Configuration(version=9, queues=(), pools=()))
    assert world.run_until(lambda: lagging.node.configuration.version == 9, limit_s=4.0) < 1.2


def test_job_accepted_under_a_newer_version_is_not_run_as_the_older_one_of_the_owner_says():
    world = _ready()
    moved = msgspec.structs.replace(world_module.QUEUE, pool="other")
    job = world.job(*TWO_STEPS)
    world.submit(job, queue=moved, version=5)
    world.run(1.0)
    between = queues.Configuration(
        version=3, queues=(world_module.QUEUE,), pools=(world_module.POOL_ROW,)
    )
    world.configure(between)
    world.run(1.0)
    assert not world.starts(job.job_id)
    world.configure(msgspec.structs.replace(between, version=6))
    world.run_until(lambda: world.state(job.job_id) == "completed", limit_s=5.0)


def test_copies_of_a_version_do_not_grow_with_the_square_of_the_entries(monkeypatch):
    world = _ready(entries=17)
    sent = []
    send = memory_peers.MemoryPeers.send

    def count(port, *, entry_id, message):
        if isinstance(message, messages.ConfigurationNotice):
            sent.append(entry_id)
        return send(port, entry_id=entry_id, message=message)

    monkeypatch.setattr(memory_peers.MemoryPeers, "send", count)
    world.members["e7"].store.faults.refuse = True
    world.configure(queues.Configuration(version=9, queues=(), pools=()))
    world.run(0.3)
    assert all(member.node.configuration.version == 9 for member in world.members.values())
    assert len(sent) <= 17 * 5


@pytest.mark.parametrize("entries", [1, 2, 3, 5])
def test_each_entry_passes_a_version_on_to_other_entries_only(entries, monkeypatch):
    world = _ready(entries=entries)
    passed_on = {name: [] for name in world.members}
    names = {id(world.network.members[name]): name for name in world.members}

    def count(port, *, entry_id, message):
        if isinstance(message, messages.ConfigurationNotice):
            passed_on[names[id(port)]].append(entry_id)
        return True

    monkeypatch.setattr(memory_peers.MemoryPeers, "send", count)
    world.configure(queues.Configuration(version=9, queues=(), pools=()))
    world.run(0.3)
    for name, receivers in passed_on.items():
        assert name not in receivers and len(set(receivers)) == len(receivers)
        assert receivers or entries == 1


def test_a_planned_stop_hands_ownership_over_at_once():
    world = _ready()
    job = world.job(*TWO_STEPS, work_s=2.0)
    world.submit(job)
    world.run(0.5)
    leaving = world.owner
    world.wait(leaving.node.hand_over())
    took_s = world.run_until(lambda: world.owner is not None and world.owner is not leaving)
    assert took_s < 0.6
    world.kill(leaving.name)
    world.run_until(lambda: world.state(job.job_id) == "completed")
    assert len(world.starts(job.job_id)) == 5
    world_module.check_all(world)


def test_a_suspended_owner_starts_nothing_before_it_has_renewed_its_lease():
    world = world_module.World(entries=1)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    first = world.job(jobs.Step(count=4, cpu_millis=4000, estimate_s=2.0), work_s=2.0)
    second = world.job(*TWO_STEPS)
    world.submit(first)
    world.run_until(lambda: len(world.starts(first.job_id)) == 4)
    world.submit(second)
    world.run(1.0)
    owner = world.owner
    owner.store.faults.silent = True
    owner.clocks.suspended_s += 4.0
    world.run(3.0)
    assert not any(engine.runs for engine in world.engines.values())
    assert world.starts(second.job_id) == []
    owner.store.faults.silent = False
    world.run_until(lambda: world.state(second.job_id) == "completed")


def test_long_running_tasks_are_restarted_however_they_end():
    world = _ready()
    job = world.job(
        jobs.Step(count=2, cpu_millis=1000, long_running=True, disruption_budget=1), work_s=-1.0
    )
    world.submit(job)
    world.run(1.0)
    victim = next(engine for engine in world.engines.values() if engine.runs)
    victim.faults.down = True
    world.run(0.2)
    world.restart_target(victim.target.target_id)
    victim.faults.down = False
    world.run(2.0)
    assert sum(len(engine.runs) for engine in world.engines.values()) == 2


def test_a_start_whose_order_is_lost_is_moved_to_another_target_within_a_second():
    world = _ready()
    world.engines["t0"].faults.delay_s = 3.0
    job = world.job(jobs.Step(count=4, cpu_millis=3000, estimate_s=1.0), work_s=1.0)
    world.submit(job)
    world.run_until(lambda: len(world.starts(job.job_id)) == 3)
    world.engines["t0"].faults.delay_s = 0.0
    took_s = world.run_until(lambda: len(world.starts(job.job_id)) == 4)
    assert took_s < 1.0


def test_runs_of_a_target_whose_answers_are_lost_are_not_started_elsewhere_too_soon():
    world = _ready()
    job = world.job(jobs.Step(count=4, cpu_millis=1500, estimate_s=12.0), work_s=12.0)
    world.submit(job)
    world.run(0.5)
    world.engines["t1"].faults.unresponsive = True
    world.run_until(lambda: len(world.starts(job.job_id)) == 5, limit_s=12.0)
    world.run(1.0)
    world_module.check_single_execution(world)


def test_the_next_owner_begins_with_the_model_that_the_last_one_learned():
    world = _ready()
    accepted = [world.job(work_s=0.4) for _ in range(6)]
    for job in accepted:
        world.submit(job)
        world.run(1.0)
    first = world.owner
    model = first.node.owner.scheduler.model_snapshot()
    assert b"plans" in model
    world.kill(first.name)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    assert b"plans" in world.owner.node.owner.scheduler.model_snapshot()


def _outage_in_which_all_leases_end(world: world_module.World, seconds: float) -> None:
    for member in world.members.values():
        member.store.faults.refuse = True
    for lease in list(world.store.leases):
        world.store.revoke(lease)
    for target_id in world.engines:
        world.unregister(target_id)
    world.run(seconds)
    for member in world.members.values():
        member.store.faults.refuse = False


def test_runs_on_targets_that_are_missing_after_an_outage_are_not_started_again():
    world = _ready()
    job = world.job(jobs.Step(count=4, cpu_millis=1000, estimate_s=6.0), work_s=6.0)
    world.submit(job)
    world.run(1.0)
    first = world.owner
    _outage_in_which_all_leases_end(world, 1.0)
    world.kill(first.name)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.register(world.engines["t0"].target)
    world.run(1.5)
    for engine in world.engines.values():
        world.register(engine.target)
    world.run_until(lambda: world.state(job.job_id) == "completed", limit_s=12.0)
    assert len(world.starts(job.job_id)) == 4
    world_module.check_all(world)


def test_an_owner_stays_the_owner_over_an_outage_in_which_all_leases_end():
    world = _ready()
    world.run(1.0)
    first = world.owner
    _outage_in_which_all_leases_end(world, 3.0)
    world.run(3.0)
    assert world.owner is first
    assert first.node.owner.term == 1


def test_a_takeover_whose_answer_is_lost_and_that_comes_late_makes_an_owner_that_acts():
    world = _ready()
    world.run(1.0)
    world.kill(world.owner.name)
    for member in world.members.values():
        member.store.faults.lose_answers = True
        member.store.faults.delay_s = 2.0
    world.run_until(lambda: "ebonyhatch/members/owner" not in world.store.items)
    world.run_until(lambda: "ebonyhatch/members/owner" in world.store.items)
    for member in world.members.values():
        member.store.faults.lose_answers = False
    world.run_until(lambda: world.owner is not None, limit_s=3.0)
    job = world.job(*TWO_STEPS)
    world.submit(job)
    world.run_until(lambda: world.state(job.job_id) == "completed", limit_s=5.0)


def test_a_takeover_does_not_wait_for_a_target_that_took_no_new_runs_before():
    world = _ready()
    job = world.job(jobs.Step(count=4, cpu_millis=2500, estimate_s=9.0), work_s=9.0)
    world.submit(job)
    world.run(1.0)
    world.engines["t0"].faults.partitioned = True
    world.run(2.0)
    later = world.job(*TWO_STEPS, work_s=2.0)
    world.submit(later)
    world.run(0.5)
    world.kill(world.owner.name)
    before = len(world.starts(later.job_id))
    took_s = world.run_until(lambda: len(world.starts(later.job_id)) > before, limit_s=8.0)
    assert took_s < 3.0
    world.run_until(lambda: world.state(later.job_id) == "completed", limit_s=8.0)
    world.run_until(lambda: world.state(job.job_id) == "completed", limit_s=25.0)
    world_module.check_all(world)


def test_a_job_of_a_removed_queue_is_done_by_the_next_owner_too():
    world = _ready()
    job = world.job(*TWO_STEPS, work_s=2.0)
    world.submit(job)
    world.run(0.5)
    without = queues.Configuration(version=5, queues=(), pools=(world_module.POOL_ROW,))
    world.configure(without)
    world.run(0.5)
    world.kill(world.owner.name)
    world.run_until(lambda: world.state(job.job_id) == "completed")
    world_module.check_all(world)


def test_the_next_owner_knows_which_long_running_tasks_ran_before():
    world = _ready()
    job = world.job(jobs.Step(count=3, cpu_millis=1000, long_running=True), work_s=-1.0)
    world.submit(job)
    world.run(1.5)
    world.kill(world.owner.name)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    tasks = world.owner.node.owner.job(job.job_id).occurrences[0][0].tasks
    assert [task.last_run for task in tasks] == [1, 1, 1]


def test_a_refusal_that_reaches_an_earlier_term_ends_no_later_one():
    world = _ready(entries=1)
    owner = world.owner
    first = owner.node.owner
    owner.node._members.relinquish("relinquished by a test", term=first.term)
    world.run_until(lambda: owner.node.owner is not None and owner.node.owner is not first)
    later = owner.node.owner
    assert later.term > first.term
    first._on_superseded("a late refusal")
    world.run(0.2)
    assert owner.node.owner is later


@pytest.mark.parametrize(
    ("cores", "bytes_per_s", "capacity", "link_delay_s"),
    [
        (0.0, 0.0, 0.0, 0.0),
        (2.0, 0.0, 2.0, 0.0),
        (0.0, 625_000.0, 0.208, 0.4),
        (0.1, 625_000.0, 0.1, 0.4),
        (2.0, 30_000_000.0, 2.0, 0.00833),
    ],
)
def test_capacity_of_an_entry_is_that_of_its_scarcer_resource(
    cores, bytes_per_s, capacity, link_delay_s
):
    settings = node.Settings(
        name="e",
        host="h",
        port=1,
        lease_s=6.0,
        processor_cores=cores,
        link_bytes_per_s=bytes_per_s,
    )
    assert settings.capacity == capacity
    assert settings.link_delay_s == pytest.approx(link_delay_s, rel=1e-3)


def _large_owner_with_small_entries() -> tuple[world_module.World, jobs.Job]:
    """Returns a fleet whose largest entry is the owner, and a job of 8 tasks that it runs."""
    world = world_module.World(entries=0)
    world.start("large", capacity=2.0)
    for number in range(3):
        world.start(f"small{number}", capacity=0.3)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    job = world.job(jobs.Step(count=8, cpu_millis=1000, estimate_s=200.0), work_s=200.0)
    world.submit(job)
    world.run(25.0)
    assert world.owner.name == "large"
    return world, job


def test_large_entry_that_reaches_no_targets_does_not_get_the_role_back_so_that_runs_are_lost():
    world, job = _large_owner_with_small_entries()
    world.owner.targets.partitioned = True
    world.run(70.0)
    assert len(world.starts(job.job_id)) == 8


def test_large_entry_gets_the_role_back_once_it_reaches_targets_again():
    world, job = _large_owner_with_small_entries()
    world.members["large"].targets.partitioned = True
    world.run_until(lambda: world.owner is not None and world.owner.name != "large")
    world.run(10.0)
    world.members["large"].targets.partitioned = False
    world.run_until(lambda: world.owner is not None and world.owner.name == "large", limit_s=30.0)
    world.run(5.0)
    assert len(world.starts(job.job_id)) == 8
    world_module.check_all(world)


@pytest.mark.parametrize("entries", [5, 40])
def test_entry_keeps_connections_to_its_neighbours_and_the_owner_only(entries, monkeypatch):
    linked: dict[str, set[str]] = {}
    set_peers = memory_peers.MemoryPeers.set_peers

    def record(port, *, peers, **options):
        linked[port._entry_id] = set(options["linked"]) - {port._entry_id}
        set_peers(port, peers=peers, **options)

    monkeypatch.setattr(memory_peers.MemoryPeers, "set_peers", record)
    world = world_module.World(entries=entries, target_count=1)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.run(3.0)
    owner = world.owner.name
    assert all(owner in names for name, names in linked.items() if name != owner)
    for member in world.members.values():
        connections = member.node._gauges()["peer_connections"]
        assert connections == len(linked[member.name]) <= (entries - 1).bit_length() + 1


def test_entries_hear_of_a_load_when_it_begins_and_when_it_ends(monkeypatch):
    world = world_module.World(entries=3, target_count=1)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    notices = []
    receive = memory_peers.MemoryPeers.receive

    def record(port, sender, message, done):
        if isinstance(message, messages.LoadNotice):
            notices.append(message.waits_s)
        return receive(port, sender, message, done)

    monkeypatch.setattr(memory_peers.MemoryPeers, "receive", record)
    world.run(2.0)
    assert not notices
    waits_s = {"q": 3.0}
    monkeypatch.setattr(world.owner.node.owner, "waits_s", lambda: waits_s)
    world.run(1.0)
    assert len(notices) >= 4
    assert all(notice == {"q": 3.0} for notice in notices)
    waits_s = {}
    world.run(1.0)
    last = notices[-2:]
    world.run(1.0)
    assert last == notices[-2:] == [{}, {}]


def _overloaded(world: world_module.World, name: str) -> None:
    """Gives an entry a load report by which all new jobs of the queue are refused."""
    member = world.members[name]
    now = member.clocks.now()
    member.node._load.update(term=99, waits_s={"plans": 1_000.0}, now=now)


def test_a_refused_job_is_in_no_record_and_comes_back_later():
    """A refusal states that the job hasn't run and never will."""
    world = _ready()
    name = next(iter(world.members))
    _overloaded(world, name)
    job = world.job()
    answer = world.submit(job, at=name)
    assert answer.verdict == entry.Verdict.OVERLOADED and answer.retry_after_s > 0
    world.run(3.0)
    assert not world.starts(job.job_id)
    assert world.submit(job, at=name).verdict == entry.Verdict.DONE


def test_a_job_that_was_accepted_before_is_not_refused_when_it_is_submitted_again():
    """Guards against a refusal of a job that runs; the owner hasn't read its record yet."""
    world = _ready()
    name = next(iter(world.members))
    job = world.job()
    _overloaded(world, name)
    world.store_jobs(job)
    assert world.submit(job, at=name).verdict == entry.Verdict.DONE


def test_nothing_is_refused_for_load_while_the_owner_does_not_answer():
    """Without the owner's answer nobody knows whether the job was accepted before."""
    world = _ready()
    owner = world.owner.name
    name = next(one for one in world.members if one != owner)
    world.kill(owner)
    _overloaded(world, name)
    assert world.submit(world.job(), at=name).verdict == entry.Verdict.DONE


def test_load_is_not_estimated_unless_refusals_are_enabled():
    world = _ready(entries=1)
    assert world.owner.node.owner.waits_s() == {}
    assert world.owner.node.owner.scheduler._backlog is None


def test_wide_step_holds_a_target_under_each_owner_that_is_set_to_look_ahead():
    """Guards against a setting that doesn't reach the scheduler, and reservations lost for good."""
    world = world_module.World(entries=2, target_count=2, placement_policy="look-ahead")

    def reserved() -> bool:
        owner = world.owner
        if owner is None or not owner.node.owner.recovered:
            return False
        return owner.node.owner.gauges()["lookahead_targets_reserved"] == 1

    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    small = world.job(jobs.Step(count=2, cpu_millis=3000, estimate_s=9.0), work_s=9.0)
    world.submit(small)
    world.run_until(lambda: len(world.starts(small.job_id)) == 2)
    wide = world.job(jobs.Step(count=1, cpu_millis=4000, estimate_s=0.5))
    world.submit(wide)
    world.run_until(reserved)
    world.kill(world.owner.name)
    world.run_until(reserved)
    world.run_until(lambda: world.state(wide.job_id) == "completed")
    world_module.check_all(world)


def _submitted_late(world: world_module.World, name: str, *, delay_s: float) -> jobs.Job:
    """Submits a job whose record is written late; its outcome is unknown to the caller."""
    job = world.job(*TWO_STEPS)
    faults = world.members[name].store.faults
    faults.lose_answers, faults.delay_s = True, delay_s
    assert world.submit(job, at=name).verdict == entry.Verdict.UNKNOWN
    faults.lose_answers, faults.delay_s = False, 0.0
    return job


@pytest.mark.parametrize("takeover", [False, True])
def test_job_whose_cancellation_was_answered_does_not_run_when_it_is_created_late(takeover):
    """Guards against jobs that run although their callers were told that there is no such job."""
    world = _ready()
    world.run(1.0)
    name = next(one for one in world.members if one != world.owner.name)
    other = next(one for one in world.members if one not in (name, world.owner.name))
    job = _submitted_late(world, name, delay_s=5.0)
    assert world.cancel(job.job_id, at=other).verdict == entry.Verdict.NO_SUCH_JOB
    if takeover:
        world.kill(world.owner.name)
    world.run(10.0)
    assert not world.starts(job.job_id)
    assert world.show(job.job_id, at=name).verdict == entry.Verdict.NO_SUCH_JOB


def test_job_that_was_created_late_after_its_cancellation_by_an_earlier_version_does_not_run():
    """Guards against writes that don't depend on the cancellation, from entries of earlier versions."""
    world = _ready()
    job = world.job(*TWO_STEPS)
    assert world.cancel(job.job_id).verdict == entry.Verdict.NO_SUCH_JOB
    world.run(1.0)
    world.store_jobs(job)
    world.run(5.0)
    assert not world.starts(job.job_id)
    assert world.show(job.job_id).state == "cancelled"


def test_cancelled_job_that_is_submitted_later_is_answered_that_it_is_cancelled():
    world = _ready()
    job = world.job(*TWO_STEPS)
    world.cancel(job.job_id)
    answer = world.submit(job)
    assert answer.verdict == entry.Verdict.NO_SUCH_JOB and "cancelled" in answer.reason
    world.run(3.0)
    assert not world.starts(job.job_id)


def test_accepted_job_that_is_cancelled_and_submitted_again_stays_one_job():
    world = _ready()
    job = world.job(*TWO_STEPS)
    world.submit(job)
    assert world.cancel(job.job_id).verdict == entry.Verdict.DONE
    assert world.submit(job).verdict == entry.Verdict.DONE
    world.run(2.0)
    assert world.show(job.job_id).state == "cancelled"


@pytest.mark.parametrize("fault", ["refuse", "silent", "lose_answers"])
def test_cancellation_that_is_not_known_to_be_stored_is_not_acknowledged(fault):
    world = _ready()
    job = world.job(*TWO_STEPS)
    for member in world.members.values():
        setattr(member.store.faults, fault, True)
    verdict = world.cancel(job.job_id).verdict
    assert verdict in (entry.Verdict.NOT_DONE, entry.Verdict.UNKNOWN)


def test_cancellations_of_unknown_jobs_cause_no_round_of_the_journal(monkeypatch):
    """Guards against callers by whom the owner does nothing else than write."""
    world = _ready()
    world.run(2.0)
    requests = []
    monkeypatch.setattr(
        world.owner.node.owner._journal, "request_write", lambda **urgent: requests.append(urgent)
    )
    for _ in range(5):
        world.cancel(world.job().job_id)
    world.run(0.2)
    assert {"urgent": True} not in requests
