"""Follows the operators' requests to evacuate failure domains in the store."""

from __future__ import annotations

import abc
from collections.abc import Callable

from ebonyhatch.fleet import clocks, decision_log, listing, store, supervision
from ebonyhatch.fleet.evacuation import domains
from ebonyhatch.node import coroutines
from returns import result
from twisted.internet import defer

WATCH_TIMEOUT_S = 1.5
"""Timeout of one watch, seconds; bounds how long an unresponsive connection hides a request. With the
margin of the call it leaves half of the 5 s within which starts in the domain have to cease."""

IDLE_WATCH_TIMEOUT_S = 20.0
"""The same on an entry that isn't the owner, seconds: nothing there depends on the requests before its
term begins, and all entries together would otherwise call the store dozens of times a second."""

MAX_REPORTED = 256
"""Maximum number of unreadable keys that are logged; further ones are ignored without a line."""

MAX_LOGGED_CHARACTERS = 80

Watched = result.Result[store.Changes, store.StoreError]
"""Outcome of one watch."""


class Codec(abc.ABC):
    """Location and encoding of the requests: a key for each failure domain under a prefix."""

    @property
    @abc.abstractmethod
    def prefix(self) -> str:
        """Prefix of the keys; the rest of a key is the name of the domain."""

    @abc.abstractmethod
    def problem(self, domain: str, value: bytes) -> str:
        """Returns why a key and its value are no request; empty if they are one."""


class EvacuationRequests:
    """Keeps `domains.Domains` up to date with the store; the last known requests stay in force.

    A request ends only when the store reports that its key is gone. A value that became unreadable
    doesn't end it, as the key is still there.
    """

    def __init__(
        self,
        *,
        store_port: store.Store,
        codec: Codec | None,
        all_clocks: clocks.Clocks,
        group: coroutines.CoroutineGroup,
        is_owner: Callable[[], bool],
        on_change: Callable[[], None],
    ) -> None:
        """Creates the requests.

        Args:
            store_port: The store.
            codec: Location and encoding of the requests; None if the deployment has none.
            all_clocks: Clocks of the process.
            group: Group of the coroutines.
            is_owner: Returns whether this entry acts as the owner.
            on_change: Called after the requests have changed.
        """
        self._store = store_port
        self._codec = codec
        self._is_owner = is_owner
        self._clocks = all_clocks
        self._group = group
        self._on_change = on_change
        self._listings = listing.ListingReader(
            store_port=store_port, all_clocks=all_clocks, group=group
        )
        self._domains = domains.Domains()
        self._announced: dict[str, int] = {}
        self._reported: set[str] = set()
        self._listed = False
        self._reads_required = 1
        self._watching: defer.Deferred[Watched] | None = None

    @property
    def domains(self) -> domains.Domains:
        """The requested domains."""
        return self._domains

    @property
    def listed(self) -> bool:
        """Whether the store has answered a listing that began after the last `read_again`."""
        return self._listed or self._codec is None

    def start(self) -> None:
        """Starts to follow the requests, if the deployment has any."""
        if self._codec is None:
            return
        supervision.spawn(self._group, "evacuation-requests", self._follow)

    def read_again(self) -> None:
        """Lists the requests anew, as a watch that hangs may have hidden some."""
        self._listed = False
        self._reads_required += 1
        if self._watching is not None:
            self._watching.cancel()

    async def _follow(self) -> None:
        while True:
            number = self._reads_required
            listed = await self._listings.read(self._prefix)
            self._apply_listing(listed)
            self._announce()
            if number != self._reads_required:
                continue
            self._listed = True
            await self._watch(listed.as_of)

    async def _watch(self, as_of: int) -> None:
        """Follows the changes until a watch fails; a listing of the few keys costs no more."""
        while self._listed:
            watched = await self._watch_once(as_of)
            if watched is None:
                return
            if isinstance(watched, result.Failure):
                if not isinstance(watched.failure(), store.CompactedError):
                    await self._group.sleep(listing.RETRY_DELAY_S)
                return
            changes = watched.unwrap()
            as_of = changes.as_of
            for change in changes.changes:
                self._apply(change.key, change.item, revision=change.revision)
            self._announce()

    async def _watch_once(self, as_of: int) -> Watched | None:
        """Returns the outcome of one watch; None if a new listing was asked for meanwhile."""
        wait_s = WATCH_TIMEOUT_S if self._is_owner() else IDLE_WATCH_TIMEOUT_S
        call = self._store.watch(prefix=self._prefix, after=as_of, wait_s=wait_s)
        self._watching = defer.Deferred.fromCoroutine(call)
        try:
            return await self._watching
        except defer.CancelledError:
            if self._group.closed:
                raise
            return None
        finally:
            self._watching = None

    def _announce(self) -> None:
        """Calls `on_change` unless it has succeeded with the present requests."""
        requested = dict(self._domains.requested)
        if requested != self._announced:
            self._on_change()
            self._announced = requested

    def _apply_listing(self, listed: listing.Listed) -> None:
        for item in listed.items:
            self._apply(item.key, item, revision=item.revision)
        names = [self._domain(item.key) for item in listed.items]
        self._reported.intersection_update(names)
        self._domains.end_all_except(names, as_of=listed.as_of, now=self._clocks.now())

    def _apply(self, key: str, item: store.Item | None, *, revision: int) -> None:
        domain = self._domain(key)
        if item is None:
            self._reported.discard(domain)
            self._domains.end(domain, revision=revision, now=self._clocks.now())
            return
        problem = self._problem(domain, item.value)
        if problem:
            self._report(domain, problem, revision=revision)
            return
        self._reported.discard(domain)
        self._domains.request(domain, revision=revision)

    def _domain(self, key: str) -> str:
        return key.removeprefix(self._prefix)

    @property
    def _prefix(self) -> str:
        return "" if self._codec is None else self._codec.prefix

    def _problem(self, domain: str, value: bytes) -> str:
        """Returns the codec's verdict; an unexpected error of it must not hide other requests."""
        try:
            return "" if self._codec is None else self._codec.problem(domain, value)
        except Exception as error:
            return f"{type(error).__name__}: {error}"

    def _report(self, domain: str, problem: str, *, revision: int) -> None:
        """Logs an unreadable key once, until it is removed or readable."""
        if domain in self._reported or len(self._reported) >= MAX_REPORTED:
            return
        self._reported.add(domain)
        decision_log.write(
            "evacuation.unreadable",
            domain=domain[:MAX_LOGGED_CHARACTERS],
            revision=revision,
            reason=problem[:MAX_LOGGED_CHARACTERS],
        )
