import pytest
from ebonyhatch.core import resources
from ebonyhatch.ports import worker_engine, workers
from twisted.internet import task

CAPACITY = resources.Resources(slots=2, connections=4, cores=1.0, memory_gb=4.0)


@pytest.fixture
def clock():
    return task.Clock()


@pytest.fixture
def engine(clock):
    return worker_engine.WorkerEngine(clock=clock, worker_id="w1", capacity=CAPACITY)


def order(task_id="j1/1", *, cores=0.1, payload=b"", lease_s=10.0, checkpoint=""):
    demand = resources.Resources(slots=1, cores=cores)
    return workers.TaskOrder(
        task_id=task_id,
        job_id=task_id.split("/")[0],
        work_class="batch",
        demand=demand,
        lease_s=lease_s,
        payload=payload,
        checkpoint=checkpoint,
    )


def request(request_id="r1", **headers):
    return workers.ServiceRequest(
        request_id=request_id,
        service="orders",
        method="POST",
        path="quote",
        headers=tuple(
            workers.Header(name=name.replace("_", "-"), value=value)
            for name, value in headers.items()
        ),
        body=b"frames",
        timeout_s=1.0,
    )


def states(engine):
    return {report.task_id: report.state.value for report in engine.report().tasks}


def test_ended_task_is_listed_until_acknowledged_and_is_never_run_again(clock, engine):
    engine.start_task(epoch=1, order=order(payload=b'{"run_s": 3}'))
    engine.start_task(epoch=1, order=order(payload=b'{"run_s": 3}'))
    clock.advance(3)
    assert states(engine) == {"j1/1": "finished"}
    assert engine.renew(epoch=1, lease_s=5, acknowledged=("j1/1",)).tasks == ()
    with pytest.raises(workers.NotRunError):
        engine.start_task(epoch=1, order=order())
    assert [run.subject_id for run in engine.task_starts] == ["j1/1"]


def test_lease_that_is_not_renewed_ends_the_task(clock, engine):
    engine.start_task(epoch=1, order=order("a/1", payload=b'{"run_s": 60}'))
    clock.advance(9)
    engine.renew(epoch=1, lease_s=4)
    clock.advance(3)
    assert states(engine) == {"a/1": "running"}
    clock.advance(1)
    assert states(engine) == {"a/1": "stopped"}
    assert engine.running_task_ids == ()


def test_older_epoch_is_refused_by_every_call(engine):
    engine.claim(epoch=5)
    calls = [
        lambda: engine.claim(epoch=4),
        lambda: engine.start_task(epoch=4, order=order()),
        lambda: engine.renew(epoch=4, lease_s=1),
        lambda: engine.checkpoint(epoch=4, task_id="x"),
        lambda: engine.throttle(epoch=4, task_id="x", share=1),
        lambda: engine.stop_task(epoch=4, task_id="x"),
        lambda: engine.serve(epoch=4, request=request()),
    ]
    for call in calls:
        with pytest.raises(workers.StaleEpochError):
            call()
    assert engine.task_starts == engine.request_starts == ()


def test_checkpoint_saves_whole_steps_and_a_resumed_task_does_the_remaining_work(clock, engine):
    payload = b'{"run_s": 10, "checkpoint_every_s": 2}'
    engine.start_task(epoch=1, order=order("a/1", payload=payload))
    clock.advance(5)
    saved = engine.checkpoint(epoch=1, task_id="a/1")
    assert saved.progress_s == 4.0
    engine.stop_task(epoch=1, task_id="a/1")
    engine.start_task(epoch=1, order=order("a/2", payload=payload, checkpoint=saved.checkpoint))
    clock.advance(5.9)
    assert states(engine)["a/2"] == "running"
    clock.advance(0.2)
    assert states(engine)["a/2"] == "finished"


def test_throttle_slows_the_work(clock, engine):
    engine.start_task(epoch=1, order=order("a/1", payload=b'{"run_s": 4}'))
    clock.advance(2)
    engine.throttle(epoch=1, task_id="a/1", share=0.5)
    clock.advance(3.9)
    assert states(engine)["a/1"] == "running"
    clock.advance(0.2)
    assert states(engine)["a/1"] == "finished"


def test_nothing_beyond_the_capacity_is_accepted(clock, engine):
    engine.start_task(epoch=1, order=order("a/1", cores=0.7))
    with pytest.raises(workers.NotRunError, match="fit"):
        engine.start_task(epoch=1, order=order("b/1", cores=0.4))
    served = engine.serve(epoch=1, request=request(X_Work_S="2", X_Work_Status="503"))
    with pytest.raises(workers.NotRunError):
        engine.serve(epoch=1, request=request("r2"))
    clock.advance(2)
    assert served.result.status == 503
    assert served.result.body == b"frames"
    assert engine.highest_use.slots == 2
    assert engine.highest_use.cores == 0.7
    assert [run.subject_id for run in engine.request_starts] == ["r1"]


def test_stop_that_arrives_before_its_start_prevents_it(engine):
    engine.stop_task(epoch=1, task_id="a/1")
    with pytest.raises(workers.NotRunError):
        engine.start_task(epoch=1, order=order("a/1"))


@pytest.mark.parametrize("payload", [b"", b"{", b"[]", b'{"run_s": -1}', b'{"run_s": 1e999}'])
def test_bad_payload_runs_for_one_second(clock, engine, payload):
    engine.start_task(epoch=1, order=order("a/1", payload=payload))
    clock.advance(0.9)
    assert states(engine)["a/1"] == "running"
    clock.advance(0.2)
    assert states(engine)["a/1"] == "finished"
