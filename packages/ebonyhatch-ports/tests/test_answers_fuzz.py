"""Responses of the platform with arbitrary content cause only typed errors and no hang."""

import gc
import json

import pytest
from ebonyhatch.ports import (
    http_instances,
    http_store,
    http_workers,
    instances,
    store,
    workers,
)
from ebonyhatch.testing import real_reactor, scripted_server
from hypothesis import given, settings
from hypothesis import strategies as st
from returns import result
from twisted import logger

REACTOR = real_reactor.reactor
SLOTS = {"slots": 8, "connections": 64, "cores": 32.0, "memory_gb": 125.0, "accelerators": 0}
TASK = {"task_id": "a/1", "job_id": "a", "state": "running", "run_s": 1.0, "usage": SLOTS}
VALID = {
    "get": {"key": "k", "value": "AAEC", "version": 3},
    "swap": {"version": 3},
    "grant": {"lease_id": "l", "ttl_s": 3.0},
    "revoke": {"done": True},
    "list": {
        "instances": [
            {
                "instance_id": "w1",
                "role": "worker",
                "state": "live",
                "host": "127.0.0.1",
                "port": 1,
                "region": "r",
                "failure_domain": "d",
                "rack": "k",
            }
        ],
        "age_s": 0.5,
    },
    "claim": {
        "worker_id": "w1",
        "capacity": SLOTS,
        "usage": SLOTS,
        "sample_age_s": 1.0,
        "leaving": False,
        "epoch": 1,
        "tasks": [TASK],
    },
    "checkpoint": {"task_id": "a/1", "checkpoint": "x", "progress_s": 1.0},
    "forward": {"any": "body"},
}
ERRORS = {
    "get": store.StoreError,
    "swap": store.StoreError,
    "grant": store.StoreError,
    "revoke": store.StoreError,
    "list": instances.InstancesError,
    "claim": workers.WorkerError,
    "checkpoint": workers.WorkerError,
    "forward": workers.WorkerError,
}
STATUSES = st.sampled_from([200, 204, 301, 400, 404, 409, 413, 429, 500, 503, 599])
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([2**63, 2**64, -(2**70), 10**400, 1e308, -1.0, 0])
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8)
)
JSON = st.recursive(
    SCALARS, lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner)
)
FUZZ = settings(derandomize=True, deadline=None, max_examples=40)


class Platform:
    """The three HTTP adapters, with one server that sends scripted responses."""

    def __init__(self):
        self.server = scripted_server.ScriptedServer(reactor=REACTOR, script=lambda *_: b"")
        real_reactor.run(self.server.start)
        endpoint = {"reactor": REACTOR, "host": "127.0.0.1", "port": self.server.port}
        self.store = http_store.HttpStore(**endpoint)
        self.instances = http_instances.HttpInstances(**endpoint)
        self.workers = http_workers.HttpWorkers(reactor=REACTOR)
        self.target = {
            "address": workers.Address(worker_id="w1", host="127.0.0.1", port=self.server.port),
            "epoch": 1,
        }

    def call(self, name, script):
        self.server.script = lambda _, request: script(request)
        request = workers.ServiceRequest(
            request_id="r1",
            service="s",
            method="GET",
            path="p",
            headers=(),
            body=b"",
            timeout_s=2.0,
        )
        calls = {
            "get": lambda: self.store.get(key="k"),
            "swap": lambda: self.store.swap(key="k", expected_version=1, value=b"v"),
            "grant": lambda: self.store.grant(ttl_s=1.0),
            "revoke": lambda: self.store.revoke(lease_id="l"),
            "list": self.instances.list,
            "claim": lambda: self.workers.claim(**self.target),
            "checkpoint": lambda: self.workers.checkpoint(task_id="a/1", **self.target),
            "forward": lambda: self.workers.forward(request=request, **self.target),
        }
        outcome = real_reactor.run(calls[name])
        real_reactor.turn()
        if isinstance(outcome, result.Failure):
            assert isinstance(outcome.failure(), ERRORS[name])
        return outcome

    def close(self):
        for port in (self.store, self.instances, self.workers):
            real_reactor.run(port.close)
        real_reactor.run(self.server.close)
        real_reactor.clean()


@pytest.fixture(scope="module")
def platform():
    logged = []

    def record(event):
        logged.append(event.get("log_failure"))

    logger.globalLogPublisher.addObserver(record)
    built = Platform()
    yield built
    built.close()
    gc.collect()
    logger.globalLogPublisher.removeObserver(record)
    assert [failure for failure in logged if failure is not None] == []


@pytest.mark.parametrize("name", VALID)
def test_valid_answer_is_decoded(platform, name):
    body = json.dumps(VALID[name]).encode()
    outcome = platform.call(name, lambda request: scripted_server.answer(request, body))
    assert isinstance(outcome, result.Success)


@pytest.mark.parametrize("name", VALID)
def test_any_bytes(platform, name):
    @FUZZ
    @given(st.binary(max_size=200), st.booleans())
    def check(sent, headed):
        head = b"HTTP/1.1 200 X\r\nEbonyhatch-Request-Id: r1\r\n" if headed else b""
        platform.call(name, lambda request: head + sent)

    check()


@pytest.mark.parametrize("name", VALID)
def test_any_json_with_any_status(platform, name):
    @FUZZ
    @given(JSON, STATUSES)
    def check(value, status):
        body = json.dumps(value).encode()
        platform.call(name, lambda request: scripted_server.answer(request, body, status=status))

    check()


@pytest.mark.parametrize("name", [name for name in VALID if name != "forward"])
def test_valid_answer_with_one_value_changed(platform, name):
    @FUZZ
    @given(st.data())
    def check(data):
        value = json.loads(json.dumps(VALID[name]))
        place = value
        while True:
            keys = sorted(place) if isinstance(place, dict) else list(range(len(place)))
            key = data.draw(st.sampled_from(keys))
            if not isinstance(place[key], dict | list) or not place[key]:
                break
            place = place[key]
        place[key] = data.draw(JSON)
        body = json.dumps(value).encode()
        outcome = platform.call(name, lambda request: scripted_server.answer(request, body))
        if isinstance(outcome, result.Success):
            assert_in_range(outcome.unwrap())

    check()


def assert_in_range(value):
    """Asserts that accepted numbers are finite and not negative, and integers below 2**63."""
    for name in getattr(value, "__struct_fields__", ()):
        assert_in_range(getattr(value, name))
    if isinstance(value, tuple):
        for item in value:
            assert_in_range(item)
    if isinstance(value, int | float):
        assert 0 <= value < 2**1024
        assert isinstance(value, float) or value < 2**63


@pytest.mark.parametrize("name", VALID)
@pytest.mark.parametrize(
    "body",
    [b"[" * 100_000, b'{"version":' + b"9" * 5000 + b"}", b'{"version":1e999}', b"", b"\xff", b"{"],
    ids=["deep", "long-number", "huge-number", "empty", "no-text", "cut"],
)
def test_hostile_bodies(platform, name, body):
    outcome = platform.call(name, lambda request: scripted_server.answer(request, body))
    assert name == "forward" or isinstance(outcome, result.Failure)
