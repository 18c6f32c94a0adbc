"""Calls to an engine in this process, with simulated timeouts and faults of a network."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ebonyhatch.core import errors
from ebonyhatch.ports import fault_switches, timing
from returns import result
from twisted.internet import defer

Outcome = defer.Deferred[Any]
Effect = Callable[[], Any]
ErrorFactory = Callable[[str], errors.EbonyhatchError]


class MemoryCalls:
    """Makes the calls of one client; every Deferred fires once, with a result."""

    def __init__(self, *, clock: timing.Clock, faults: fault_switches.Faults) -> None:
        self._clock = clock
        self._faults = faults
        self._open: dict[Outcome, tuple[timing.Timer, ErrorFactory]] = {}
        self._closed = False

    def start(self) -> None:
        """Accepts calls."""
        self._closed = False

    def close(self) -> None:
        """Refuses calls from now on, and ends open ones with an unknown outcome."""
        self._closed = True
        for outcome, (_, unknown) in list(self._open.items()):
            self._resolve(outcome, result.Failure(unknown("the client was closed")))

    def call(
        self, *, effect: Effect, refused: ErrorFactory, unknown: ErrorFactory, timeout_s: float
    ) -> Outcome:
        """Runs `effect` as a call over a network.

        Args:
            effect: Returns a value or a Deferred, or raises a typed error.
            refused: Returns the error of a call without effect from its reason.
            unknown: Returns the error of a call with an unknown effect from its reason.
            timeout_s: Time after which the outcome is unknown, seconds.
        """
        if self._closed:
            return defer.succeed(result.Failure(refused("the client is closed")))
        if self._faults.down:
            return defer.succeed(result.Failure(refused("connection refused")))
        outcome: Outcome = defer.Deferred(self._remove)
        timed_out = result.Failure(unknown(f"no response within {timeout_s} s"))
        timer = self._clock.callLater(timeout_s, self._resolve, outcome, timed_out)
        self._open[outcome] = (timer, unknown)
        if self._faults.silent:
            return outcome
        if self._faults.slow_s > 0:
            self._clock.callLater(self._faults.slow_s, self._run, outcome, effect, unknown)
        else:
            self._run(outcome, effect, unknown)
        return outcome

    def _run(self, outcome: Outcome, effect: Effect, unknown: ErrorFactory) -> None:
        inner = defer.maybeDeferred(effect)
        inner.addCallbacks(result.Success, self._to_result)
        inner.addCallback(self._deliver, outcome, unknown)

    @staticmethod
    def _to_result(failure: Any) -> Any:
        failure.trap(errors.EbonyhatchError)
        return result.Failure(failure.value)

    def _deliver(self, call_result: Any, outcome: Outcome, unknown: ErrorFactory) -> None:
        if self._faults.lose_answers:
            return
        if self._faults.cut_answers:
            call_result = result.Failure(unknown("the response was truncated"))
        self._resolve(outcome, call_result)

    def _resolve(self, outcome: Outcome, call_result: Any) -> None:
        if outcome not in self._open:
            return
        self._remove(outcome)
        outcome.callback(call_result)

    def _remove(self, outcome: Outcome) -> None:
        timer, _ = self._open.pop(outcome)
        if timer.active():
            timer.cancel()
