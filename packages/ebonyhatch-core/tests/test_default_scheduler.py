"""Basic decisions of the scheduler, one event at a time."""

from __future__ import annotations

from ebonyhatch.core import commands, default_scheduler, entities, events, resources

CAPACITY = resources.Resources(slots=2, connections=8, cores=4.0, memory_gb=8.0)
ONE = resources.Resources(slots=1, connections=1, cores=1.0, memory_gb=1.0)
CLASSES = (
    entities.WorkClass(name="quote", urgency=entities.Urgency.URGENT, deadline_s=1.0),
    entities.WorkClass(name="plan", urgency=entities.Urgency.BATCH),
)


def build(workers=1):
    scheduler = default_scheduler.DefaultScheduler(seed=1)
    scheduler.tick(now=0.0, events=[events.ClassesChanged(classes=CLASSES, tenants=())])
    scheduler.tick(now=0.0, events=[joined(f"w{number}") for number in range(workers)])
    return scheduler


def joined(worker_id):
    return events.WorkerJoined(worker_id=worker_id, failure_domain="a", rack="r", capacity=CAPACITY)


def submitted(job_id, demand=ONE):
    job = entities.Job(job_id=job_id, work_class="plan", tenant="t", demand=demand)
    return events.JobSubmitted(job=job)


def arrived(request_id, now=0.0, idempotent=True):
    request = entities.Request(
        request_id=request_id,
        service="orders",
        work_class="quote",
        tenant="t",
        arrived_at=now,
        deadline_at=now + 1.0,
        idempotent=idempotent,
        demand=ONE,
    )
    return events.RequestArrived(request=request)


def kinds(decided):
    return [type(command).__name__ for command in decided]


def test_urgent_goes_first_and_limits_hold():
    scheduler = build()
    decided = scheduler.tick(now=0.0, events=[submitted("j1"), submitted("j2"), arrived("r1")])
    assert kinds(decided) == ["SendRequest", "StartTask"]
    assert decided[1].task_id == "j1/1"
    assert scheduler.room(now=0.0).free_slots == 0


def test_finished_attempt_frees_its_slot():
    scheduler = build()
    scheduler.tick(now=0.0, events=[submitted(f"j{number}") for number in range(3)])
    decided = scheduler.tick(now=1.0, events=[events.TaskFinished(task_id="j0/1", run_s=1.0)])
    assert [command.job_id for command in decided] == ["j2"]


def test_job_too_large_for_all_workers_is_parked_until_a_worker_joins():
    scheduler = build()
    huge = resources.Resources(slots=3, connections=1)
    decided = scheduler.tick(now=0.0, events=[submitted("huge", huge), submitted("j1")])
    assert kinds(decided) == ["ParkJob", "StartTask"]
    larger = events.WorkerJoined(
        worker_id="w9",
        failure_domain="a",
        rack="r",
        capacity=resources.Resources(slots=4, connections=8, cores=4.0, memory_gb=8.0),
    )
    assert kinds(scheduler.tick(now=1.0, events=[larger])) == ["StartTask"]


def test_request_past_its_deadline_is_refused_as_not_run():
    scheduler = build(workers=0)
    scheduler.tick(now=0.0, events=[arrived("r1")])
    decided = scheduler.tick(now=1.0, events=[])
    assert decided[0].outcome is commands.Outcome.NOT_RUN


def test_lost_request_is_tried_once_more_elsewhere_if_idempotent():
    scheduler = build(workers=2)
    first = scheduler.tick(now=0.0, events=[arrived("r1")])[0]
    lost = events.RequestLost(request_id="r1", worker_id=first.worker_id)
    second = scheduler.tick(now=0.1, events=[lost])[0]
    assert second.attempt == 2
    assert second.worker_id != first.worker_id
    lost = events.RequestLost(request_id="r1", worker_id=second.worker_id)
    refused = scheduler.tick(now=0.2, events=[lost])[0]
    assert refused.outcome is commands.Outcome.UNKNOWN


def test_lost_request_that_may_not_repeat_ends_unknown():
    scheduler = build(workers=2)
    first = scheduler.tick(now=0.0, events=[arrived("r1", idempotent=False)])[0]
    lost = events.RequestLost(request_id="r1", worker_id=first.worker_id)
    refused = scheduler.tick(now=0.1, events=[lost])[0]
    assert refused.outcome is commands.Outcome.UNKNOWN


def test_cancelled_attempt_is_stopped_and_not_queued_again():
    scheduler = build()
    scheduler.tick(now=0.0, events=[submitted("j1")])
    decided = scheduler.tick(now=0.1, events=[events.JobCancelled(job_id="j1")])
    assert kinds(decided) == ["StopTask"]
    stopped = events.TaskStopped(task_id="j1/1", progress_s=0.0)
    assert scheduler.tick(now=0.2, events=[stopped]) == []
    assert scheduler.explain(subject_id="j1") == ""


def test_removed_worker_has_its_jobs_queued_for_others():
    scheduler = build(workers=2)
    first = scheduler.tick(now=0.0, events=[submitted("j1")])[0]
    removed = events.WorkerGone(worker_id=first.worker_id)
    second = scheduler.tick(now=0.1, events=[removed])[0]
    assert second.task_id == "j1/2"
    assert second.worker_id != first.worker_id


def test_leaving_worker_gets_nothing():
    scheduler = build()
    scheduler.tick(now=0.0, events=[events.WorkerLeaving(worker_id="w0")])
    assert scheduler.tick(now=0.1, events=[submitted("j1"), arrived("r1")]) == []


def test_adopted_attempt_holds_its_reservation():
    scheduler = build()
    adopted = events.TaskAdopted(
        task_id="j1/3",
        job=submitted("j1").job,
        worker_id="w0",
        attempts=3,
        evictions=1,
        progress_s=5.0,
        started_at=-3.0,
    )
    scheduler.tick(now=0.0, events=[adopted])
    assert scheduler.room(now=0.0).free_slots == 1
    again = scheduler.tick(now=0.1, events=[events.TaskLost(task_id="j1/3")])
    assert again[0].task_id == "j1/4"


def test_waiting_job_is_placed_once_requests_free_capacity():
    scheduler = build()
    arrivals = [arrived("r1"), arrived("r2")]
    scheduler.tick(now=0.0, events=arrivals)
    scheduler.tick(now=0.1, events=[submitted("j1")])
    answered = [
        events.RequestAnswered(request_id=f"r{number}", worker_id="w0", service_s=0.5)
        for number in (1, 2)
    ]
    decided = scheduler.tick(now=0.55, events=answered)
    for step in range(1, 400):
        decided += scheduler.tick(now=0.55 + step / 10, events=[])
    assert "StartTask" in kinds(decided)


def test_failed_start_is_tried_again_on_the_only_worker():
    scheduler = build()
    scheduler.tick(now=0.0, events=[submitted("j1")])
    failed = events.TaskStartFailed(task_id="j1/1", reason="failed")
    assert scheduler.tick(now=0.05, events=[failed]) == []
    again = scheduler.tick(now=1.0, events=[])
    assert again[0].task_id == "j1/2"


def test_explain_says_where_jobs_and_requests_are():
    scheduler = build()
    huge = resources.Resources(slots=3, connections=1)
    due = [submitted(f"j{number}") for number in range(3)]
    scheduler.tick(now=0.0, events=[*due, submitted("huge", huge), arrived("r1")])
    assert "sent to w0" in scheduler.explain(subject_id="r1")
    assert "on w0" in scheduler.explain(subject_id="j0")
    assert "waits in the short lane" in scheduler.explain(subject_id="j1")
    assert "parked" in scheduler.explain(subject_id="huge")
    assert scheduler.explain(subject_id="other") == ""
