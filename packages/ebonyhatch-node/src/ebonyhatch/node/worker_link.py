"""Connection of a cell's owner to one worker: claim, renewals, leaving, unresponsiveness."""

from __future__ import annotations

from collections.abc import Callable

from ebonyhatch.node import coroutines
from ebonyhatch.ports import backoff, instances, timing, workers
from returns import result
from twisted.internet import defer

RENEW_INTERVAL_S = 1.0
"""Interval between two renewals of a worker, seconds."""

TASK_LEASE_S = 10.0
"""Time for which a task keeps running without a renewal, seconds."""

LEASE_MARGIN_S = 1.0
"""Allowance for the drift of the worker's clock in the wait for its task leases to end, seconds."""

MAX_FAILED_RENEWALS = 3
"""Consecutive failed renewals after which a worker is only claimed, not renewed.

Its task leases then run out.
"""

FRESH_S = 2.5
"""Maximum age of the last report while work is sent, seconds.

A worker may have started to leave since an older report.
"""

MAX_PROBE_INTERVAL_S = 5.0
"""Maximum interval between two probes of an unresponsive worker, seconds."""


class WorkerLink:
    """Renews one worker's task leases and passes its reports on.

    A renewal without an answer may still have been received, so the leases are counted from the
    end of the last renewal that may have been received; a claim renews nothing.
    """

    def __init__(
        self,
        *,
        instance: instances.Instance,
        epoch: int,
        workers_port: workers.Workers,
        clock: timing.Clock,
        group: coroutines.CoroutineGroup,
        delays: backoff.Backoff,
        may_act: Callable[[], bool],
        on_report: Callable[[WorkerLink, workers.WorkerReport, float], None],
        on_refusal: Callable[[WorkerLink], None],
        on_lost: Callable[[WorkerLink], None],
        on_stale: Callable[[workers.StaleEpochError], None],
    ) -> None:
        self.instance = instance
        self.listed = True
        self._epoch = epoch
        self._port = workers_port
        self._clock = clock
        self._group = group
        self._delays = delays
        self._may_act = may_act
        self._on_report = on_report
        self._on_refusal = on_refusal
        self._on_lost = on_lost
        self._on_stale = on_stale
        self._claimed = False
        self._ever_claimed = False
        self._failures = 0
        self._leases_until = clock.seconds() + TASK_LEASE_S + LEASE_MARGIN_S
        self._lost = False
        self._reports_leaving = False
        self._reported_at = float("-inf")
        self._refused_at = float("-inf")
        self._acknowledged: dict[str, None] = {}
        self._sleeping: defer.Deferred[None] | None = None
        self._closed = False

    @property
    def worker_id(self) -> str:
        """Id of the worker."""
        return self.instance.instance_id

    @property
    def address(self) -> workers.Address:
        """Address at which it listens."""
        instance = self.instance
        return workers.Address(
            worker_id=instance.instance_id, host=instance.host, port=instance.port
        )

    @property
    def claimed(self) -> bool:
        """Whether it has accepted this owner's epoch and still answers."""
        return self._claimed

    @property
    def leaving(self) -> bool:
        """Whether it must get no new work: it leaves, isn't listed as live, or is unresponsive."""
        listed_live = self.listed and self.instance.state == instances.InstanceState.LIVE
        return not listed_live or self._reports_leaving or not self._claimed

    @property
    def accepts_work(self) -> bool:
        """Whether work may be sent to it at present."""
        fresh = self._clock.seconds() - self._reported_at <= FRESH_S
        return fresh and not self.leaving

    def start(self) -> None:
        """Claims the worker, then renews it until `close`."""
        self._group.spawn(self._run())

    def close(self) -> None:
        """Stops after the call in progress."""
        self._closed = True
        self.renew_now()

    def renew_now(self) -> None:
        """Renews at once rather than at the next interval."""
        sleeping, self._sleeping = self._sleeping, None
        if sleeping is not None:
            sleeping.callback(None)

    def acknowledge(self, task_id: str) -> None:
        """Lets the worker discard an ended attempt, with the next renewal."""
        self._acknowledged[task_id] = None

    def record_start(self) -> None:
        """Extends the leases from now on: a start may have been received."""
        self._extend()

    def record_refusal(self) -> None:
        """Treats the worker as leaving after a refused start, until a later report denies it."""
        self._reports_leaving = True
        self._refused_at = self._clock.seconds()
        self._on_refusal(self)

    async def _run(self) -> None:
        while not self._closed:
            if self._may_act():
                await self._call()
            if self._closed:
                return
            await self._pause(RENEW_INTERVAL_S if self._claimed else self._delays.next_s())

    async def _call(self) -> None:
        sent_at = self._clock.seconds()
        renewing = self._claimed
        acknowledged = tuple(self._acknowledged)
        if renewing:
            outcome = await self._port.renew(
                address=self.address,
                epoch=self._epoch,
                lease_s=TASK_LEASE_S,
                acknowledged=acknowledged,
            )
        else:
            outcome = await self._port.claim(address=self.address, epoch=self._epoch)
        if self._closed:
            return
        if isinstance(outcome, result.Success):
            self._answered(outcome.unwrap(), sent_at, acknowledged if renewing else ())
        else:
            self._failed(outcome.failure(), renewing=renewing)

    def _answered(
        self, report: workers.WorkerReport, sent_at: float, acknowledged: tuple[str, ...]
    ) -> None:
        self._failures = 0
        self._delays.reset()
        self._claimed = self._ever_claimed = True
        self._lost = False
        self._reported_at = sent_at
        self._extend()
        for task_id in acknowledged:
            self._acknowledged.pop(task_id, None)
        if report.leaving or sent_at > self._refused_at:
            self._reports_leaving = report.leaving
        self._on_report(self, report, sent_at)

    def _failed(self, error: workers.WorkerError, *, renewing: bool) -> None:
        if isinstance(error, workers.StaleEpochError):
            self._on_stale(error)
            return
        self._failures += 1
        if renewing and isinstance(error, workers.OutcomeUnknownError):
            self._extend()
        if self._failures >= MAX_FAILED_RENEWALS and self._claimed:
            self._claimed = False
            self._on_refusal(self)
        if not self._claimed and not self._lost and self._leases_expired():
            self._lost = True
            self._on_lost(self)

    def _leases_expired(self) -> bool:
        """Returns whether no task can be running there under a lease.

        Before the first claim an older owner may still be renewing the worker, so only a worker
        that isn't listed any more counts as lost.
        """
        if not self._ever_claimed and self.listed:
            return False
        return self._clock.seconds() >= self._leases_until

    def _extend(self) -> None:
        self._leases_until = self._clock.seconds() + TASK_LEASE_S + LEASE_MARGIN_S

    async def _pause(self, seconds: float) -> None:
        sleeping: defer.Deferred[None] = defer.Deferred()
        self._sleeping = sleeping
        timer = self._clock.callLater(seconds, self.renew_now)
        try:
            await sleeping
        finally:
            if timer.active():
                timer.cancel()
