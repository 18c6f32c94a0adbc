"""The contract of every port to workers."""

from __future__ import annotations

import abc
from typing import Any

import pytest
from ebonyhatch.core import resources
from ebonyhatch.ports import worker_engine, workers
from ebonyhatch.testing.contracts import rigs
from returns import result
from twisted.internet import defer

CAPACITY = resources.Resources(slots=4, connections=16, cores=4.0, memory_gb=8.0, accelerators=1)
"""Capacity of the worker under test."""


class WorkersRig(abc.ABC):
    """A port under test with one worker at epoch 1, its engine and its faults."""

    rig: rigs.Rig
    port: workers.Workers
    engine: worker_engine.WorkerEngine
    address: workers.Address

    @abc.abstractmethod
    def set_faults(self, **switches: Any) -> None:
        """Turns these faults on and all others off."""

    def call(self, name: str, *, epoch: int = 1, **arguments: Any) -> Any:
        """Calls a method of the port and returns the result."""
        method = getattr(self.port, name)
        return self.rig.run(lambda: method(address=self.address, epoch=epoch, **arguments))

    def states(self) -> dict[str, str]:
        """Reads the state of every attempt."""
        return _states(self.call("claim"))

    def until_state(self, task_id: str, state: str) -> None:
        """Waits until an attempt is in a state."""
        self.rig.until(
            lambda: self.port.claim(address=self.address, epoch=1),
            lambda outcome: _states(outcome).get(task_id) == state,
        )


def _states(outcome: Any) -> dict[str, str]:
    return {task.task_id: task.state.value for task in outcome.unwrap().tasks}


def order(task_id: str, **changes: Any) -> workers.TaskOrder:
    """Builds an order of an attempt that runs for a long time."""
    fields: dict[str, Any] = {
        "task_id": task_id,
        "job_id": task_id.partition("/")[0],
        "work_class": "batch",
        "demand": resources.Resources(slots=1, cores=1.0),
        "lease_s": 20.0,
        "payload": b'{"run_s": 100}',
    }
    return workers.TaskOrder(**{**fields, **changes})


def request(request_id: str, *, work_s: float = 0.0, **changes: Any) -> workers.ServiceRequest:
    """Builds a request that takes `work_s` seconds."""
    fields: dict[str, Any] = {
        "request_id": request_id,
        "service": "orders",
        "method": "POST",
        "path": "quotes/7?frames=2",
        "headers": (workers.Header(name="X-Work-S", value=str(work_s)),),
        "body": f"body of {request_id}".encode(),
        "timeout_s": 5.0,
    }
    return workers.ServiceRequest(**{**fields, **changes})


class WorkersContract:
    """Subclasses provide the fixture `under_test`, a `WorkersRig`."""

    def test_claim_reports_everything(self, under_test: WorkersRig) -> None:
        """The report of a claim has the capacity, the epoch and the running attempts."""
        under_test.call("start_task", order=order("a/1")).unwrap()
        report = under_test.call("claim", epoch=3).unwrap()
        assert (report.worker_id, report.capacity, report.epoch) == ("w1", CAPACITY, 3)
        assert [task.task_id for task in report.tasks] == ["a/1"]

    def test_older_epoch_is_refused(self, under_test: WorkersRig) -> None:
        """Every call of a superseded owner is refused without effect."""
        under_test.call("claim", epoch=5).unwrap()
        calls: dict[str, dict[str, Any]] = {
            "claim": {},
            "start_task": {"order": order("a/1")},
            "renew": {"lease_s": 1.0},
            "checkpoint": {"task_id": "a/1"},
            "throttle": {"task_id": "a/1", "share": 1.0},
            "stop_task": {"task_id": "a/1"},
            "forward": {"request": request("r1")},
        }
        for name, arguments in calls.items():
            error = under_test.call(name, epoch=4, **arguments).failure()
            assert isinstance(error, workers.StaleEpochError)
            assert (error.epoch, error.newest_epoch) == (4, 5)
        assert under_test.engine.task_starts == under_test.engine.request_starts == ()

    def test_task_runs_once_and_is_listed_until_acknowledged(self, under_test: WorkersRig) -> None:
        """A repeated start changes nothing; an ended attempt stays until acknowledged."""
        quick = order("a/1", payload=b'{"run_s": 0.2}')
        for _ in range(2):
            assert under_test.call("start_task", order=quick) == result.Success(None)
        under_test.until_state("a/1", "finished")
        report = under_test.call("renew", lease_s=20.0, acknowledged=("a/1",)).unwrap()
        assert report.tasks == ()
        assert isinstance(under_test.call("start_task", order=quick).failure(), workers.NotRunError)
        assert [run.subject_id for run in under_test.engine.task_starts] == ["a/1"]

    def test_lease_runs_out_unless_renewed(self, under_test: WorkersRig) -> None:
        """An attempt is stopped when its lease expires."""
        payload = b'{"run_s": 100}'
        under_test.call("start_task", order=order("a/1", lease_s=0.3, payload=payload)).unwrap()
        under_test.call("renew", lease_s=0.4).unwrap()
        under_test.until_state("a/1", "stopped")

    def test_failed_task(self, under_test: WorkersRig) -> None:
        """The report of a failed attempt has a reason."""
        payload = b'{"run_s": 0, "fail": true}'
        under_test.call("start_task", order=order("a/1", payload=payload)).unwrap()
        under_test.until_state("a/1", "failed")
        assert under_test.call("claim").unwrap().tasks[0].reason

    def test_checkpoint_throttle_and_stop(self, under_test: WorkersRig) -> None:
        """An attempt can be throttled, saved, stopped and resumed from its checkpoint."""
        payload = b'{"run_s": 50}'
        under_test.call("start_task", order=order("a/1", payload=payload)).unwrap()
        under_test.call("throttle", task_id="a/1", share=0.5).unwrap()
        under_test.rig.pause(0.1)
        saved = under_test.call("checkpoint", task_id="a/1").unwrap()
        assert saved.task_id == "a/1"
        assert saved.progress_s > 0
        for _ in range(2):
            assert under_test.call("stop_task", task_id="a/1") == result.Success(None)
        resumed = order("a/2", payload=payload, checkpoint=saved.checkpoint)
        under_test.call("start_task", order=resumed).unwrap()
        tasks = {task.task_id: task for task in under_test.call("claim").unwrap().tasks}
        assert tasks["a/1"].state is workers.TaskState.STOPPED
        assert tasks["a/2"].progress_s == saved.progress_s

    def test_stopped_before_its_start(self, under_test: WorkersRig) -> None:
        """A start that arrives after its stop is refused."""
        under_test.call("stop_task", task_id="a/1").unwrap()
        error = under_test.call("start_task", order=order("a/1")).failure()
        assert isinstance(error, workers.NotRunError)

    def test_calls_on_unknown_tasks_and_bad_values_are_not_run(
        self, under_test: WorkersRig
    ) -> None:
        """Invalid calls are refused without effect."""
        under_test.call("start_task", order=order("a/1")).unwrap()
        for name, arguments in (
            ("checkpoint", {"task_id": "b/1"}),
            ("throttle", {"task_id": "b/1", "share": 0.5}),
            ("throttle", {"task_id": "a/1", "share": 2.0}),
            ("throttle", {"task_id": "a/1", "share": float("nan")}),
            ("renew", {"lease_s": 0.0}),
            ("start_task", {"order": order("c/1", lease_s=float("inf"))}),
        ):
            assert isinstance(under_test.call(name, **arguments).failure(), workers.NotRunError)
        assert under_test.states() == {"a/1": "running"}

    @pytest.mark.parametrize("kind", ["slots", "connections", "cores", "memory_gb", "accelerators"])
    def test_nothing_beyond_any_capacity(self, under_test: WorkersRig, kind: str) -> None:
        """Each kind of capacity is a hard limit."""
        whole = resources.Resources(**{kind: getattr(CAPACITY, kind)})
        one = resources.Resources(**{kind: 1})
        under_test.call("start_task", order=order("a/1", demand=whole)).unwrap()
        error = under_test.call("start_task", order=order("b/1", demand=one)).failure()
        assert isinstance(error, workers.NotRunError)
        assert under_test.engine.highest_use.fits(CAPACITY)

    def test_answers_match_their_requests(self, under_test: WorkersRig) -> None:
        """Responses that arrive out of order reach the callers of their requests."""

        def forward_all() -> Any:
            return defer.gatherResults(
                under_test.port.forward(
                    address=under_test.address, epoch=1, request=request(f"r{n}", work_s=work_s)
                )
                for n, work_s in enumerate([0.3, 0.0, 0.2, 0.1])
            )

        for n, outcome in enumerate(under_test.rig.run(forward_all)):
            response = outcome.unwrap()
            assert (response.request_id, response.status) == (f"r{n}", 200)
            assert response.body == f"body of r{n}".encode()
        assert under_test.engine.highest_use.slots == 4

    def test_request_without_free_capacity_is_not_run(self, under_test: WorkersRig) -> None:
        """A worker without a free slot refuses, which is distinct from a response of the service."""
        full = resources.Resources(slots=CAPACITY.slots)
        under_test.call("start_task", order=order("a/1", demand=full)).unwrap()
        error = under_test.call("forward", request=request("r1")).failure()
        assert isinstance(error, workers.NotRunError)
        assert under_test.engine.request_starts == ()

    def test_status_of_the_service_is_passed_on(self, under_test: WorkersRig) -> None:
        """An error status of the service is a regular response."""
        headers = (workers.Header(name="X-Work-Status", value="503"),)
        response = under_test.call("forward", request=request("r1", headers=headers)).unwrap()
        assert (response.status, response.body) == (503, b"body of r1")

    def test_path_that_leaves_the_service_is_not_run(self, under_test: WorkersRig) -> None:
        """Paths with dot segments are refused, since they could reach the worker's own API."""
        for path in ("../v1/claim", "a/%2e%2E/b", "./x"):
            error = under_test.call("forward", request=request("r1", path=path)).failure()
            assert isinstance(error, workers.NotRunError)
        assert under_test.engine.request_starts == ()

    def test_headers_of_one_hop_do_not_reach_the_service(self, under_test: WorkersRig) -> None:
        """Headers that the Connection header names are dropped."""
        lines = (
            workers.Header(name="connection", value="x-work-status"),
            workers.Header(name="X-Work-Status", value="500"),
        )
        response = under_test.call("forward", request=request("r1", headers=lines)).unwrap()
        assert response.status == 200

    def test_late_answer_is_unknown(self, under_test: WorkersRig) -> None:
        """A request that takes longer than its timeout may have run; it ran once."""
        late = request("r1", work_s=5.0, timeout_s=0.2)
        error = under_test.call("forward", request=late).failure()
        assert isinstance(error, workers.OutcomeUnknownError)
        assert [run.subject_id for run in under_test.engine.request_starts] == ["r1"]

    @pytest.mark.parametrize("fault", ["lose_answers", "cut_answers"])
    def test_lost_answer_is_unknown(self, under_test: WorkersRig, fault: str) -> None:
        """Calls whose responses are lost have an unknown outcome and took effect once."""
        under_test.set_faults(**{fault: True})
        started = under_test.call("start_task", order=order("a/1")).failure()
        answered = under_test.call("forward", request=request("r1", timeout_s=0.5)).failure()
        assert isinstance(started, workers.OutcomeUnknownError)
        assert isinstance(answered, workers.OutcomeUnknownError)
        under_test.set_faults()
        assert under_test.states() == {"a/1": "running"}
        assert [run.subject_id for run in under_test.engine.request_starts] == ["r1"]

    def test_not_run_while_down(self, under_test: WorkersRig) -> None:
        """A worker that is down runs nothing, and calls fail as not run."""
        under_test.set_faults(down=True)
        under_test.rig.until(
            lambda: under_test.port.forward(
                address=under_test.address, epoch=1, request=request("r1")
            ),
            lambda outcome: isinstance(outcome.failure(), workers.NotRunError),
        )
        assert under_test.engine.request_starts == ()

    def test_worker_that_fails_all_it_starts(self, under_test: WorkersRig) -> None:
        """With the fault `fail_tasks` starts succeed and the attempts fail."""
        under_test.set_faults(fail_tasks=True)
        under_test.call("start_task", order=order("a/1")).unwrap()
        under_test.until_state("a/1", "failed")

    def test_leaving(self, under_test: WorkersRig) -> None:
        """A leaving worker reports that it leaves, and may refuse new work."""
        under_test.engine.leave()
        assert under_test.call("claim").unwrap().leaving
        under_test.call("start_task", order=order("a/1")).unwrap()
        under_test.engine.leave(refuses=True)
        error = under_test.call("start_task", order=order("b/1")).failure()
        assert isinstance(error, workers.NotRunError)
