"""Steps with waiting tasks, sorted by the processor time that a task of them needs."""

from __future__ import annotations

import bisect
from collections.abc import Mapping

from ebonyhatch.fleet import rows

_Kind = tuple[str, bool]
_Entry = tuple[int, int, rows.StepRow]


class WaitingSteps:
    """Steps with waiting tasks, in the order in which they were added.

    A step whose waiting tasks change has to be passed to `touch`. Most steps are placed by the first
    pass after they were added; only those that remain are sorted.
    """

    def __init__(self) -> None:
        self._added_count = 0
        self._steps: dict[int, rows.StepRow] = {}
        self._numbers: dict[int, int] = {}
        self._new: dict[int, rows.StepRow] = {}
        self._seen_once: dict[int, rows.StepRow] = {}
        self._places: dict[int, tuple[_Kind, int, int]] = {}
        self._sorted: dict[_Kind, list[_Entry]] = {}
        self._touched: dict[int, rows.StepRow] = {}
        self._maybe_empty: dict[int, rows.StepRow] = {}
        self._counted: dict[int, tuple[str, int]] = {}
        self._short_cpu: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._steps)

    def __contains__(self, step: rows.StepRow) -> bool:
        return id(step) in self._steps

    def values(self) -> list[rows.StepRow]:
        """Returns all steps."""
        return list(self._steps.values())

    def first(self) -> rows.StepRow:
        """Returns the step that was added first; there has to be one."""
        return next(iter(self._steps.values()))

    def add(self, step: rows.StepRow) -> None:
        """Adds a step; one that was added before keeps its place."""
        key = id(step)
        if key not in self._steps:
            self._added_count += 1
            self._steps[key] = step
            self._numbers[key] = self._added_count
            self._new[key] = step
        self.touch(step)

    def discard(self, step: rows.StepRow) -> None:
        """Removes a step, if it was added."""
        key = id(step)
        if self._steps.pop(key, None) is None:
            return
        del self._numbers[key]
        if self._new.pop(key, None) is None and self._seen_once.pop(key, None) is None:
            kind, cpu_millis, number = self._places.pop(key)
            entries = self._sorted[kind]
            del entries[bisect.bisect_left(entries, (cpu_millis, number))]
            if not entries:
                del self._sorted[kind]
        self.touch(step)

    def touch(self, step: rows.StepRow) -> None:
        """Records that the waiting tasks of a step have changed."""
        self._touched[id(step)] = step
        if not step.waiting:
            self._maybe_empty[id(step)] = step

    def short_cpu(self) -> Mapping[str, int]:
        """Returns the processor time of short waiting tasks by pool, thousandths of a core."""
        for key, step in self._touched.items():
            pool, cpu_millis = self._counted.pop(key, ("", 0))
            if cpu_millis:
                self._short_cpu[pool] -= cpu_millis
            spec = step.step
            if key not in self._steps or spec.long_running or spec.filler:
                continue
            pool, cpu_millis = step.job.queue.pool, len(step.waiting) * spec.cpu_millis
            self._counted[key] = (pool, cpu_millis)
            self._short_cpu[pool] = self._short_cpu.get(pool, 0) + cpu_millis
        self._touched.clear()
        return self._short_cpu

    def drop_empty(self) -> None:
        """Removes the steps without waiting tasks."""
        maybe_empty, self._maybe_empty = self._maybe_empty, {}
        for key, step in maybe_empty.items():
            if not step.waiting and key in self._steps:
                self.discard(step)

    def fitting(
        self, *, free_cpu: Mapping[str, float], leftover_cpu: Mapping[str, float]
    ) -> list[rows.StepRow]:
        """Returns the steps that need at most a pool's processor time, in the order of adding.

        Args:
            free_cpu: Most processor time by pool for a task, thousandths of a core.
            leftover_cpu: The same for a filler.
        """
        for key, step in self._seen_once.items():
            self._insert(key, step)
        self._seen_once, self._new = self._new, {}
        found = [
            (self._numbers[key], step)
            for key, step in self._seen_once.items()
            if step.step.cpu_millis
            <= (leftover_cpu if step.step.filler else free_cpu).get(step.job.queue.pool, -1)
        ]
        for (pool, filler), entries in self._sorted.items():
            limit = (leftover_cpu if filler else free_cpu).get(pool, -1)
            end = bisect.bisect_right(entries, limit, key=_cpu_millis)
            found.extend((number, step) for _, number, step in entries[:end])
        found.sort(key=_number)
        return [step for _, step in found]

    def recount(self) -> None:
        """Sorts and counts all steps anew, after the pools of queues have changed."""
        self._sorted.clear()
        for key, step in self._steps.items():
            if key not in self._new and key not in self._seen_once:
                self._insert(key, step)
            self.touch(step)

    def _insert(self, key: int, step: rows.StepRow) -> None:
        kind, cpu_millis = (step.job.queue.pool, step.step.filler), step.step.cpu_millis
        number = self._numbers[key]
        self._places[key] = (kind, cpu_millis, number)
        bisect.insort(self._sorted.setdefault(kind, []), (cpu_millis, number, step))


def _cpu_millis(entry: _Entry) -> int:
    return entry[0]


def _number(found: tuple[int, rows.StepRow]) -> int:
    return found[0]
