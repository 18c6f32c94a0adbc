"""Recovery of a new owner: everything that the owners before it have stored."""

from __future__ import annotations

import msgspec
from ebonyhatch.fleet import change_feed, clocks, decision_log, keys, known_targets, listing, store
from ebonyhatch.node import coroutines
from returns import result


class StoredState(msgspec.Struct, frozen=True, kw_only=True):
    """Stored state of the fleet.

    Attributes:
        intake: Submissions and cancellations.
        as_of: Revision from which a watch reports all later submissions and cancellations.
        changes: The changes from that revision on.
        progress: Encoded progress of jobs, by job id.
        targets: Targets of the last owner.
        grouped_targets: Those of them that are stored in the records of groups.
        former_targets: Whether a record of entries before the groups has to be emptied.
        model: Encoded model that the last owner learned; None if there is none.
    """

    intake: tuple[store.Item, ...]
    as_of: int
    changes: change_feed.ChangeFeed
    progress: dict[str, bytes]
    targets: known_targets.KnownTargets
    grouped_targets: known_targets.KnownTargets
    former_targets: bool
    model: bytes | None


class Recovery:
    """Reads the stored state; a part that has been read is kept when a later one fails."""

    def __init__(
        self,
        *,
        store_port: store.Store,
        all_clocks: clocks.Clocks,
        group: coroutines.CoroutineGroup,
    ) -> None:
        self._store = store_port
        self._group = group
        self._listings = listing.ListingReader(
            store_port=store_port, all_clocks=all_clocks, group=group
        )

    @property
    def progressed_at(self) -> float:
        """Time at which the last page was read, seconds."""
        return self._listings.progressed_at

    async def read_intake(self) -> tuple[listing.Listed, change_feed.ChangeFeed]:
        """Reads all submissions and cancellations; the feed holds the changes made meanwhile."""
        changes = change_feed.ChangeFeed(
            store_port=self._store, group=self._group, prefix=keys.INTAKE
        )
        listed = await self._listings.read(keys.INTAKE, on_first_page=changes.start)
        return listed, changes

    async def read(self) -> StoredState:
        """Reads the whole state; retries until the group is closed."""
        intake, changes = await self.read_intake()
        progress_listed = await self._listings.read(keys.PROGRESS)
        targets_listed = await self._listings.read(keys.TARGETS)
        grouped = known_targets.decode_groups(item.value for item in targets_listed.items)
        former_item = await self._read_key(keys.FORMER_TARGETS)
        former = known_targets.decode_groups(() if former_item is None else (former_item.value,))
        model = await self._read_key(keys.MODEL_SNAPSHOT)
        return StoredState(
            intake=intake.items,
            as_of=intake.as_of,
            changes=changes,
            progress={
                item.key.removeprefix(keys.PROGRESS): item.value for item in progress_listed.items
            },
            targets=known_targets.merge(grouped, former),
            grouped_targets=grouped,
            former_targets=bool(former),
            model=None if model is None else model.value,
        )

    async def _read_key(self, key: str) -> store.Item | None:
        while True:
            outcome = await self._store.get(key=key)
            if isinstance(outcome, result.Success):
                return outcome.unwrap()
            decision_log.write("recovery.retry", reason=str(outcome.failure()))
            await self._group.sleep(listing.RETRY_DELAY_S)
