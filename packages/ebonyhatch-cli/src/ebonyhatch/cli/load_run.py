"""An open-loop run of a load: arrivals don't wait for answers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator

from ebonyhatch.cli import load_plan, load_report
from ebonyhatch.ports import timing
from twisted.internet import defer

IN_PROGRESS_LIMIT = 2_000
"""Most requests that are open at once; what is due beyond them is counted as not sent."""

Send = Callable[[load_plan.Arrival], Awaitable[load_report.Outcome]]


class LoadRun:
    """Sends what a plan draws, each when it is due.

    Args:
        plan: The plan.
        send: Sends one request and tells how it ended; never raises.
        clock: Tells time and calls later.
    """

    def __init__(self, *, plan: load_plan.Plan, send: Send, clock: timing.Clock) -> None:
        self._send = send
        self._clock = clock
        self._arrivals: Iterator[load_plan.Arrival] = load_plan.arrivals(plan)
        self._report = load_report.Report(plan=plan)
        self._in_progress = 0
        self._drawn = False
        self._ended: defer.Deferred[load_report.Report] = defer.Deferred()
        self._began_at = 0.0

    def start(self) -> defer.Deferred[load_report.Report]:
        """Begin; fires with the report once every request has ended."""
        self._began_at = self._clock.seconds()
        self._schedule()
        return self._ended

    def _schedule(self) -> None:
        arrival = next(self._arrivals, None)
        if arrival is None:
            self._drawn = True
            self._note_end()
            return
        delay_s = self._began_at + arrival.at_s - self._clock.seconds()
        self._clock.callLater(max(0.0, delay_s), self._due, arrival)

    def _due(self, arrival: load_plan.Arrival) -> None:
        if self._in_progress >= IN_PROGRESS_LIMIT:
            self._add(arrival, load_report.Outcome.NOT_SENT)
            self._schedule()
            return
        self._in_progress += 1
        self._schedule()
        sent = defer.ensureDeferred(self._sent(arrival))
        sent.addErrback(lambda _: self._finish(arrival, load_report.Outcome.FAILED))

    async def _sent(self, arrival: load_plan.Arrival) -> None:
        self._finish(arrival, await self._send(arrival))

    def _finish(self, arrival: load_plan.Arrival, outcome: load_report.Outcome) -> None:
        self._in_progress -= 1
        self._add(arrival, outcome)
        self._note_end()

    def _add(self, arrival: load_plan.Arrival, outcome: load_report.Outcome) -> None:
        latency_s = self._clock.seconds() - self._began_at - arrival.at_s
        self._report.add(work_class=arrival.work_class, outcome=outcome, latency_s=latency_s)

    def _note_end(self) -> None:
        if self._drawn and not self._in_progress and not self._ended.called:
            self._ended.callback(self._report)
