"""The contracts of the ports, run with the HTTP adapters against stand-ins on loopback."""

import json
import signal
import subprocess
import sys

import pytest
import treq
from ebonyhatch.ports import (
    connection_pool,
    fault_switches,
    http_instances,
    http_store,
    http_workers,
    instances,
    store,
)
from ebonyhatch.testing import real_reactor
from ebonyhatch.testing.contracts import (
    instances_contract,
    rigs,
    store_contract,
    workers_contract,
)
from ebonyhatch.testing.stand_ins import instances as instances_stand_in
from ebonyhatch.testing.stand_ins import store as store_stand_in
from ebonyhatch.testing.stand_ins import worker as worker_stand_in
from twisted.internet import error

REACTOR = real_reactor.reactor
TIMEOUT_S = 0.5


class _HttpRig:
    """A stand-in and the HTTP adapter that calls it."""

    def __init__(self, stand_in, build):
        self.rig = rigs.ReactorRig()
        self.stand_in = stand_in
        self.rig.run(stand_in.start)
        self.adapter = build(stand_in.server.port)
        self.rig.run(self.adapter.start)

    def set_faults(self, **switches):
        def change():
            self.stand_in.server.faults.replace(fault_switches.Faults(**switches))
            self.stand_in.server.apply_faults()

        self.rig.run(change)

    def close(self):
        self.rig.run(self.adapter.close)
        self.rig.run(self.stand_in.close)
        real_reactor.clean()


class HttpStoreRig(_HttpRig, store_contract.StoreRig):
    def __init__(self):
        super().__init__(
            store_stand_in.StoreStandIn(reactor=REACTOR),
            lambda port: http_store.HttpStore(
                reactor=REACTOR, host="127.0.0.1", port=port, timeout_s=TIMEOUT_S
            ),
        )
        self.port = self.adapter
        self.engine = self.stand_in.engine

    def later(self, seconds, call):
        REACTOR.callLater(seconds, call)


class HttpWorkersRig(_HttpRig, workers_contract.WorkersRig):
    def __init__(self):
        super().__init__(
            worker_stand_in.WorkerStandIn(
                reactor=REACTOR, worker_id="w1", capacity=workers_contract.CAPACITY
            ),
            lambda port: http_workers.HttpWorkers(reactor=REACTOR, timeout_s=TIMEOUT_S),
        )
        self.port = self.adapter
        self.engine = self.stand_in.engine
        self.address = self.stand_in.address


class HttpInstancesRig(_HttpRig, instances_contract.InstancesRig):
    def __init__(self):
        super().__init__(
            instances_stand_in.InstancesStandIn(reactor=REACTOR),
            lambda port: http_instances.HttpInstances(
                reactor=REACTOR, host="127.0.0.1", port=port, timeout_s=TIMEOUT_S
            ),
        )
        self.port = self.adapter
        self.directory = self.stand_in.directory


class TestStore(store_contract.StoreContract):
    @pytest.fixture
    def under_test(self):
        rig = HttpStoreRig()
        yield rig
        rig.close()


class TestWorkers(workers_contract.WorkersContract):
    @pytest.fixture
    def under_test(self):
        rig = HttpWorkersRig()
        yield rig
        rig.close()


class TestInstances(instances_contract.InstancesContract):
    @pytest.fixture
    def under_test(self):
        rig = HttpInstancesRig()
        yield rig
        rig.close()


class TestFaultsOverHttp:
    @pytest.fixture
    def under_test(self):
        rig = HttpStoreRig()
        yield rig
        rig.close()

    def ask(self, rig, method, path, body=None, *, port=None):
        url = f"http://127.0.0.1:{port or rig.stand_in.server.port}{path}"

        def call():
            request_made = treq.request(method, url, data=body, persistent=False)
            return request_made.addCallback(treq.json_content)

        return rig.rig.run(call)

    def test_faults_are_set_and_cleared_also_while_down(self, under_test):
        switches = self.ask(under_test, "PUT", "/faults", b'{"down": true}')
        assert switches["down"] is True
        with pytest.raises(error.ConnectError):
            self.ask(under_test, "GET", "/faults")
        second = under_test.stand_in.server.faults_port
        assert self.ask(under_test, "PUT", "/faults", b"{}", port=second)["down"] is False
        assert under_test.get().version == 0
        assert self.ask(under_test, "GET", "/counts") == {"get": 1}

    def test_open_connections_go_silent_and_new_ones_work(self, under_test, monkeypatch):
        monkeypatch.setattr(connection_pool, "PROBE_IDLE_S", 0.0)
        under_test.get()
        under_test.set_faults(silent_connections=True)
        version = under_test.swap(b"1", expected=0).unwrap()
        assert under_test.get().version == version
        assert under_test.port.calls.pool.dropped == 1

    def test_waiting_call_on_a_silent_connection_is_unknown(self, under_test):
        def watch_then_silence():
            watching = under_test.port.watch(key="k", after_version=0, wait_s=0.2)
            REACTOR.callLater(0.1, lambda: under_test.stand_in.server.silence())
            return watching

        outcome = under_test.rig.run(watch_then_silence)
        assert isinstance(outcome.failure(), store.UnknownError)


@pytest.mark.parametrize(
    ("name", "options"),
    [
        ("store", []),
        ("worker", ["--worker-id", "w1", "--slots", "2"]),
        ("instances", ["--instance", "INSTANCE"]),
    ],
)
def test_process_says_where_it_listens_and_ends_on_sigterm(name, options):
    row = instances_contract.instance("w1")
    encoded = json.dumps(
        {field: getattr(row, field) for field in instances.Instance.__struct_fields__}
    )
    options = [encoded if option == "INSTANCE" else option for option in options]
    command = [sys.executable, "-m", f"ebonyhatch.testing.stand_ins.{name}", *options]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    try:
        assert json.loads(process.stdout.readline())["listening"] > 0
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=20) == 0
    finally:
        process.kill()
        process.stdout.close()
