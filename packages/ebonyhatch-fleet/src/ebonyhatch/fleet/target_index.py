"""Usable targets in the orders that placement needs, updated by the targets that changed."""

from __future__ import annotations

import bisect
import collections
import itertools
from collections.abc import Collection

from ebonyhatch.fleet import rows, tables
from ebonyhatch.fleet.constraints import registry, resource_fit, usable

MAX_RANKINGS = 8
"""Number of rankings that are updated with each change of a target; others are computed anew when
they are needed. Each label and rack of data that steps ask for has a ranking of its own."""

RankingKey = tuple[str, str, str, tuple[str, ...]]
"""Pool, label, rack of data and regions."""

Entry = tuple[float, int, rows.TargetRow]
"""Negative score, position in the table, and target."""


def ranking_key(step: rows.StepRow) -> RankingKey:
    """Returns the key of the ranking that holds for a short step."""
    queue = step.job.queue
    return (queue.pool, step.step.label, step.step.data_rack, queue.regions)


class _Ranking:
    """The targets of a pool, sorted by their scores for one kind of short step."""

    def __init__(
        self, *, step: rows.StepRow, selection: registry.Selection, context: registry.Context
    ) -> None:
        self._step = step
        self._selection = selection
        self._context = context
        self._regions = step.job.queue.regions
        self._costs: dict[int, float] = {}
        self.entries: list[Entry] = []

    def remove(self, position: int) -> None:
        """Removes a target, if the ranking holds it."""
        cost = self._costs.pop(position, None)
        if cost is not None:
            del self.entries[bisect.bisect_left(self.entries, (cost, position))]

    def add(self, position: int, row: rows.TargetRow) -> None:
        """Adds a target, unless it lacks the label or is in another region."""
        label = self._step.step.label
        if label and label not in row.target.labels:
            return
        if self._regions and row.target.region not in self._regions:
            return
        cost = self._costs[position] = -self._selection.score(self._step, row, self._context)
        bisect.insort(self.entries, (cost, position, row))


class _Pool:
    """The usable targets of a pool."""

    def __init__(self) -> None:
        self.members: dict[int, rows.TargetRow] = {}
        self.free_cpu: list[tuple[int, int]] = []
        self.leftover_cpu: list[tuple[float, int]] = []
        self._amounts: dict[int, tuple[int, float]] = {}

    def add(self, position: int, row: rows.TargetRow) -> None:
        """Adds a target."""
        free, leftover = row.free_cpu, resource_fit.leftover_cpu(row)
        self.members[position] = row
        self._amounts[position] = (free, leftover)
        bisect.insort(self.free_cpu, (free, position))
        bisect.insort(self.leftover_cpu, (leftover, position))

    def remove(self, position: int) -> None:
        """Removes a target."""
        free, leftover = self._amounts.pop(position)
        del self.members[position]
        del self.free_cpu[bisect.bisect_left(self.free_cpu, (free, position))]
        del self.leftover_cpu[bisect.bisect_left(self.leftover_cpu, (leftover, position))]


class TargetIndex:
    """Usable targets by pool, with the most free processor time and the rankings of short steps.

    The scores of short steps depend on the observed fields of a target only.
    """

    def __init__(self, *, all_tables: tables.Tables) -> None:
        self._tables = all_tables
        self._changed = all_tables.observe_targets()
        self._positions: dict[int, int] = {}
        self._next_position = 0
        self._pool_names: dict[int, str] = {}
        self._pools: dict[str, _Pool] = {}
        self._closed: dict[int, rows.TargetRow] = {}
        self._rankings: collections.OrderedDict[RankingKey, _Ranking] = collections.OrderedDict()

    def refresh(self, step: rows.StepRow, context: registry.Context) -> None:
        """Applies the changes since the last call; whether a target is usable depends on no step."""
        if self._closed:
            for key, row in list(self._closed.items()):
                if row.closed_until <= context.now:
                    self._changed[key] = row
        for key, row in self._changed.items():
            self._update(key, row, step, context)
        self._changed.clear()

    def pools(self) -> list[str]:
        """Returns the pools with usable targets."""
        return list(self._pools)

    def targets(self, pool: str) -> list[rows.TargetRow]:
        """Returns the usable targets of a pool in the order of the table."""
        if pool not in self._pools:
            return []
        members = self._pools[pool].members
        return [members[position] for position in sorted(members)]

    def targets_with(self, pool: str, *, cpu_millis: int, filler: bool) -> list[rows.TargetRow]:
        """Returns the usable targets that have enough processor time, in the order of the table."""
        if pool not in self._pools:
            return []
        members = self._pools[pool].members
        amounts = self._pools[pool].leftover_cpu if filler else self._pools[pool].free_cpu
        first = bisect.bisect_left(amounts, (cpu_millis, -1))
        positions = sorted(position for _, position in amounts[first:])
        return [members[position] for position in positions]

    def count(self, pool: str) -> int:
        """Returns the number of usable targets of a pool."""
        return len(self._pools[pool].members) if pool in self._pools else 0

    def emptiest(self, pool: str, *, count: int) -> list[rows.TargetRow]:
        """Returns up to `count` targets of a pool, from the one with most free processor time on."""
        if pool not in self._pools:
            return []
        members = self._pools[pool].members
        return [members[position] for _, position in reversed(self._pools[pool].free_cpu[-count:])]

    def some(self, pool: str, *, first: int, count: int) -> list[rows.TargetRow]:
        """Returns up to `count` targets of a pool in no meaningful order, beginning with a number."""
        if pool not in self._pools:
            return []
        members = self._pools[pool].members
        return list(itertools.islice(members.values(), first, first + count))

    def most_free_cpu(self, pool: str) -> float:
        """Returns the most free processor time of a target; -1 without a target."""
        return self._pools[pool].free_cpu[-1][0] if pool in self._pools else -1

    def most_free_cpu_beside(self, pool: str, ignored: Collection[str]) -> float:
        """Returns the most free processor time of a target outside a few; -1 without any."""
        if pool not in self._pools:
            return -1
        members = self._pools[pool].members
        for free_cpu, position in reversed(self._pools[pool].free_cpu):
            if members[position].target_id not in ignored:
                return free_cpu
        return -1

    def most_leftover_cpu(self, pool: str) -> float:
        """Returns the most processor time that fillers could use; -1 without a target."""
        return self._pools[pool].leftover_cpu[-1][0] if pool in self._pools else -1.0

    def ranking(
        self, step: rows.StepRow, selection: registry.Selection, context: registry.Context
    ) -> list[Entry]:
        """Returns a copy of the ranking for a short step, sorted from the best target on."""
        key = ranking_key(step)
        ranking = self._rankings.get(key)
        if ranking is None:
            ranking = _Ranking(step=step, selection=selection, context=context)
            if key[0] in self._pools:
                for position, row in self._pools[key[0]].members.items():
                    ranking.add(position, row)
            self._rankings[key] = ranking
            if len(self._rankings) > MAX_RANKINGS:
                self._rankings.popitem(last=False)
        self._rankings.move_to_end(key)
        return ranking.entries.copy()

    def _update(
        self, key: int, row: rows.TargetRow, step: rows.StepRow, context: registry.Context
    ) -> None:
        self._remove(key)
        self._closed.pop(key, None)
        if self._tables.targets.get(row.target_id) is not row:
            self._positions.pop(key, None)
            return
        position = self._positions.get(key)
        if position is None:
            position = self._positions[key] = self._next_position
            self._next_position += 1
        if row.closed_until > context.now:
            self._closed[key] = row
        if not usable.is_usable(step, row, context):
            return
        name = self._pool_names[key] = row.target.pool
        self._pools.setdefault(name, _Pool()).add(position, row)
        for ranking_key, ranking in self._rankings.items():
            if ranking_key[0] == name:
                ranking.add(position, row)

    def _remove(self, key: int) -> None:
        name = self._pool_names.pop(key, None)
        if name is None:
            return
        position = self._positions[key]
        pool = self._pools[name]
        pool.remove(position)
        if not pool.members:
            del self._pools[name]
        for ranking_key, ranking in self._rankings.items():
            if ranking_key[0] == name:
                ranking.remove(position)
