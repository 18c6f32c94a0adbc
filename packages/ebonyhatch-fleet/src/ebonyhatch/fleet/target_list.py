"""Which targets there are, by what they register in the store."""

from __future__ import annotations

import abc
from collections.abc import Callable

from ebonyhatch.fleet import decision_log, store, targets
from ebonyhatch.node import coroutines
from returns import result

WATCH_S = 3.0
"""Longest wait of one watch, seconds."""

RETRY_S = 0.15
"""Wait after a call to the store that was not done, seconds."""

RETURN_S = 2.2
"""Time after the store's return in which entries that lapsed meanwhile come back, seconds."""


class Registry(abc.ABC):
    """Where and how targets register."""

    @property
    @abc.abstractmethod
    def prefix(self) -> str:
        """Prefix of their keys."""

    @abc.abstractmethod
    def decode(self, item: store.Item) -> targets.Target | None:
        """Read an entry; None, after a log line, where it names no target to use."""


class TargetList:
    """Follows the registered targets; one that vanished in an outage is kept for a while."""

    def __init__(
        self,
        *,
        store_port: store.Store,
        registry: Registry,
        group: coroutines.CoroutineGroup,
        on_change: Callable[[dict[str, targets.Target]], None],
    ) -> None:
        self._store = store_port
        self._registry = registry
        self._group = group
        self._on_change = on_change
        self._listed: dict[str, targets.Target] = {}
        self._expected: dict[str, targets.Target] = {}
        self._known = False
        self._failed = False

    @property
    def known(self) -> bool:
        """Whether the list was read at least once."""
        return self._known

    def start(self) -> None:
        """Begin to follow."""
        self._group.spawn(self._follow())

    def expect(self, before: dict[str, targets.Target]) -> None:
        """Take in the targets that the last owner knew; those that aren't listed may come back."""
        missing = {name: before[name] for name in before if name not in self._listed}
        if missing and self._known:
            self._keep_for_a_while(missing)
            self._on_change(dict(self._listed))
        self._expected = {} if self._known else dict(before)

    def _keep_for_a_while(self, missing: dict[str, targets.Target]) -> None:
        self._listed.update(missing)
        self._group.spawn(self._forget_later(missing))

    async def _follow(self) -> None:
        while True:
            listed = await self._store.list(prefix=self._registry.prefix)
            if isinstance(listed, result.Failure):
                self._failed = True
                await self._group.sleep(RETRY_S)
                continue
            listing = listed.unwrap()
            kept = {**self._expected, **(self._listed if self._failed else {})}
            self._expected = {}
            self._listed = {}
            for item in listing.items:
                self._take(item.key, item)
            missing = {name: kept[name] for name in kept if name not in self._listed}
            if missing:
                self._keep_for_a_while(missing)
            self._failed = False
            self._known = True
            self._on_change(dict(self._listed))
            await self._watch(listing.as_of)

    async def _forget_later(self, missing: dict[str, targets.Target]) -> None:
        """Give entries that lapsed in an outage the time in which they come back."""
        decision_log.write("targets.missing_after_outage", targets=sorted(missing))
        await self._group.sleep(RETURN_S)
        for name, target in missing.items():
            if self._listed.get(name) is target:
                del self._listed[name]
        self._on_change(dict(self._listed))

    async def _watch(self, as_of: int) -> None:
        while True:
            watched = await self._store.watch(
                prefix=self._registry.prefix, after=as_of, wait_s=WATCH_S
            )
            if isinstance(watched, result.Failure):
                self._failed = not isinstance(watched.failure(), store.CompactedError)
                return
            changes = watched.unwrap()
            as_of = changes.as_of
            for change in changes.changes:
                self._take(change.key, change.item)
            if changes.changes:
                self._on_change(dict(self._listed))

    def _take(self, key: str, item: store.Item | None) -> None:
        name = key.removeprefix(self._registry.prefix)
        target = None if item is None else self._registry.decode(item)
        if target is None:
            if self._listed.pop(name, None) is not None:
                decision_log.write("target.unlisted", target=name, gone=item is None)
            return
        before = self._listed.get(name)
        if before is None or (before.draining, before.born) != (target.draining, target.born):
            decision_log.write(
                "target.listed",
                target=name,
                born=target.born,
                draining=target.draining,
                revision=0 if item is None else item.revision,
            )
        self._listed[name] = target
