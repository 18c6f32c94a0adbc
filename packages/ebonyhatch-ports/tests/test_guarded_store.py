import collections
import random

import pytest
from ebonyhatch.ports import guarded_store, memory_store, store, store_engine
from returns import result
from twisted.internet import task

CLIENTS = 6
STEP_S = 0.02
NOT_SENT = {guarded_store.CallOutcome.OVER_LIMIT, guarded_store.CallOutcome.CIRCUIT_OPEN}


class Entries:
    """Six entries that call as often as their stores allow, on one fake clock."""

    def __init__(self, *, seed, calls_per_s=20.0):
        self.clock = task.Clock()
        self.engine = store_engine.StoreEngine(clock=self.clock)
        self.outcomes = collections.Counter()
        self.sent_at = []
        self.inner = [
            memory_store.MemoryStore(clock=self.clock, engine=self.engine) for _ in range(CLIENTS)
        ]
        self.guarded = [
            guarded_store.GuardedStore(
                inner=inner,
                clock=self.clock,
                generator=random.Random(seed * CLIENTS + n),
                calls_per_s=calls_per_s,
                observe=self.observe,
            )
            for n, inner in enumerate(self.inner)
        ]

    def observe(self, kind, outcome):
        self.outcomes[kind, outcome] += 1
        if outcome not in NOT_SENT:
            self.sent_at.append(self.clock.seconds())

    def fail(self, **switches):
        for inner in self.inner:
            for name, value in switches.items():
                setattr(inner.faults, name, value)

    def run(self, seconds):
        """Makes a call of each entry on every step; returns how many calls were sent."""
        before = len(self.sent_at)
        for _ in range(round(seconds / STEP_S)):
            for guarded in self.guarded:
                guarded.get(key="k")
            self.clock.advance(STEP_S)
        return len(self.sent_at) - before


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("fault", ["down", "silent"])
def test_recovery_of_the_store_causes_no_burst_of_calls(seed, fault):
    entries = Entries(seed=seed)
    entries.run(2.0)
    entries.fail(**{fault: True})
    entries.run(20.0)
    assert entries.run(60.0) < CLIENTS * 70
    entries.fail(**{fault: False})
    first_second = entries.run(1.0)
    assert first_second <= CLIENTS * 15
    entries.run(4.0)
    assert all(guarded.available for guarded in entries.guarded)
    busiest = collections.Counter(round(at / 0.1) for at in entries.sent_at if at > 82.0)
    assert max(busiest.values()) <= CLIENTS * 3


def test_calls_beyond_the_limit_are_refused_and_leases_have_priority():
    entries = Entries(seed=1, calls_per_s=8.0)
    guarded = entries.guarded[0]
    gets = [guarded.get(key="k").result for _ in range(10)]
    assert sum(_succeeded(outcome) for outcome in gets) == 6
    assert _succeeded(guarded.grant(ttl_s=1.0).result)
    kinds = guarded_store.Kind
    outcomes = guarded_store.CallOutcome
    assert entries.outcomes[kinds.GET, outcomes.OVER_LIMIT] == 4
    assert entries.outcomes[kinds.GRANT, outcomes.OK] == 1


def _succeeded(outcome):
    return isinstance(outcome, result.Success)


def test_conflicts_and_refusals_of_arguments_keep_the_circuit_closed():
    entries = Entries(seed=1)
    guarded = entries.guarded[0]
    for _ in range(6):
        conflict = guarded.swap(key="k", expected_version=7, value=b"").result.failure()
        refused = guarded.renew(lease_id="none").result.failure()
    assert isinstance(conflict, store.ConflictError)
    assert not refused.unavailable
    assert guarded.available


def test_watch_is_a_short_probe():
    entries = Entries(seed=1)
    guarded = entries.guarded[0]
    entries.fail(down=True)
    for _ in range(3):
        guarded.watch(key="k", after_version=0, wait_s=30.0)
    assert not guarded.available
    entries.fail(down=False)
    entries.clock.advance(5.0)
    assert _succeeded(guarded.watch(key="k", after_version=0, wait_s=30.0).result)
    assert guarded.available


def test_cancelled_probe_allows_the_next():
    entries = Entries(seed=1)
    guarded = entries.guarded[0]
    entries.fail(down=True)
    for _ in range(3):
        guarded.get(key="k")
    entries.fail(down=False, silent=True)
    entries.clock.advance(5.0)
    probing = guarded.get(key="k")
    probing.addErrback(lambda _: None)
    probing.cancel()
    entries.fail(silent=False)
    entries.clock.advance(5.0)
    assert _succeeded(guarded.get(key="k").result)
    assert guarded.available
