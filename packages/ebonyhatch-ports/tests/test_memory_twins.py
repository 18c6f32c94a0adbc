"""The contracts of the ports, run on the in-memory adapters with a fake clock."""

import pytest
from ebonyhatch.ports import fault_switches, memory_instances, memory_store, memory_workers
from ebonyhatch.ports import workers as workers_port
from ebonyhatch.testing.contracts import (
    instances_contract,
    rigs,
    store_contract,
    workers_contract,
)
from twisted.internet import task

TIMEOUT_S = 0.5


class _MemoryRig:
    """Base of the rigs: an in-memory adapter on a fake clock."""

    def __init__(self):
        self.clock = task.Clock()
        self.rig = rigs.ClockRig(clock=self.clock)

    def set_faults(self, **switches):
        self.faults.replace(fault_switches.Faults(**switches))


class MemoryStoreRig(_MemoryRig, store_contract.StoreRig):
    def __init__(self):
        super().__init__()
        self.port = memory_store.MemoryStore(clock=self.clock, timeout_s=TIMEOUT_S)
        self.engine = self.port.engine
        self.faults = self.port.faults

    def later(self, seconds, call):
        self.clock.callLater(seconds, call)


class MemoryWorkersRig(_MemoryRig, workers_contract.WorkersRig):
    def __init__(self):
        super().__init__()
        self.port = memory_workers.MemoryWorkers(clock=self.clock, timeout_s=TIMEOUT_S)
        self.engine = self.port.add(worker_id="w1", capacity=workers_contract.CAPACITY)
        self.faults = self.port.faults("w1")
        self.address = workers_port.Address(worker_id="w1", host="127.0.0.1", port=1)


class MemoryInstancesRig(_MemoryRig, instances_contract.InstancesRig):
    def __init__(self):
        super().__init__()
        self.port = memory_instances.MemoryInstances(clock=self.clock, timeout_s=TIMEOUT_S)
        self.directory = self.port.directory
        self.faults = self.port.faults


class TestStore(store_contract.StoreContract):
    @pytest.fixture
    def under_test(self):
        return MemoryStoreRig()


class TestWorkers(workers_contract.WorkersContract):
    @pytest.fixture
    def under_test(self):
        return MemoryWorkersRig()


class TestInstances(instances_contract.InstancesContract):
    @pytest.fixture
    def under_test(self):
        return MemoryInstancesRig()
