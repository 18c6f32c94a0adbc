"""For any calls to a worker: limits hold, attempts run once, older epochs have no effect."""

import collections

from ebonyhatch.core import resources
from ebonyhatch.ports import worker_engine, workers
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from twisted.internet import task

CAPACITY = resources.Resources(slots=3, connections=3, cores=1.0, memory_gb=2.0, accelerators=1)
TASK_IDS = st.sampled_from([f"j{n}/1" for n in range(6)])
AMOUNTS = st.builds(
    resources.Resources,
    slots=st.integers(-1, 2),
    connections=st.integers(0, 1),
    cores=st.sampled_from([0.0, 0.1, 0.3, 0.7, float("nan")]),
    memory_gb=st.sampled_from([0.0, 0.5, 1.5]),
    accelerators=st.integers(0, 1),
)
EPOCHS = st.integers(0, 4)


class WorkerMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.clock = task.Clock()
        self.engine = worker_engine.WorkerEngine(
            clock=self.clock, worker_id="w1", capacity=CAPACITY
        )
        self.newest = 0
        self.held = {}
        self.lease_ends = {}

    def call(self, epoch, act):
        """Make a call; an older epoch is refused and a newer one is in force."""
        older = epoch < self.newest
        self.newest = max(self.newest, epoch)
        try:
            return act()
        except workers.StaleEpochError:
            assert older
        except workers.NotRunError:
            assert not older
        return None

    @rule(epoch=EPOCHS, task_id=TASK_IDS, demand=AMOUNTS, run_s=st.sampled_from([0, 1, 9]))
    def start(self, epoch, task_id, demand, run_s):
        order = workers.TaskOrder(
            task_id=task_id,
            job_id="j",
            work_class="c",
            demand=demand,
            lease_s=5.0,
            payload=b'{"run_s": %d}' % run_s,
        )
        before = len(self.engine.task_starts)
        self.call(epoch, lambda: self.engine.start_task(epoch=epoch, order=order))
        if len(self.engine.task_starts) > before:
            self.held[task_id] = demand
            self.lease_ends[task_id] = self.clock.seconds() + 5.0

    @rule(epoch=EPOCHS, acknowledged=st.lists(TASK_IDS, max_size=3))
    def renew(self, epoch, acknowledged):
        def act():
            running = self.engine.running_task_ids
            self.engine.renew(epoch=epoch, lease_s=5.0, acknowledged=tuple(acknowledged))
            for task_id in running:
                self.lease_ends[task_id] = self.clock.seconds() + 5.0

        self.call(epoch, act)

    @rule(epoch=EPOCHS, task_id=TASK_IDS)
    def stop(self, epoch, task_id):
        self.call(epoch, lambda: self.engine.stop_task(epoch=epoch, task_id=task_id))

    @rule(epoch=EPOCHS, task_id=TASK_IDS, share=st.sampled_from([0.0, 0.5, 1.0, 2.0]))
    def throttle(self, epoch, task_id, share):
        self.call(epoch, lambda: self.engine.throttle(epoch=epoch, task_id=task_id, share=share))

    @rule(epoch=EPOCHS, work_s=st.sampled_from(["0", "2", "x"]))
    def serve(self, epoch, work_s):
        request = workers.ServiceRequest(
            request_id="r",
            service="s",
            method="GET",
            path="",
            headers=(workers.Header(name="X-Work-S", value=work_s),),
            body=b"",
            timeout_s=1.0,
        )
        self.call(epoch, lambda: self.engine.serve(epoch=epoch, request=request))

    @rule(seconds=st.sampled_from([0.5, 2.0, 6.0]))
    def pass_time(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def limits_hold(self):
        running = self.engine.running_task_ids
        total = sum((self.held[task_id] for task_id in running), resources.NONE)
        assert total.slots <= CAPACITY.slots
        assert total.cores <= CAPACITY.cores + 1e-9
        assert total.memory_gb <= CAPACITY.memory_gb
        assert total.accelerators <= CAPACITY.accelerators
        assert self.engine.highest_use.fits(CAPACITY)

    @invariant()
    def each_attempt_starts_once_and_ends_with_its_lease(self):
        starts = collections.Counter(run.subject_id for run in self.engine.task_starts)
        assert all(count == 1 for count in starts.values())
        for task_id in self.engine.running_task_ids:
            assert self.lease_ends[task_id] > self.clock.seconds()


WorkerMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=30
)
TestWorkerMachine = WorkerMachine.TestCase
