"""Eviction: order, cost and budget."""

from __future__ import annotations

from ebonyhatch.core import budgets, default_scheduler, entities, events, eviction_costs, resources
from ebonyhatch.core import settings as settings_module
from ebonyhatch.core.systems import eviction

CAPACITY = resources.Resources(slots=2, connections=8, cores=4.0, memory_gb=8.0)
ONE = resources.Resources(slots=1, connections=1, cores=1.0, memory_gb=1.0)


def running(count):
    scheduler = default_scheduler.DefaultScheduler(seed=1)
    joined = events.WorkerJoined(worker_id="w0", failure_domain="a", rack="r", capacity=CAPACITY)
    scheduler.tick(now=0.0, events=[joined])
    for number in range(count):
        job = entities.Job(job_id=f"j{number}", work_class="c", tenant="t", demand=ONE)
        submitted = events.JobSubmitted(job=job)
        for start in scheduler.tick(now=20.0 * number, events=[submitted]):
            started = events.TaskStarted(task_id=start.task_id)
            scheduler.tick(now=20.0 * number, events=[started])
    return scheduler


def test_cost_follows_unsaved_work_and_rises_with_evictions():
    state = running(2).tables
    state.now = 45.0
    old, young = state.tasks["j0/1"], state.tasks["j1/1"]
    assert eviction_costs.can_checkpoint(state, old)
    assert not eviction_costs.can_checkpoint(state, young)
    assert eviction_costs.cost_with_checkpoint(state, old) < eviction_costs.cost_with_checkpoint(
        state, young
    )
    before = eviction_costs.cost_without_checkpoint(state, young)
    young.job.evictions = 2
    assert eviction_costs.cost_without_checkpoint(state, young) == 9 * before


def test_throttled_task_has_less_unsaved_work():
    state = running(1).tables
    state.now = 10.0
    task = state.tasks["j0/1"]
    eviction.throttle(state, task, speed_fraction=0.5)
    assert eviction_costs.unsaved_s(task, now=20.0) == 15.0


def test_evicted_job_resumes_with_what_was_saved():
    scheduler = running(1)
    state = scheduler.tables
    eviction.evict_task(state, state.tasks["j0/1"], checkpoint=True)
    stopped = events.TaskStopped(task_id="j0/1", progress_s=35.0)
    again = scheduler.tick(now=50.0, events=[stopped])
    assert again[-1].task_id == "j0/2"
    assert state.tasks["j0/2"].resumed_s == 35.0


def test_budget_is_refilled_evenly():
    budget = budgets.EvictionBudget()
    budget.refill(now=0.0, limit=2.0, refill_s=10.0)
    assert [budget.spend() for _ in range(3)] == [True, True, False]
    budget.refill(now=5.0, limit=2.0, refill_s=10.0)
    assert [budget.spend() for _ in range(2)] == [True, False]


def test_classes_name_the_settings():
    weights = {"patience_s": 0.4, "eviction_cost": 3.0}
    entry = entities.WorkClass(name="c", urgency=entities.Urgency.BATCH, weights=weights)
    found = settings_module.from_classes([entry], defaults=settings_module.Settings())
    assert found.patience_s == 0.4
    assert found.hold_s == settings_module.Settings().hold_s
