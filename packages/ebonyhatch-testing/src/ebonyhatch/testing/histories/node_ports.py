"""The ports of one simulated process: delays, repeats, and results deferred while frozen."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ebonyhatch.ports import memory_store, memory_workers, store, workers
from ebonyhatch.testing.histories import node_clock
from returns import result
from twisted.internet import defer, task


class Network:
    """Delivers the messages of one process: delayed, reordered, and some of them twice."""

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
        """Performs a call of the process and delivers the result to it."""
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
        def respond_late(value: Any) -> None:
            self.base.callLater(self._delay_s(), outcome.callback, value)

        call().addCallback(respond_late)

    def _delay_s(self) -> float:
        return self._generator.random() * self.jitter_s


class NodeStore(store.Store):
    """The store of one process, over its network.

    Attributes:
        inner: The in-memory store.
        write_response_delay_s: Delay of the results of writes, seconds.
        lose_write_responses: Whether writes take effect and their results are lost.
        watch_silent: Whether watches never fire.
    """

    def __init__(self, *, inner: memory_store.MemoryStore, network: Network) -> None:
        self.inner = inner
        self.write_response_delay_s = 0.0
        self.lose_write_responses = False
        self.watch_silent = False
        self._base = network.base
        self._send = network.send

    def start(self) -> None:
        """Does nothing; the in-memory port needs no connection."""

    def close(self) -> None:
        """Does nothing; open calls end with the run."""

    def get(self, *, key: str) -> store.StoredOutcome:
        """Reads a key."""
        return self._send(lambda: self.inner.get(key=key))

    def swap(
        self, *, key: str, expected_version: int, value: bytes, lease_id: str = ""
    ) -> store.VersionOutcome:
        """Writes a key that is at the expected version."""

        def write() -> store.VersionOutcome:
            written = self.inner.swap(
                key=key, expected_version=expected_version, value=value, lease_id=lease_id
            )
            if self.lose_write_responses:
                lost = store.UnknownError(key=key, reason="the response was lost")
                written.addCallback(lambda _: result.Failure(lost))
            if self.write_response_delay_s:
                written.addCallback(self._later, self.write_response_delay_s)
            return written

        return self._send(write)

    def _later(self, value: Any, delay_s: float) -> defer.Deferred[Any]:
        later: defer.Deferred[Any] = defer.Deferred()
        self._base.callLater(delay_s, later.callback, value)
        return later

    def watch(self, *, key: str, after_version: int, wait_s: float) -> store.StoredOutcome:
        """Waits for a change of a key."""
        stored_outcome: store.StoredOutcome = self._send(
            lambda: self.inner.watch(key=key, after_version=after_version, wait_s=wait_s)
        )
        outcome: store.StoredOutcome = defer.Deferred(lambda _: None)
        stored_outcome.addCallback(self._fire_watch, outcome)
        return outcome

    def _fire_watch(self, stored: Any, outcome: store.StoredOutcome) -> None:
        if not (self.watch_silent or outcome.called):
            outcome.callback(stored)

    def grant(self, *, ttl_s: float) -> store.LeaseOutcome:
        """Grants a lease."""
        return self._send(lambda: self.inner.grant(ttl_s=ttl_s))

    def renew(self, *, lease_id: str) -> store.LeaseOutcome:
        """Renews a lease."""
        return self._send(lambda: self.inner.renew(lease_id=lease_id))

    def revoke(self, *, lease_id: str) -> store.DoneOutcome:
        """Revokes a lease."""
        return self._send(lambda: self.inner.revoke(lease_id=lease_id))


class NodeWorkers(workers.Workers):
    """The workers of one process, over its network.

    Attributes:
        inner: The in-memory workers.
        exchange_responses: Whether each request gets the response to the request before it.
    """

    def __init__(self, *, inner: memory_workers.MemoryWorkers, network: Network) -> None:
        self.inner = inner
        self.exchange_responses = False
        self._network = network
        self._send = network.send
        self._last_response: Any = None

    @property
    def fenced(self) -> bool:
        """Whether workers refuse older epochs."""
        return self.inner.fenced

    def start(self) -> None:
        """Does nothing; the in-memory port needs no connection."""

    def close(self) -> None:
        """Does nothing; open calls end with the run."""

    def claim(self, **fields: Any) -> workers.ReportOutcome:
        """Presents the epoch of an owner to a worker."""
        return self._send(lambda: self.inner.claim(**fields))

    def start_task(self, **fields: Any) -> workers.DoneOutcome:
        """Starts an attempt."""
        return self._send(lambda: self.inner.start_task(**fields))

    def renew(self, **fields: Any) -> workers.ReportOutcome:
        """Renews the leases of all attempts."""
        return self._send(lambda: self.inner.renew(**fields))

    def checkpoint(self, **fields: Any) -> workers.CheckpointOutcome:
        """Saves the progress of an attempt."""
        return self._send(lambda: self.inner.checkpoint(**fields))

    def throttle(self, **fields: Any) -> workers.DoneOutcome:
        """Throttles an attempt."""
        return self._send(lambda: self.inner.throttle(**fields))

    def stop_task(self, **fields: Any) -> workers.DoneOutcome:
        """Stops an attempt."""
        return self._send(lambda: self.inner.stop_task(**fields))

    def forward(self, **fields: Any) -> workers.ResponseOutcome:
        """Sends a request once, since a transport never repeats a request by itself."""
        repeat_fraction, self._network.repeat_fraction = self._network.repeat_fraction, 0.0
        try:
            return self._send(lambda: self.inner.forward(**fields).addCallback(self._exchange))
        finally:
            self._network.repeat_fraction = repeat_fraction

    def _exchange(self, response: Any) -> Any:
        """Returns the response to the previous request if responses are to be exchanged."""
        previous, self._last_response = self._last_response, response
        return previous if self.exchange_responses and previous is not None else response
