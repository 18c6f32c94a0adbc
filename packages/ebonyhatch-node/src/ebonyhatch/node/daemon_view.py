"""What operators see of a running entry, gathered from its parts."""

from __future__ import annotations

from collections.abc import Callable

from ebonyhatch.node import (
    admin_view,
    cell_set,
    configuration,
    gossip,
    instance_view,
    ownership,
)
from ebonyhatch.platform import instances


class DaemonView(admin_view.AdminView):
    """Shows a daemon to the administration API; it only reads."""

    def __init__(
        self,
        *,
        entry_id: str,
        configured: configuration.Configuration,
        owned: ownership.Ownership,
        cells: cell_set.CellSet,
        gossiper: gossip.Gossiper,
        listed: instance_view.InstanceView,
        draining: Callable[[], bool],
        warnings: Callable[[], tuple[str, ...]],
    ) -> None:
        self._entry_id = entry_id
        self._configured = configured
        self._owned = owned
        self._cells = cells
        self._gossiper = gossiper
        self._listed = listed
        self._draining = draining
        self._warnings = warnings

    def status(self) -> admin_view.EntryStatus:
        """Summarize the entry as it is now."""
        return admin_view.EntryStatus(
            entry_id=self._entry_id,
            draining=self._draining(),
            store=self._store(),
            cells=tuple(self._cell(name) for name in sorted(self._owned.owners)),
            peers=tuple(self._peer(entry.instance_id) for entry in self._others()),
            warnings=self._warnings(),
        )

    async def explain(self, *, subject_id: str) -> admin_view.Explanation | None:
        """Explain a job, attempt or request that a cell of this entry holds."""
        for name, serving in self._cells.serving.items():
            text = serving.explain(subject_id=subject_id)
            if text:
                return admin_view.Explanation(
                    subject_id=subject_id, entry_id=self._entry_id, cell=name, text=text
                )
        return None

    def _store(self) -> admin_view.StoreStatus:
        age_s = self._configured.age_s
        reachable = self._owned.lease_valid()
        shown = None if age_s == float("inf") else age_s
        return admin_view.StoreStatus(reachable=reachable, age_s=shown)

    def _cell(self, name: str) -> admin_view.CellStatus:
        owner = self._owned.owners[name]
        fault = self._cells.faults.get(name)
        return admin_view.CellStatus(
            name=name,
            owner=owner.entry_id,
            epoch=owner.epoch,
            serving=name in self._cells.serving,
            fault=str(fault) if fault else "",
        )

    def _others(self) -> list[instances.Instance]:
        return [entry for entry in self._listed.entries if entry.instance_id != self._entry_id]

    def _peer(self, entry_id: str) -> admin_view.PeerStatus:
        heard = self._gossiper.newest(entry_id)
        if heard is None:
            return admin_view.PeerStatus(entry_id=entry_id)
        return admin_view.PeerStatus(
            entry_id=entry_id,
            heard_s=self._gossiper.age_s(entry_id),
            generation=heard.gossip.generation,
            draining=heard.gossip.draining,
        )
