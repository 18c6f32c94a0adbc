"""An open-loop run of a load: arrivals don't wait for responses."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator

from ebonyhatch.cli import load_plan, load_report
from ebonyhatch.ports import timing
from twisted.internet import defer

MAX_IN_PROGRESS = 2_000
"""Maximum number of requests in progress; requests that are due beyond it count as not sent."""

Send = Callable[[load_plan.Arrival], Awaitable[load_report.Outcome]]


class LoadRun:
    """Sends the requests of a plan, each at the time at which it is due.

    Args:
        plan: Plan that generates the arrivals.
        send: Sends one request and returns its outcome; never raises.
        clock: Clock that reads the time and schedules calls.
    """

    def __init__(self, *, plan: load_plan.Plan, send: Send, clock: timing.Clock) -> None:
        self._send = send
        self._clock = clock
        self._arrivals: Iterator[load_plan.Arrival] = load_plan.arrivals(plan)
        self._report = load_report.Report(plan=plan)
        self._in_progress = 0
        self._exhausted = False
        self._completed: defer.Deferred[load_report.Report] = defer.Deferred()
        self._started_at = 0.0

    def start(self) -> defer.Deferred[load_report.Report]:
        """Starts the run.

        Returns:
            A deferred that fires with the report once every request has ended.
        """
        self._started_at = self._clock.seconds()
        self._schedule()
        return self._completed

    def _schedule(self) -> None:
        arrival = next(self._arrivals, None)
        if arrival is None:
            self._exhausted = True
            self._complete_if_done()
            return
        delay_s = self._started_at + arrival.at_s - self._clock.seconds()
        self._clock.callLater(max(0.0, delay_s), self._dispatch, arrival)

    def _dispatch(self, arrival: load_plan.Arrival) -> None:
        if self._in_progress >= MAX_IN_PROGRESS:
            self._record_outcome(arrival, load_report.Outcome.NOT_SENT)
            self._schedule()
            return
        self._in_progress += 1
        self._schedule()
        request = defer.ensureDeferred(self._send_and_record(arrival))
        request.addErrback(lambda _: self._finish(arrival, load_report.Outcome.FAILED))

    async def _send_and_record(self, arrival: load_plan.Arrival) -> None:
        self._finish(arrival, await self._send(arrival))

    def _finish(self, arrival: load_plan.Arrival, outcome: load_report.Outcome) -> None:
        self._in_progress -= 1
        self._record_outcome(arrival, outcome)
        self._complete_if_done()

    def _record_outcome(self, arrival: load_plan.Arrival, outcome: load_report.Outcome) -> None:
        latency_s = self._clock.seconds() - self._started_at - arrival.at_s
        self._report.add(work_class=arrival.work_class, outcome=outcome, latency_s=latency_s)

    def _complete_if_done(self) -> None:
        if self._exhausted and not self._in_progress and not self._completed.called:
            self._completed.callback(self._report)
