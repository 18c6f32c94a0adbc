"""What an entry does with the messages of its peers."""

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
    others: peer_cells.PeerCells,
    view: daemon_view.DaemonView,
) -> None:
    """Let the network hand each kind of message to the part that serves it."""

    def heard(sender: str, gossiped: Any) -> None:
        gossiper.hear(sender, gossiped)
        for room in () if gossiped.draining else gossiped.rooms:
            chooser.learn(entry_id=sender, room=room)

    def served(sender: str, call: Any) -> defer.Deferred[Any]:
        return router.handle_request(call=call)

    def about_job(sender: str, call: Any) -> defer.Deferred[Any]:
        return router.handle_job(call=call)

    def transferred(sender: str, call: Any) -> defer.Deferred[messages.Message]:
        return defer.ensureDeferred(others.handle(call=call))

    def explained(sender: str, call: Any) -> messages.Message:
        return view.explain_here(subject_id=call.subject_id)

    network.handle(messages.Gossip, heard)
    network.handle(messages.RequestCall, served)
    network.handle(messages.ExplainCall, explained)
    for kind in JOB_CALLS:
        network.handle(kind, about_job)
    for taken in TRANSFER_CALLS:
        network.handle(taken, transferred)
