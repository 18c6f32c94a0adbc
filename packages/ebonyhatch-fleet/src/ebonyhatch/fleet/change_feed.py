"""Changes under a prefix of the store, followed in the background and held until they are taken."""

from __future__ import annotations

from ebonyhatch.fleet import store, supervision
from ebonyhatch.node import coroutines
from returns import result
from twisted.internet import defer

WATCH_TIMEOUT_S = 1.5
"""Timeout of one watch, seconds; bounds how long an unresponsive connection hides a cancellation."""

RETRY_DELAY_S = 0.15
"""Delay before a failed watch is repeated, seconds."""


class ChangeFeed:
    """Follows a prefix from `start` until its history is compacted or the group is closed.

    The store keeps its history for some seconds only, so that a watch which begins after a long
    listing would find that the history since the listing's first page is gone.
    """

    def __init__(
        self, *, store_port: store.Store, group: coroutines.CoroutineGroup, prefix: str
    ) -> None:
        self._store = store_port
        self._group = group
        self._prefix = prefix
        self._after = 0
        self._held: list[store.Change] = []
        self._ended = False
        self._arrived: defer.Deferred[None] | None = None

    def start(self, after: int) -> None:
        """Starts to follow the changes after a revision."""
        self._after = after
        supervision.spawn(self._group, f"changes of {self._prefix}", self._follow)

    async def take(self) -> tuple[store.Change, ...]:
        """Waits for changes and returns them; returns none once the history was compacted."""
        while not self._held and not self._ended:
            self._arrived = defer.Deferred()
            await self._arrived
        return self.take_held()

    def take_held(self) -> tuple[store.Change, ...]:
        """Returns the changes that have arrived since the last ones were taken."""
        held, self._held = tuple(self._held), []
        return held

    async def _follow(self) -> None:
        while not self._ended:
            watched = await self._store.watch(
                prefix=self._prefix, after=self._after, wait_s=WATCH_TIMEOUT_S
            )
            if isinstance(watched, result.Success):
                changes = watched.unwrap()
                self._after = changes.as_of
                self._held += changes.changes
            elif isinstance(watched.failure(), store.CompactedError):
                self._ended = True
            else:
                await self._group.sleep(RETRY_DELAY_S)
            self._wake()

    def _wake(self) -> None:
        if self._arrived is None or not (self._held or self._ended):
            return
        arrived, self._arrived = self._arrived, None
        if not arrived.called:
            arrived.callback(None)
