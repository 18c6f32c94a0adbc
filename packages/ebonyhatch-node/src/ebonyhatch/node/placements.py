"""Owners of cells and cells of services, from the ownership record and the instance list."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ebonyhatch.core import configuration
from ebonyhatch.node import instance_view, ownership, routing


class OwnedPlacements(routing.Placements):
    """Placements from the ownership record in the store."""

    def __init__(
        self,
        *,
        owned: ownership.Ownership,
        listed: instance_view.InstanceView,
        in_force: Callable[[], configuration.InForce],
    ) -> None:
        self._owned = owned
        self._listed = listed
        self._in_force = in_force

    def owner_of(self, *, name: str) -> str:
        """Returns the entry that owns a cell; empty when no owner is known."""
        owner = self._owned.owners.get(name)
        return owner.entry_id if owner else ""

    def cells(self) -> Sequence[str]:
        """Returns the names of all cells of the ownership record."""
        return sorted(self._owned.owners)

    def serving(self, *, service: str) -> Sequence[str]:
        """Returns the names of the cells with workers in the failure domains that host a service.

        These are all cells when the configuration names no domains for the service.
        """
        hosting = self._domains_of(service)
        return [name for name in self.cells() if self._hosts(name, hosting)]

    def _domains_of(self, service: str) -> tuple[str, ...]:
        for configured in self._in_force().services:
            if configured.name == service:
                return configured.workers
        return ()

    def _hosts(self, name: str, hosting: tuple[str, ...]) -> bool:
        workers = self._listed.workers_of(name=name)
        return not hosting or any(worker.failure_domain in hosting for worker in workers)
