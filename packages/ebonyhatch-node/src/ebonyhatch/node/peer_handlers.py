"""Handlers of the messages that an entry receives from its peers."""

from __future__ import annotations

from typing import Any

from ebonyhatch.node import (
    daemon_view,
    gossip,
    messages,
    peer_cells,
    peers,
    route_choice,
    routing,
)
from twisted.internet import defer

JOB_CALLS = (messages.JobSubmitCall, messages.JobShowCall, messages.JobCancelCall)
TRANSFER_CALLS = (messages.TransferCall, messages.ReleaseCall)


def register(
    *,
    network: peers.PeerNetwork,
    gossiper: gossip.Gossiper,
    chooser: route_choice.RouteChoice,
    router: routing.Router,
    transfer_handler: peer_cells.PeerCells,
    view: daemon_view.DaemonView,
) -> None:
    """Registers the handler of each kind of message with the network."""

    def receive_gossip(sender: str, update: Any) -> None:
        gossiper.receive(sender, update)
        for room in () if update.draining else update.rooms:
            chooser.update_capacity(entry_id=sender, room=room)

    def handle_request(sender: str, call: Any) -> defer.Deferred[Any]:
        return router.handle_request(call=call)

    def handle_job(sender: str, call: Any) -> defer.Deferred[Any]:
        return router.handle_job(call=call)

    def handle_transfer(sender: str, call: Any) -> defer.Deferred[messages.Message]:
        return defer.ensureDeferred(transfer_handler.handle(call=call))

    def handle_explain(sender: str, call: Any) -> messages.Message:
        return view.explain_here(subject_id=call.subject_id)

    network.handle(messages.Gossip, receive_gossip)
    network.handle(messages.RequestCall, handle_request)
    network.handle(messages.ExplainCall, handle_explain)
    for job_kind in JOB_CALLS:
        network.handle(job_kind, handle_job)
    for transfer_kind in TRANSFER_CALLS:
        network.handle(transfer_kind, handle_transfer)
