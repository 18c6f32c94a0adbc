"""Tasks of a step, with a row only for those that are waiting for a retry or in progress.

A task gets its row when it is first looked at, and loses it when it is done. So the memory of a step
depends on the tasks in progress and not on the number that was submitted.
"""

from __future__ import annotations

import collections
import typing
from collections.abc import Iterable, Iterator

from ebonyhatch.fleet import index_ranges

if typing.TYPE_CHECKING:
    from ebonyhatch.fleet import rows

_NO_TASKS: tuple[rows.TaskRow, ...] = ()


class Tasks:
    """The tasks of a step by index."""

    __slots__ = ("_done", "_rows", "_step")

    def __init__(self, *, step: rows.StepRow) -> None:
        self._step = step
        self._rows: dict[int, rows.TaskRow] = {}
        self._done: index_ranges.IndexRanges | None = None

    def __len__(self) -> int:
        return self._step.step.count

    def __getitem__(self, index: int) -> rows.TaskRow:
        """Returns a task's row; that of a done task is a copy, to which changes have no effect."""
        if not 0 <= index < len(self):
            raise IndexError(index)
        row = self._rows.get(index)
        if row is not None:
            return row
        row = self._step.new_task(index, done=self.is_done(index))
        if not self.is_done(index):
            self._rows[index] = row
            self._step.waiting.add_new(row)
        return row

    def __iter__(self) -> Iterator[rows.TaskRow]:
        return (self[index] for index in range(len(self)))

    @property
    def known(self) -> list[rows.TaskRow]:
        """Rows of the tasks that have one, in the order in which they got it."""
        return list(self._rows.values())

    @property
    def fresh_count(self) -> int:
        """Number of tasks that are not done and have no row."""
        return len(self) - len(self._rows) - self.done_count

    @property
    def done_count(self) -> int:
        """Number of tasks that are done."""
        return 0 if self._done is None else len(self._done)

    @property
    def done(self) -> list[int]:
        """Indexes of the tasks that are done, sorted."""
        return [] if self._done is None else list(self._done)

    def is_done(self, index: int) -> bool:
        """Returns whether a task is done."""
        return self._done is not None and index in self._done

    def mark_done(self, index: int) -> None:
        """Records that a task is done, and drops its row."""
        if self._done is None:
            self._done = index_ranges.IndexRanges()
        self._done.add(index)
        self._rows.pop(index, None)

    def next_fresh(self, index: int) -> int:
        """Returns the first index from the given one on whose task is not done and has no row."""
        while True:
            if index in self._rows:
                index += 1
            elif self._done is not None and index in self._done:
                index = self._done.next_absent(index)
            else:
                return index


class Waiting:
    """Tasks of a step that wait for a target: those with a row first, then those that have none."""

    __slots__ = ("_next_fresh", "_open", "_released_at", "_rows", "_step")

    def __init__(self, *, step: rows.StepRow) -> None:
        self._step = step
        self._rows: collections.deque[rows.TaskRow] | None = None
        self._next_fresh = 0
        self._open = False
        self._released_at = 0.0

    def __len__(self) -> int:
        known = 0 if self._rows is None else len(self._rows)
        return known + (self._step.tasks.fresh_count if self._open else 0)

    def __iter__(self) -> Iterator[rows.TaskRow]:
        while self._open and self._step.tasks.fresh_count:
            self._take_next()
        return iter(self._rows or _NO_TASKS)

    def __getitem__(self, index: int) -> rows.TaskRow:
        while index >= len(self._rows or _NO_TASKS) and self._open:
            if not self._step.tasks.fresh_count:
                break
            self._take_next()
        return (self._rows or _NO_TASKS)[index]

    @property
    def known(self) -> Iterable[rows.TaskRow]:
        """Waiting tasks that have a row; the others have never been placed."""
        return self._rows or _NO_TASKS

    def release(self, *, now: float) -> None:
        """Adds all tasks that are blocked; they wait from `now` on, in seconds."""
        self._open = True
        self._released_at = now
        for row in sorted(self._step.tasks.known, key=lambda row: row.index):
            self.add_new(row)

    def add_new(self, row: rows.TaskRow) -> None:
        """Adds a task that has just got its row, if it is blocked by nothing but a closed step."""
        if self._open and self._step.unblock(row, now=self._released_at):
            self.append(row)

    def append(self, row: rows.TaskRow) -> None:
        """Adds a task behind the others that have a row."""
        if self._rows is None:
            self._rows = collections.deque()
        self._rows.append(row)

    def appendleft(self, row: rows.TaskRow) -> None:
        """Adds a task before all others."""
        if self._rows is None:
            self._rows = collections.deque()
        self._rows.appendleft(row)

    def extend(self, added: Iterable[rows.TaskRow]) -> None:
        """Adds tasks behind the others that have a row."""
        for row in added:
            self.append(row)

    def extendleft(self, added: Iterable[rows.TaskRow]) -> None:
        """Adds tasks before all others, each before the previous one."""
        for row in added:
            self.appendleft(row)

    def popleft(self) -> rows.TaskRow:
        """Removes and returns the first task; there has to be one."""
        if not self._rows:
            self._take_next()
        assert self._rows is not None
        row = self._rows.popleft()
        if not self._rows:
            self._rows = None
        return row

    def remove(self, row: rows.TaskRow) -> None:
        """Removes a task; it has to be waiting."""
        if self._rows is None:
            raise ValueError(row.name)
        self._rows.remove(row)

    def clear(self) -> None:
        """Removes all tasks; those without a row never wait again."""
        self._rows = None
        self._open = self._open and not self._step.tasks.fresh_count

    def _take_next(self) -> None:
        """Gives the next task without a row its row, by which it is added."""
        self._next_fresh = self._step.tasks.next_fresh(self._next_fresh)
        self._step.tasks[self._next_fresh]
