"""The contract of every store."""

from __future__ import annotations

import abc
from collections.abc import Callable
from typing import Any

import pytest
from ebonyhatch.ports import store, store_engine
from ebonyhatch.testing.contracts import rigs
from returns import result
from twisted.internet import defer

TTL_S = 0.3
"""Time to live of the contract's leases, seconds."""


class StoreRig(abc.ABC):
    """A store under test, with its engine and its faults; the call timeout is short."""

    rig: rigs.Rig
    port: store.Store
    engine: store_engine.StoreEngine

    @abc.abstractmethod
    def set_faults(self, **switches: Any) -> None:
        """Turns these faults on and all others off."""

    @abc.abstractmethod
    def later(self, seconds: float, call: Callable[[], Any]) -> None:
        """Calls `call` after a delay."""

    def get(self, key: str = "k") -> store.Stored:
        """Reads a key."""
        return self.rig.run(lambda: self.port.get(key=key)).unwrap()

    def swap(self, value: bytes, *, expected: int, key: str = "k", lease_id: str = "") -> Any:
        """Writes a key and returns the result."""
        return self.rig.run(
            lambda: self.port.swap(
                key=key, expected_version=expected, value=value, lease_id=lease_id
            )
        )

    def grant(self) -> str:
        """Grants a lease and returns its id."""
        return self.rig.run(lambda: self.port.grant(ttl_s=TTL_S)).unwrap().lease_id

    def renew(self, lease_id: str) -> Any:
        """Renews a lease and returns the result."""
        return self.rig.run(lambda: self.port.renew(lease_id=lease_id))


class StoreContract:
    """Subclasses provide the fixture `under_test`, a `StoreRig`."""

    def test_absent_key(self, under_test: StoreRig) -> None:
        """A key that was never written is absent."""
        assert under_test.get() == store.Stored(key="k", value=b"", version=store.ABSENT)

    @pytest.mark.parametrize("key", ["a/b c", "ключ", '"', "x" * 500])
    def test_any_key_and_value(self, under_test: StoreRig, key: str) -> None:
        """Keys are any text and values any bytes."""
        value = bytes(range(256))
        version = under_test.swap(value, expected=store.ABSENT, key=key).unwrap()
        assert under_test.get(key) == store.Stored(key=key, value=value, version=version)

    def test_conflict_writes_nothing(self, under_test: StoreRig) -> None:
        """A swap at another version fails with the actual version and writes nothing."""
        version = under_test.swap(b"1", expected=store.ABSENT).unwrap()
        error = under_test.swap(b"2", expected=store.ABSENT).failure()
        assert isinstance(error, store.ConflictError)
        assert (error.expected_version, error.actual_version) == (store.ABSENT, version)
        assert under_test.get().value == b"1"

    def test_one_of_many_swaps_wins(self, under_test: StoreRig) -> None:
        """Of concurrent swaps from one version exactly one is applied."""

        def race() -> Any:
            swaps = [
                under_test.port.swap(key="k", expected_version=0, value=str(n).encode())
                for n in range(8)
            ]
            return defer.gatherResults(swaps)

        outcomes = under_test.rig.run(race)
        won = [n for n, outcome in enumerate(outcomes) if isinstance(outcome, result.Success)]
        assert len(won) == 1
        assert under_test.get().value == str(won[0]).encode()

    def test_key_ends_with_its_lease_and_versions_grow_on(self, under_test: StoreRig) -> None:
        """A key that is tied to a lease is deleted when the lease ends; its versions still grow."""
        lease_id = under_test.grant()
        version = under_test.swap(b"1", expected=store.ABSENT, lease_id=lease_id).unwrap()
        under_test.rig.until(
            lambda: under_test.port.get(key="k"), lambda got: got.unwrap().version == store.ABSENT
        )
        assert isinstance(under_test.renew(lease_id).failure(), store.RefusedError)
        tied = under_test.swap(b"2", expected=store.ABSENT, lease_id=lease_id).failure()
        assert isinstance(tied, store.RefusedError)
        assert under_test.swap(b"3", expected=store.ABSENT).unwrap() > version

    def test_renewed_lease_keeps_its_key(self, under_test: StoreRig) -> None:
        """A key exists for as long as its lease is renewed."""
        lease_id = under_test.grant()
        under_test.swap(b"1", expected=store.ABSENT, lease_id=lease_id).unwrap()
        for _ in range(8):
            under_test.rig.pause(TTL_S / 4)
            under_test.renew(lease_id).unwrap()
        assert under_test.get().value == b"1"

    def test_revoked_lease_ends_its_keys(self, under_test: StoreRig) -> None:
        """A revocation takes effect at once and may be repeated."""
        lease_id = under_test.grant()
        under_test.swap(b"1", expected=store.ABSENT, lease_id=lease_id).unwrap()
        for _ in range(2):
            assert under_test.rig.run(
                lambda: under_test.port.revoke(lease_id=lease_id)
            ) == result.Success(None)
        assert under_test.get().version == store.ABSENT

    @pytest.mark.parametrize("ttl_s", [0.0, -1.0, float("nan"), float("inf")])
    def test_bad_lease_time_is_refused(self, under_test: StoreRig, ttl_s: float) -> None:
        """A time to live must be a positive finite number."""
        error = under_test.rig.run(lambda: under_test.port.grant(ttl_s=ttl_s)).failure()
        assert isinstance(error, store.RefusedError)

    def test_value_limit(self, under_test: StoreRig) -> None:
        """A value of the maximum size is stored, a larger one is refused."""
        largest = b"x" * store.VALUE_LIMIT_BYTES
        version = under_test.swap(largest, expected=store.ABSENT).unwrap()
        error = under_test.swap(largest + b"x", expected=version).failure()
        assert isinstance(error, store.RefusedError)
        assert under_test.get().value == largest

    def test_watch(self, under_test: StoreRig) -> None:
        """A watch fires at once when the version differs, on a change, and after its wait."""

        def watch(after: int, wait_s: float) -> Any:
            return under_test.port.watch(key="k", after_version=after, wait_s=wait_s)

        def watch_then_swap() -> Any:
            watching = watch(version, 20.0)
            swapping = under_test.port.swap(key="k", expected_version=version, value=b"2")
            return defer.gatherResults([watching, swapping])

        version = under_test.swap(b"1", expected=store.ABSENT).unwrap()
        assert under_test.rig.run(lambda: watch(0, 20.0)).unwrap().value == b"1"
        assert under_test.rig.run(lambda: watch(version, 0.1)).unwrap().version == version
        seen, swapped = under_test.rig.run(watch_then_swap)
        assert seen.unwrap() == store.Stored(key="k", value=b"2", version=swapped.unwrap())

    @pytest.mark.parametrize("fault", ["lose_answers", "cut_answers"])
    def test_lost_answer_is_unknown_and_took_effect(self, under_test: StoreRig, fault: str) -> None:
        """A call whose response is lost has an unknown outcome, and its effect can be read back."""
        under_test.set_faults(**{fault: True})
        error = under_test.swap(b"1", expected=store.ABSENT).failure()
        assert isinstance(error, store.UnknownError)
        under_test.set_faults()
        assert under_test.get().value == b"1"

    def test_silence_is_unknown(self, under_test: StoreRig) -> None:
        """A call without any response ends with its timeout, and its outcome is unknown."""
        under_test.set_faults(silent=True)
        assert isinstance(
            under_test.swap(b"1", expected=store.ABSENT).failure(), store.UnknownError
        )
        under_test.set_faults()
        assert under_test.get().version == store.ABSENT

    def test_slow_answer_is_whole_within_the_timeout(self, under_test: StoreRig) -> None:
        """A store that responds slowly within the timeout returns the whole response."""
        under_test.set_faults(slow_s=0.1)
        assert under_test.swap(b"1", expected=store.ABSENT).unwrap() > 0

    def test_late_effect_is_unknown(self, under_test: StoreRig) -> None:
        """A call whose effect comes after its timeout has an unknown outcome."""
        under_test.set_faults(slow_s=0.8)
        error = under_test.swap(b"1", expected=store.ABSENT).failure()
        assert isinstance(error, store.UnknownError)
        under_test.set_faults()
        under_test.rig.until(
            lambda: under_test.port.get(key="k"), lambda got: got.unwrap().value == b"1"
        )

    def test_refused_while_down_and_back_after(self, under_test: StoreRig) -> None:
        """While the store is down, calls are refused without effect once connections are closed."""
        version = under_test.swap(b"1", expected=store.ABSENT).unwrap()
        under_test.set_faults(down=True)
        under_test.rig.until(
            lambda: under_test.port.swap(key="k", expected_version=version, value=b"2"),
            lambda outcome: isinstance(outcome.failure(), store.RefusedError),
        )
        under_test.set_faults()
        assert under_test.get().value == b"1"

    def test_stale_read(self, under_test: StoreRig) -> None:
        """The switch for stale reads answers from the past."""
        version = under_test.swap(b"1", expected=store.ABSENT).unwrap()
        under_test.rig.pause(1.0)
        under_test.swap(b"2", expected=version).unwrap()
        under_test.set_faults(stale_s=0.9)
        assert under_test.get().value == b"1"

    def test_calls_are_counted(self, under_test: StoreRig) -> None:
        """The engine counts calls by kind."""
        under_test.swap(b"1", expected=store.ABSENT)
        under_test.get()
        under_test.renew(under_test.grant())
        assert dict(under_test.engine.counts) == {"swap": 1, "get": 1, "grant": 1, "renew": 1}

    def test_call_that_its_caller_cancels(self, under_test: StoreRig) -> None:
        """A cancelled call fails with `CancelledError`, so that an awaiting coroutine ends."""

        def watch_and_cancel() -> Any:
            watching = under_test.port.watch(key="k", after_version=0, wait_s=20.0)
            under_test.later(0.1, watching.cancel)
            return watching.addErrback(lambda failure: failure.check(defer.CancelledError))

        assert under_test.rig.run(watch_and_cancel) is defer.CancelledError
        assert under_test.get().version == store.ABSENT

    def test_close_ends_open_calls(self, under_test: StoreRig) -> None:
        """The Deferreds of open calls fire when the client is closed."""

        def watch_and_close() -> Any:
            watching = under_test.port.watch(key="k", after_version=0, wait_s=20.0)
            under_test.port.close()
            return watching

        error = under_test.rig.run(watch_and_close).failure()
        assert isinstance(error, store.RefusedError | store.UnknownError)
        closed = under_test.rig.run(lambda: under_test.port.get(key="k")).failure()
        assert isinstance(closed, store.RefusedError)
