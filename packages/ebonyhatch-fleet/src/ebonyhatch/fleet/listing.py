"""Complete listings of the store, read page by page; a page that fails is read again by itself."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from ebonyhatch.fleet import clocks, decision_log, store
from ebonyhatch.node import coroutines
from returns import result

RETRY_DELAY_S = 0.15
"""Delay before a failed page is read again, seconds; doubles up to `MAX_RETRY_DELAY_S`."""

MAX_RETRY_DELAY_S = 0.6


class Listed(msgspec.Struct, frozen=True, kw_only=True):
    """A complete listing.

    Attributes:
        items: All items under the prefix; the pages are not one snapshot.
        as_of: Revision of the store before the first page was read; a watch from it also reports
            the changes made while later pages were read.
        failures: Number of failed calls.
    """

    items: tuple[store.Item, ...]
    as_of: int
    failures: int


class ListingReader:
    """Reads listings, and keeps the pages that have arrived when a later one fails.

    Starting again with the first page might never end: on a slow link or with a store that often
    fails, some page of each attempt would fail.
    """

    def __init__(
        self,
        *,
        store_port: store.Store,
        all_clocks: clocks.Clocks,
        group: coroutines.CoroutineGroup,
    ) -> None:
        self._store = store_port
        self._clocks = all_clocks
        self._group = group
        self._progressed_at = all_clocks.now()

    @property
    def progressed_at(self) -> float:
        """Time at which a part of a page last arrived, seconds; before the first, of the creation."""
        return self._progressed_at

    async def read(
        self, prefix: str, *, on_first_page: Callable[[int], None] | None = None
    ) -> Listed:
        """Reads all items under a prefix; retries until the group is closed.

        Args:
            prefix: The prefix.
            on_first_page: Called with the listing's revision once the first page has arrived.
        """
        items: list[store.Item] = []
        as_of = pages = failures = 0
        after = ""
        while True:
            page, page_failures = await self._read_page(prefix, after, number=pages + 1)
            failures += page_failures
            items += page.items
            pages += 1
            as_of = as_of or page.as_of
            if pages == 1 and on_first_page is not None:
                on_first_page(as_of)
            if not page.has_more or not page.items:
                return Listed(items=tuple(items), as_of=as_of, failures=failures)
            after = page.items[-1].key

    def _note_progress(self) -> None:
        self._progressed_at = self._clocks.now()

    async def _read_page(
        self, prefix: str, after: str, *, number: int
    ) -> tuple[store.ListingPage, int]:
        failures = 0
        retry_delay_s = RETRY_DELAY_S
        started_at = self._clocks.now()
        while True:
            outcome = await self._store.list_page(
                prefix=prefix, after=after, on_bytes=self._note_progress
            )
            if isinstance(outcome, result.Success):
                page = outcome.unwrap()
                self._note_progress()
                if failures or number > 1 or page.has_more:
                    decision_log.write(
                        "listing.page",
                        prefix=prefix,
                        page=number,
                        items=len(page.items),
                        bytes=sum(len(item.value) for item in page.items),
                        took_s=round(self._clocks.now() - started_at, 3),
                        failures=failures,
                    )
                return page, failures
            failures += 1
            if failures == 1:
                decision_log.write(
                    "listing.retry", prefix=prefix, page=number, reason=str(outcome.failure())
                )
            await self._group.sleep(retry_delay_s)
            retry_delay_s = min(2 * retry_delay_s, MAX_RETRY_DELAY_S)
