"""When capacity of a target is likely to become free, by the expected ends of its runs."""

from __future__ import annotations

import math

from ebonyhatch.fleet import jobs, rows, run_times

QUANTILE_SIGMAS = 1.0
"""Standard deviations of the logarithm above the median at which a run is expected to have ended: its
84% quantile. Run times and estimates are lognormal, and half of all runs outlast their median."""

OVERDUE_FACTOR = 0.88
"""Remaining time of an overdue run as a multiple of its elapsed time: the median of a Pareto tail of
shape 1.1, which stragglers have."""

MIN_OVERDUE_S = 0.1
"""Least remaining time of an overdue run, seconds."""

UNKNOWN_RUN_S = 1.0
"""Run time of a task without estimate or history, seconds; short tasks take 0.5 to 2 s."""

STOP_S = 0.5
"""Time that a stop and the report of its end may take, seconds."""

Amounts = tuple[int, int, int]
"""Processor time, memory and accelerators."""


FACTOR_LIFE_S = 1.0
"""Time for which a learnt uncertainty is used before it is looked up anew, seconds."""


class Forecast:
    """Expected ends of runs."""

    def __init__(self, *, times: run_times.RunTimes) -> None:
        self._times = times
        self._now = 0.0
        self._factors: dict[tuple[str, str, bool], float] = {}
        self._factors_from = 0.0

    def advance(self, now: float) -> None:
        """Sets the time from which on is forecast, seconds."""
        self._now = now
        if now - self._factors_from >= FACTOR_LIFE_S:
            self._factors.clear()
            self._factors_from = now

    def run_s(self, step: rows.StepRow) -> float:
        """Returns the time in which a task of a step has probably ended, seconds.

        It is infinite for a task that runs until it is cancelled, or of which nothing is known.
        """
        if step.step.long_running or step.expected_s <= 0:
            return math.inf
        return step.expected_s * self._factor(step)

    def remaining_s(self, run: rows.RunRow) -> float:
        """Returns the time until a run has probably ended, seconds."""
        step = run.task.step
        if run.state is rows.RunState.STOPPING:
            return STOP_S
        if step.step.long_running:
            return math.inf
        elapsed_s = max(0.0, self._now - (run.started_at or run.progressed_at))
        worked_s = run.progressed_at - run.started_at
        if 0 < run.percent < 100 and run.started_at and worked_s > 0:
            ends_in_s = worked_s * (100 - run.percent) / run.percent
            ends_in_s -= self._now - run.progressed_at
        elif step.expected_s > 0:
            ends_in_s = step.expected_s * self._factor(step) - elapsed_s
        else:
            ends_in_s = UNKNOWN_RUN_S - elapsed_s
        return ends_in_s if ends_in_s > 0 else max(MIN_OVERDUE_S, OVERDUE_FACTOR * elapsed_s)

    def slot_times(self, row: rows.TargetRow, spec: jobs.Step, *, limit: int) -> list[float]:
        """Returns, for each of up to `limit` tasks, the time until a target has capacity for it.

        The times are in seconds from now and ascending; tasks that never fit have none.
        """
        free = (row.free_cpu, row.free_memory, row.free_accelerators)
        found = [0.0] * fitting_count(spec, free, limit=limit)
        if len(found) >= limit:
            return found
        for ends_in_s, run in self._ends(row):
            free = _add(free, run.task.step.step)
            missing = fitting_count(spec, free, limit=limit) - len(found)
            if missing > 0:
                found.extend([ends_in_s] * missing)
                if len(found) >= limit:
                    break
        return found

    def free_at(self, row: rows.TargetRow, after_s: float) -> Amounts:
        """Returns what is expected to be free on a target in `after_s` seconds."""
        free = (row.free_cpu, row.free_memory, row.free_accelerators)
        for ends_in_s, run in self._ends(row):
            if ends_in_s > after_s:
                break
            free = _add(free, run.task.step.step)
        return free

    def _ends(self, row: rows.TargetRow) -> list[tuple[float, rows.RunRow]]:
        """Returns the runs that end, with the time until then, the first to end first."""
        ends = [(self.remaining_s(run), run) for run in row.runs.values()]
        return sorted((end for end in ends if end[0] < math.inf), key=_time)

    def _factor(self, step: rows.StepRow) -> float:
        """Returns the quantile of a step's run time as a multiple of its median."""
        spec = step.step
        key = (step.job.job.queue, spec.image, spec.estimate_s > 0)
        factor = self._factors.get(key)
        if factor is None:
            sigma = self._times.sigma(queue=key[0], image=key[1], estimated=key[2])
            factor = self._factors[key] = math.exp(QUANTILE_SIGMAS * sigma)
        return factor


def fitting_count(spec: jobs.Step, free: Amounts, *, limit: int) -> int:
    """Returns how many tasks of a step fit in free capacity together, at most `limit`."""
    count = limit
    for demand, amount in zip(demands(spec), free, strict=True):
        if demand:
            count = min(count, amount // demand)
    return max(0, count)


def demands(spec: jobs.Step) -> Amounts:
    """Returns the capacity that a task of a step reserves; fillers reserve no processor time."""
    return (0 if spec.filler else spec.cpu_millis, spec.memory_mb, spec.accelerators)


def _add(free: Amounts, spec: jobs.Step) -> Amounts:
    cpu_millis, memory_mb, accelerators = demands(spec)
    return (free[0] + cpu_millis, free[1] + memory_mb, free[2] + accelerators)


def _time(end: tuple[float, rows.RunRow]) -> float:
    return end[0]
