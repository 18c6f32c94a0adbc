"""State of a running entry for operators, collected from its components."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ebonyhatch.core import views
from ebonyhatch.node import (
    admin_view,
    cell_set,
    gossip,
    instance_view,
    messages,
    ownership,
    peers,
    store_health,
)
from ebonyhatch.ports import instances
from returns import result

EXPLAIN_TIMEOUT_S = 2.0


class DaemonView(admin_view.AdminView):
    """Read-only view of a daemon for the administration API."""

    def __init__(
        self,
        *,
        entry_id: str,
        owned: ownership.Ownership,
        cells: cell_set.CellSet,
        gossiper: gossip.Gossiper,
        listed: instance_view.InstanceView,
        network: peers.PeerNetwork,
        health: store_health.StoreHealth,
        draining: Callable[[], bool],
        warnings: Callable[[], tuple[str, ...]],
    ) -> None:
        self._entry_id = entry_id
        self._ownership = owned
        self._cells = cells
        self._gossiper = gossiper
        self._instance_view = listed
        self._network = network
        self._health = health
        self._draining = draining
        self._warnings = warnings

    def status(self) -> admin_view.EntryStatus:
        """Returns a summary of the current state of the entry."""
        cell_views = {name: serving.view() for name, serving in self._cells.serving.items()}
        workers = [_worker(name, row) for name, view in cell_views.items() for row in view.workers]
        parked = [_parked(name, row) for name, view in cell_views.items() for row in view.parked]
        limit = admin_view.MAX_ROWS
        return admin_view.EntryStatus(
            entry_id=self._entry_id,
            draining=self._draining(),
            store=admin_view.StoreStatus(
                reachable=self._health.reachable, age_s=self._health.age_s
            ),
            cells=tuple(self._cell(name) for name in sorted(self._ownership.owners)),
            workers=tuple(workers[:limit]),
            worker_count=len(workers),
            queues=merge_queues(cell_views.values()),
            parked=tuple(parked[:limit]),
            parked_count=len(parked),
            peers=tuple(self._peer(entry.instance_id) for entry in self._other_entries()),
            warnings=self._warnings(),
        )

    async def explain(self, *, subject_id: str) -> admin_view.Explanation | None:
        """Returns the scheduler's explanation of the state of a job, attempt or request.

        It comes from this entry, or else from the first other entry that answers and knows the
        subject; None if none does.
        """
        own = self.explain_here(subject_id=subject_id)
        if own.text:
            return self._explanation(subject_id, self._entry_id, own)
        for entry in self._other_entries():
            reply = await self._ask(entry.instance_id, subject_id)
            if reply.text:
                return self._explanation(subject_id, entry.instance_id, reply)
        return None

    def explain_here(self, *, subject_id: str) -> messages.ExplainReply:
        """Returns the explanation of a cell of this entry; empty when no cell knows the subject."""
        for name, serving in self._cells.serving.items():
            text = serving.explain(subject_id=subject_id)
            if text:
                return messages.ExplainReply(cell=name, text=text)
        return messages.ExplainReply()

    async def _ask(self, entry_id: str, subject_id: str) -> messages.ExplainReply:
        call = messages.ExplainCall(subject_id=subject_id)
        outcome = await self._network.call(
            entry_id=entry_id, message=call, timeout_s=EXPLAIN_TIMEOUT_S
        )
        match outcome:
            case result.Success(messages.ExplainReply() as reply):
                return reply
        return messages.ExplainReply()

    def _explanation(
        self, subject_id: str, entry_id: str, reply: messages.ExplainReply
    ) -> admin_view.Explanation:
        return admin_view.Explanation(
            subject_id=subject_id, entry_id=entry_id, cell=reply.cell, text=reply.text
        )

    def _cell(self, name: str) -> admin_view.CellStatus:
        owner = self._ownership.owners[name]
        fault = self._cells.faults.get(name)
        return admin_view.CellStatus(
            name=name,
            owner=owner.entry_id,
            epoch=owner.epoch,
            serving=name in self._cells.serving,
            fault=str(fault) if fault else "",
        )

    def _other_entries(self) -> list[instances.Instance]:
        return [
            entry for entry in self._instance_view.entries if entry.instance_id != self._entry_id
        ]

    def _peer(self, entry_id: str) -> admin_view.PeerStatus:
        received = self._gossiper.newest(entry_id)
        if received is None:
            return admin_view.PeerStatus(entry_id=entry_id)
        return admin_view.PeerStatus(
            entry_id=entry_id,
            heard_s=self._gossiper.age_s(entry_id),
            generation=received.gossip.generation,
            draining=received.gossip.draining,
        )


def merge_queues(cell_views: Iterable[views.View]) -> tuple[admin_view.QueueStatus, ...]:
    """Sums the queues of several cells by class; the oldest waiting time is their maximum."""
    waiting: dict[str, int] = {}
    oldest: dict[str, float] = {}
    for view in cell_views:
        for row in view.queues:
            waiting[row.work_class] = waiting.get(row.work_class, 0) + row.waiting
            oldest[row.work_class] = max(oldest.get(row.work_class, 0.0), row.oldest_s)
    return tuple(
        admin_view.QueueStatus(work_class=name, waiting=count, oldest_s=oldest[name])
        for name, count in sorted(waiting.items())
    )


def _worker(cell: str, row: views.WorkerView) -> admin_view.WorkerStatus:
    return admin_view.WorkerStatus(
        worker_id=row.worker_id,
        cell=cell,
        health=row.health,
        capacity=row.capacity,
        reserved=row.reserved,
        measured_age_s=row.load_age_s,
    )


def _parked(cell: str, row: views.ParkedView) -> admin_view.ParkedJob:
    return admin_view.ParkedJob(job_id=row.job_id, cell=cell, reason=row.reason)
