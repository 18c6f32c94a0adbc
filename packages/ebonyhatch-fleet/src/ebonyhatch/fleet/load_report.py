"""Log line of an owner's load, once a second: what it orders, and what its processor and link do."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ebonyhatch.fleet import call_counts, clocks, decision_log, supervision
from ebonyhatch.node import coroutines

INTERVAL_S = 1.0
"""Time between two lines, seconds."""

GaugeSource = Callable[[], Mapping[str, float]]
"""Returns the current state: metric names without prefix, and values."""

CURRENT = (
    "tasks_waiting",
    "tasks_running",
    "orders_in_flight",
    "targets_unreachable",
    "poll_pause_seconds",
    "loop_delay_seconds",
)
"""Gauges that are logged as they are."""

COUNTED = (
    "orders_answered",
    "order_seconds",
    "ticks",
    "ticks_held_back",
    "tick_seconds",
    "process_cpu_seconds",
)
"""Gauges that only increase in a term, of which the increase is logged."""


class LoadReport:
    """Writes `owner.load` in the given group while this entry is the owner."""

    def __init__(
        self,
        *,
        all_clocks: clocks.Clocks,
        gauges: GaugeSource,
        calls: call_counts.CallSource,
        group: coroutines.CoroutineGroup,
    ) -> None:
        """Creates a report.

        Args:
            all_clocks: Clocks of the process.
            gauges: Returns the state of this entry; `term` is 0 while it isn't the owner.
            calls: Returns the counts of calls to the platform.
            group: Runs the report until it is closed.
        """
        self._clocks = all_clocks
        self._gauges = gauges
        self._calls = calls
        self._group = group
        self._term = 0.0
        self._counted: dict[str, float] = {}

    def start(self) -> None:
        """Starts the report."""
        supervision.spawn(self._group, "load-report", self._run)

    async def _run(self) -> None:
        while True:
            await self._group.sleep(INTERVAL_S)
            self._write()

    def _write(self) -> None:
        gauges = self._gauges()
        term, previous = self._term, self._counted
        self._term, self._counted = gauges["term"], self._totals(gauges)
        if not self._term or self._term != term:
            # The counts of a term begin at zero, so that there is nothing to compare with.
            return
        increase = {name: value - previous[name] for name, value in self._counted.items()}
        decision_log.write(
            "owner.load",
            term=int(self._term),
            **{name: round(gauges[name], 3) for name in CURRENT},
            **{name: round(value, 3) for name, value in increase.items()},
        )

    def _totals(self, gauges: Mapping[str, float]) -> dict[str, float]:
        counts = self._calls().values()
        return {name: gauges.get(name, 0.0) for name in COUNTED} | {
            "interval_seconds": self._clocks.now(),
            "bytes_sent": sum(kind.bytes_sent for kind in counts),
            "bytes_received": sum(kind.bytes_received for kind in counts),
        }
