"""The ports of one process in a run: delays, repeats, and answers held while it is frozen."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ebonyhatch.ports import memory_store, memory_workers, store, workers
from ebonyhatch.testing.histories import node_clock
from returns import result
from twisted.internet import defer, task


class Network:
    """How messages of one process travel: late in any order, and some of them twice."""

    def __init__(
        self, *, base: task.Clock, clock: node_clock.NodeClock, generator: random.Random
    ) -> None:
        self.base = base
        self._clock = clock
        self._generator = generator
        self.delay_s = 0.0
        self.jitter_s = 0.0
        self.repeat_fraction = 0.0

    def send(self, call: Callable[[], defer.Deferred[Any]]) -> defer.Deferred[Any]:
        """Carry out a call of the process, and deliver its answer to it."""
        if self.repeat_fraction and self._generator.random() < self.repeat_fraction:
            self.base.callLater(self._delay_s() + 0.01, call)
        if not (self.jitter_s or self.delay_s):
            return self._clock.deliver(call())
        outcome: defer.Deferred[Any] = defer.Deferred()
        self.base.callLater(self.delay_s + self._delay_s(), self._send_late, call, outcome)
        return self._clock.deliver(outcome)

    def _send_late(
        self, call: Callable[[], defer.Deferred[Any]], outcome: defer.Deferred[Any]
    ) -> None:
        def answer_late(value: Any) -> None:
            self.base.callLater(self._delay_s(), outcome.callback, value)

        call().addCallback(answer_late)

    def _delay_s(self) -> float:
        return self._generator.random() * self.jitter_s


class NodeStore(store.Store):
    """The store as one process sees it."""

    def __init__(self, *, inner: memory_store.MemoryStore, network: Network) -> None:
        self.inner = inner
        self.write_answer_delay_s = 0.0
        self.lose_write_answers = False
        self.watch_silent = False
        self._base = network.base
        self._send = network.send

    def start(self) -> None:
        """Make ready for calls."""

    def close(self) -> None:
        """End all calls."""

    def get(self, *, key: str) -> store.StoredOutcome:
        """Read a key."""
        return self._send(lambda: self.inner.get(key=key))

    def swap(
        self, *, key: str, expected_version: int, value: bytes, lease_id: str = ""
    ) -> store.VersionOutcome:
        """Write a key."""

        def write() -> store.VersionOutcome:
            written = self.inner.swap(
                key=key, expected_version=expected_version, value=value, lease_id=lease_id
            )
            if self.lose_write_answers:
                lost = store.UnknownError(key=key, reason="the answer was lost")
                written.addCallback(lambda _: result.Failure(lost))
            if self.write_answer_delay_s:
                written.addCallback(self._later, self.write_answer_delay_s)
            return written

        return self._send(write)

    def _later(self, answer: Any, delay_s: float) -> defer.Deferred[Any]:
        later: defer.Deferred[Any] = defer.Deferred()
        self._base.callLater(delay_s, later.callback, answer)
        return later

    def watch(self, *, key: str, after_version: int, wait_s: float) -> store.StoredOutcome:
        """Wait for a change."""
        answer: store.StoredOutcome = self._send(
            lambda: self.inner.watch(key=key, after_version=after_version, wait_s=wait_s)
        )
        outcome: store.StoredOutcome = defer.Deferred(lambda _: None)
        answer.addCallback(self._answer_watch, outcome)
        return outcome

    def _answer_watch(self, stored: Any, outcome: store.StoredOutcome) -> None:
        if not (self.watch_silent or outcome.called):
            outcome.callback(stored)

    def grant(self, *, ttl_s: float) -> store.LeaseOutcome:
        """Grant a lease."""
        return self._send(lambda: self.inner.grant(ttl_s=ttl_s))

    def renew(self, *, lease_id: str) -> store.LeaseOutcome:
        """Renew a lease."""
        return self._send(lambda: self.inner.renew(lease_id=lease_id))

    def revoke(self, *, lease_id: str) -> store.DoneOutcome:
        """End a lease."""
        return self._send(lambda: self.inner.revoke(lease_id=lease_id))


class NodeWorkers(workers.Workers):
    """The workers as one process sees them."""

    def __init__(self, *, inner: memory_workers.MemoryWorkers, network: Network) -> None:
        self.inner = inner
        self.exchange_answers = False
        self._network = network
        self._send = network.send
        self._last_answer: Any = None

    @property
    def fenced(self) -> bool:
        """Whether workers refuse older epochs."""
        return self.inner.fenced

    def start(self) -> None:
        """Make ready for calls."""

    def close(self) -> None:
        """End all calls."""

    def claim(self, **fields: Any) -> workers.ReportOutcome:
        """Present an epoch."""
        return self._send(lambda: self.inner.claim(**fields))

    def start_task(self, **fields: Any) -> workers.DoneOutcome:
        """Start an attempt."""
        return self._send(lambda: self.inner.start_task(**fields))

    def renew(self, **fields: Any) -> workers.ReportOutcome:
        """Renew leases."""
        return self._send(lambda: self.inner.renew(**fields))

    def checkpoint(self, **fields: Any) -> workers.CheckpointOutcome:
        """Save an attempt."""
        return self._send(lambda: self.inner.checkpoint(**fields))

    def throttle(self, **fields: Any) -> workers.DoneOutcome:
        """Throttle an attempt."""
        return self._send(lambda: self.inner.throttle(**fields))

    def stop_task(self, **fields: Any) -> workers.DoneOutcome:
        """Stop an attempt."""
        return self._send(lambda: self.inner.stop_task(**fields))

    def forward(self, **fields: Any) -> workers.ResponseOutcome:
        """Send a request, once: a transport never repeats one by itself."""
        repeat_fraction, self._network.repeat_fraction = self._network.repeat_fraction, 0.0
        try:
            return self._send(lambda: self.inner.forward(**fields).addCallback(self._exchange))
        finally:
            self._network.repeat_fraction = repeat_fraction

    def _exchange(self, answer: Any) -> Any:
        """Give the answer of the request before, if answers are to be exchanged."""
        former, self._last_answer = self._last_answer, answer
        return former if self.exchange_answers and former is not None else answer
