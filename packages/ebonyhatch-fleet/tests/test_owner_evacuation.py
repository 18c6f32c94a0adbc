"""Evacuation of a failure domain in a fleet whose owners, store and links fail meanwhile."""

from __future__ import annotations

import pytest
import scripted
import world as world_module
from ebonyhatch.fleet import jobs, rows, targets

EVACUATION_S = 5.0
"""Time after a request from which on nothing may start in the domain, seconds."""

SHORT = jobs.Step(count=1, cpu_millis=1_000, estimate_s=0.5)


def _ready(*, entries: int = 1, per_domain: int = 2, domains: str = "ab") -> world_module.World:
    world = world_module.World(entries=entries, target_count=0)
    for domain in domains:
        for number in range(per_domain):
            world.add_target(f"{domain}{number}", domain=domain)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.run(1.0)
    return world


def _starts_in(world: world_module.World, domain: str, *, after: float) -> list[tuple]:
    """Returns the starts in a domain later than a time."""
    return [
        (at, key, target_id)
        for engine in world.engines.values()
        for at, key, target_id in engine.started
        if engine.target.failure_domain == domain and at > after
    ]


def _submit_steadily(world: world_module.World, seconds: float, *, work_s: float = 0.3) -> None:
    """Adds a short job every 0.1 s."""
    until = world.clock.seconds() + seconds
    while world.clock.seconds() < until:
        world.store_jobs(world.job(SHORT, work_s=work_s))
        world.run(0.1)


def _all_complete(world: world_module.World) -> bool:
    return all(world.state(job_id) == "completed" for job_id in world.accepted)


def test_nothing_starts_in_the_domain_until_the_request_is_removed():
    world = _ready()
    _submit_steadily(world, 1.0)
    requested_at = world.clock.seconds()
    assert _starts_in(world, "a", after=0.0)
    world.evacuate("a")
    _submit_steadily(world, 8.0)
    assert _starts_in(world, "a", after=requested_at + 0.2) == []
    world.end_evacuation("a")
    returned_at = world.clock.seconds()
    _submit_steadily(world, 2.0)
    assert _starts_in(world, "a", after=returned_at)
    world.run_until(lambda: _all_complete(world))
    world_module.check_all(world)


@pytest.mark.parametrize("silent", [False, True], ids=["watched", "watch-lost"])
def test_new_owner_starts_nothing_in_the_domain_in_the_middle_of_an_evacuation(silent):
    """Guards against starts by a new owner that hasn't read the requests."""
    world = _ready(entries=3)
    _submit_steadily(world, 1.0)
    if silent:
        for member in world.members.values():
            member.store.faults.silent_watches = world_module.EVACUATIONS_PREFIX
        world.run(2.0)
    requested_at = world.clock.seconds()
    world.evacuate("a")
    _submit_steadily(world, 0.5)
    world.kill(world.owner.name)
    world.run_until(lambda: world.owner is not None)
    taken_over_at = world.clock.seconds()
    _submit_steadily(world, 6.0)
    assert _starts_in(world, "a", after=taken_over_at) == []
    assert _starts_in(world, "a", after=requested_at + EVACUATION_S) == []
    world.run_until(lambda: _all_complete(world))
    world_module.check_all(world)


def test_new_owner_places_nothing_before_it_has_read_the_requests():
    world = _ready(entries=2)
    world.evacuate("a")
    world.run(0.5)
    for member in world.members.values():
        member.store.faults.silent_prefix = world_module.EVACUATIONS_PREFIX
    world.kill(world.owner.name)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    taken_over_at = world.clock.seconds()
    _submit_steadily(world, 4.0)
    for domain in "ab":
        assert _starts_in(world, domain, after=taken_over_at) == []
    for member in world.members.values():
        member.store.faults.silent_prefix = ""
    world.run_until(lambda: _all_complete(world))
    assert _starts_in(world, "a", after=taken_over_at) == []
    world_module.check_all(world)


def test_domain_stays_evacuated_while_the_store_is_silent():
    """Guards against a return to service by an outage of the store, whose owner goes on placing."""
    world = _ready()
    world.evacuate("a")
    world.run(0.5)
    new_jobs = [world.job(SHORT, work_s=0.4) for _ in range(60)]
    world.store_jobs(*new_jobs)
    world.run(0.05)
    silent_at = world.clock.seconds()
    world.owner.store.faults.silent = True
    world.run(5.0)
    assert _starts_in(world, "b", after=silent_at)
    world.owner.store.faults.silent = False
    world.run_until(lambda: _all_complete(world), 40.0)
    assert _starts_in(world, "a", after=0.0) == []
    world_module.check_all(world)


def test_two_domains_are_evacuated_at_once_and_one_of_them_returned():
    world = _ready(domains="abc")
    world.evacuate("a")
    world.evacuate("b")
    world.run(0.3)
    requested_at = world.clock.seconds()
    _submit_steadily(world, 4.0)
    assert _starts_in(world, "a", after=requested_at) == []
    assert _starts_in(world, "b", after=requested_at) == []
    world.end_evacuation("b")
    _submit_steadily(world, 2.0)
    assert _starts_in(world, "a", after=requested_at) == []
    assert _starts_in(world, "b", after=requested_at)
    world.run_until(lambda: _all_complete(world))
    world_module.check_all(world)


def test_request_that_is_taken_back_at_once_loses_no_task():
    world = _ready()
    new_jobs = [world.job(SHORT, work_s=0.3) for _ in range(20)]
    world.store_jobs(*new_jobs)
    world.run(0.03)
    world.evacuate("a")
    world.run(0.02)
    world.end_evacuation("a")
    world.run_until(lambda: _all_complete(world))
    world_module.check_all(world)


def test_request_that_a_lost_watch_and_a_compaction_hide_is_in_force_within_the_bound():
    world = _ready()
    member = world.owner
    member.store.faults.silent_watches = world_module.EVACUATIONS_PREFIX
    world.run(2.0)
    requested_at = world.clock.seconds()
    world.evacuate("a")
    world.store.compact()
    _submit_steadily(world, 8.0)
    assert _starts_in(world, "a", after=requested_at + EVACUATION_S) == []
    world.run_until(lambda: _all_complete(world))


def _run_states(world: world_module.World, target_id: str) -> list[rows.RunState]:
    """Returns the states of the runs that the owner has on a target."""
    target = world.owner.node.owner.scheduler.tables.targets[target_id]
    return [run.state for run in target.runs.values()]


@pytest.mark.parametrize("delay_s", [0.3, 3.0, 12.0])
def test_start_that_is_carried_out_late_in_the_domain_ends_at_once_or_is_refused(delay_s):
    """Guards against work in the domain by an order that was on its way when it was evacuated."""
    world = _ready(per_domain=1, domains="a")
    world.engines["a0"].faults.delay_s = delay_s
    world.store_jobs(world.job(SHORT, work_s=30.0))
    world.run(0.1)
    assert _run_states(world, "a0") == [rows.RunState.ORDERED]
    requested_at = world.clock.seconds()
    world.evacuate("a")
    world.run(0.1)
    assert _run_states(world, "a0") == [rows.RunState.STOPPING]
    world.engines["a0"].faults.delay_s = 0.0
    world.run(delay_s + 3.0)
    assert _starts_in(world, "a", after=requested_at + EVACUATION_S) == []
    assert not world.engines["a0"].runs
    world.add_target("b0", domain="b")
    world.run_until(lambda: world.engines["b0"].runs)
    world_module.check_all(world)


def test_start_whose_stop_is_lost_too_is_stopped_again():
    """Guards against a run that goes on in the domain because its only stop order got lost."""
    world = _ready(per_domain=1, domains="a")
    world.engines["a0"].faults.lose_answers = True
    world.store_jobs(world.job(SHORT, work_s=30.0))
    world.run_until(lambda: world.engines["a0"].runs)
    port = world.owner.targets
    stop_run, lost = port.stop_run, []

    async def stop(**arguments):
        if not lost:
            lost.append(arguments["key"])
            arguments["key"] = targets.RunKey(task="none", run=1)
        return await stop_run(**arguments)

    port.stop_run = stop
    world.evacuate("a")
    world.run_until(lambda: lost, 1.0)
    world.run(EVACUATION_S)
    assert not world.engines["a0"].runs


def _operating(world: world_module.World, domain: str) -> int:
    return sum(
        len(engine.runs)
        for engine in world.engines.values()
        if engine.target.failure_domain == domain
    )


def _most_away(world: world_module.World, job_id: str) -> int:
    """Returns the most tasks of a job that weren't running at any time after all had started."""
    spans: dict[str, list[tuple[float, float]]] = {}
    for engine in world.engines.values():
        ends = {key: at for at, key, _ in engine.ended}
        for at, key, _ in engine.started:
            if key.task.startswith(job_id):
                spans.setdefault(key.task, []).append((at, ends.get(key, world.clock.seconds())))
    since = max(runs[0][0] for runs in map(sorted, spans.values()))
    times = sorted(end for runs in spans.values() for _, end in runs if end >= since)
    return max(
        sum(not any(start <= at < end for start, end in runs) for runs in spans.values())
        for at in times[: -len(spans)] or [since]
    )


SERVICE = jobs.Step(count=12, cpu_millis=1_000, long_running=True, disruption_budget=1)


def _with_service(*, entries: int = 1) -> tuple[world_module.World, jobs.Job]:
    """Returns a world whose domain a runs some tasks of a service with a budget."""
    world = _ready(entries=entries, per_domain=4, domains="abc")
    job = world.job(SERVICE, work_s=-1.0)
    world.store_jobs(job)
    world.run_until(lambda: len(world.starts(job.job_id)) == SERVICE.count)
    world.run(2.5)
    assert _operating(world, "a") > SERVICE.disruption_budget
    return world, job


def test_service_leaves_the_domain_within_its_budget():
    world, job = _with_service()
    world.evacuate("a")
    world.run_until(lambda: not _operating(world, "a"), 30.0)
    world.run(2.0)
    assert _operating(world, "b") + _operating(world, "c") == SERVICE.count
    assert _most_away(world, job.job_id) <= SERVICE.disruption_budget
    world_module.check_all(world)


@pytest.mark.parametrize("after_s", [0.02, 0.1, 0.4, 1.0])
def test_service_stays_within_its_budget_though_the_owner_is_lost_in_between(after_s):
    """Guards against a new owner that counts no task as away which the former one had stopped."""
    world, job = _with_service(entries=3)
    world.evacuate("a")
    world.run(after_s)
    world.kill(world.owner.name)
    world.run_until(lambda: not _operating(world, "a"), 40.0)
    world.run(2.0)
    assert _operating(world, "b") + _operating(world, "c") == SERVICE.count
    assert _most_away(world, job.job_id) <= SERVICE.disruption_budget
    world_module.check_all(world)


def test_service_leaves_two_domains_at_once_within_its_budget():
    world, job = _with_service()
    world.evacuate("a")
    world.evacuate("b")
    world.run_until(lambda: not (_operating(world, "a") or _operating(world, "b")), 40.0)
    world.run(2.0)
    assert _operating(world, "c") == SERVICE.count
    assert _most_away(world, job.job_id) <= SERVICE.disruption_budget
    world_module.check_all(world)


def test_service_stays_where_it_is_when_all_domains_are_evacuated():
    """Guards against tasks that are stopped without a place to go."""
    world, job = _with_service()
    with scripted.logged() as lines:
        for domain in "abc":
            world.evacuate(domain)
        world.run(4.0)
    assert len(world.starts(job.job_id)) == SERVICE.count
    assert sum(_operating(world, domain) for domain in "abc") == SERVICE.count
    events = [line["message_type"] for line in lines]
    assert events.count("evacuation.no_targets_left") == 1


def test_targets_of_the_domain_that_are_listed_later_get_nothing():
    world = _ready(domains="b")
    with scripted.logged() as lines:
        world.evacuate("a")
        world.run(0.5)
        world.add_target("a0", domain="a")
        world.run(0.5)
    added_at = world.clock.seconds()
    _submit_steadily(world, 3.0)
    assert _starts_in(world, "a", after=0.0) == []
    assert _starts_in(world, "b", after=added_at)
    events = [line["message_type"] for line in lines]
    assert events.count("evacuation.unreadable") == 1
    assert events.count("evacuation.requested") == 1


def test_odd_keys_are_logged_once_and_evacuate_nothing():
    world = _ready(entries=2)
    with scripted.logged() as lines:
        world.evacuate("a", b"never")
        world.evacuate("nowhere")
        world.run(5.0)
        world.add_target("b9", domain="b")
        world.run(1.0)
    requested_at = world.clock.seconds()
    _submit_steadily(world, 1.0)
    assert _starts_in(world, "a", after=requested_at)
    reported = [line["domain"] for line in lines if line["message_type"] == "evacuation.unreadable"]
    assert reported.count("a") == len(world.members) and reported.count("nowhere") == 1
    assert not [line for line in lines if line["message_type"] == "loop.restarted"]


def test_gauges_of_the_owner_show_the_evacuation():
    world = _ready()
    assert world.owner.node.owner.gauges()["evacuated_domains"] == 0
    world.evacuate("a")
    world.run(0.3)
    gauges = world.owner.node.owner.gauges()
    assert (gauges["evacuated_domains"], gauges["evacuated_runs"]) == (1, 0)
