"""The list of targets, by their registrations in the store."""

from __future__ import annotations

import abc
from collections.abc import Callable

from ebonyhatch.fleet import clocks, decision_log, listing, store, supervision, targets
from ebonyhatch.node import coroutines
from returns import result

WATCH_TIMEOUT_S = 1.5
"""Timeout of one watch, seconds; bounds how long an unresponsive connection hides that a target
drains or that its capacity has shrunk."""

REREGISTRATION_S = 2.2
"""Time after the store's return within which registrations that expired in the outage are expected
to reappear, seconds."""


class TargetCodec(abc.ABC):
    """Where targets register in the store, and how their registrations are decoded."""

    @property
    @abc.abstractmethod
    def prefix(self) -> str:
        """Prefix of the keys of registrations."""

    @abc.abstractmethod
    def decode(self, item: store.Item) -> targets.Target | None:
        """Decodes a registration; returns None, after a log line, if it names no usable target."""


class TargetList:
    """Follows the registered targets.

    A target whose registration disappeared in an outage of the store is retained for a while.
    """

    def __init__(
        self,
        *,
        store_port: store.Store,
        target_codec: TargetCodec,
        all_clocks: clocks.Clocks,
        group: coroutines.CoroutineGroup,
        on_change: Callable[[dict[str, targets.Target]], None],
    ) -> None:
        self._store = store_port
        self._listings = listing.ListingReader(
            store_port=store_port, all_clocks=all_clocks, group=group
        )
        self._target_codec = target_codec
        self._group = group
        self._on_change = on_change
        self._listed: dict[str, targets.Target] = {}
        self._expected: dict[str, targets.Target] = {}
        self._loaded = False
        self._failed = False

    @property
    def loaded(self) -> bool:
        """Whether the list was read at least once."""
        return self._loaded

    def start(self) -> None:
        """Starts following the registrations."""
        supervision.spawn(self._group, "targets", self._follow)

    def restore_known(self, before: dict[str, targets.Target]) -> None:
        """Adds the targets that the last owner knew; unregistered ones are retained for a while."""
        missing = {name: before[name] for name in before if name not in self._listed}
        if missing and self._loaded:
            self._retain_temporarily(missing)
            self._on_change(dict(self._listed))
        self._expected = {} if self._loaded else dict(before)

    def _retain_temporarily(self, missing: dict[str, targets.Target]) -> None:
        self._listed.update(missing)
        self._group.spawn(self._remove_later(missing))

    async def _follow(self) -> None:
        while True:
            listed = await self._listings.read(self._target_codec.prefix)
            self._failed = self._failed or listed.failures > 0
            retained = {**self._expected, **(self._listed if self._failed else {})}
            self._expected = {}
            self._listed = {}
            for item in listed.items:
                self._apply(item.key, item)
            missing = {name: retained[name] for name in retained if name not in self._listed}
            if missing:
                self._retain_temporarily(missing)
            self._failed = False
            self._loaded = True
            self._on_change(dict(self._listed))
            await self._watch(listed.as_of)

    async def _remove_later(self, missing: dict[str, targets.Target]) -> None:
        """Removes targets whose registrations expired in an outage and have not reappeared."""
        decision_log.write("targets.missing_after_outage", targets=sorted(missing))
        await self._group.sleep(REREGISTRATION_S)
        for name, target in missing.items():
            if self._listed.get(name) is target:
                del self._listed[name]
        self._on_change(dict(self._listed))

    async def _watch(self, as_of: int) -> None:
        """Follows the changes until the history is compacted, since a new listing is expensive."""
        while True:
            watched = await self._store.watch(
                prefix=self._target_codec.prefix, after=as_of, wait_s=WATCH_TIMEOUT_S
            )
            if isinstance(watched, result.Failure):
                if isinstance(watched.failure(), store.CompactedError):
                    return
                self._failed = True
                await self._group.sleep(listing.RETRY_DELAY_S)
                continue
            changes = watched.unwrap()
            as_of = changes.as_of
            retained = dict(self._listed) if self._failed else {}
            changed = [self._apply(change.key, change.item) for change in changes.changes]
            missing = {name: retained[name] for name in retained if name not in self._listed}
            if missing:
                self._retain_temporarily(missing)
            self._failed = False
            # Heartbeats of targets write registrations that hold nothing new.
            if any(changed):
                self._on_change(dict(self._listed))

    def _decode(self, name: str, item: store.Item) -> targets.Target | None:
        """Decodes a registration; an unexpected error must not hide the other targets."""
        try:
            return self._target_codec.decode(item)
        except Exception as error:
            decision_log.write(
                "target.unreadable", target=name, reason=f"{type(error).__name__}: {error}"
            )
            return None

    def _apply(self, key: str, item: store.Item | None) -> bool:
        """Applies a registration or its removal; returns whether the list has changed."""
        name = key.removeprefix(self._target_codec.prefix)
        target = None if item is None else self._decode(name, item)
        if target is None:
            if self._listed.pop(name, None) is None:
                return False
            decision_log.write("target.unlisted", target=name, gone=item is None)
            return True
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
        return target != before
