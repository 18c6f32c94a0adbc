"""Tests of the choice between own cells and peers' cells."""

from __future__ import annotations

import random

from ebonyhatch.core import scheduler
from ebonyhatch.node import forwarding, messages, route_choice, routing
from twisted.internet import task


class Placements(routing.Placements):
    def __init__(self, **owners):
        self.owners = owners

    def owner_of(self, *, name):
        return self.owners.get(name, "")

    def cells(self):
        return sorted(self.owners)

    def serving(self, *, service):
        return self.cells()


class OwnCell:
    def __init__(self, name, free_slots):
        self.free_slots = free_slots
        self.name = name

    def room(self):
        return cell_room(self.name, self.free_slots)


def cell_room(cell, free_slots, wait_s=1.0):
    return messages.CellRoom(
        cell=cell,
        epoch=1,
        room=scheduler.CapacitySummary(
            free_slots=free_slots,
            total_slots=8,
            queued_urgent=0,
            wait_s=0.0 if free_slots else wait_s,
            queued_batch=0,
        ),
    )


def choice(*, owners, own=()):
    cells = {cell.name: cell for cell in own}
    return route_choice.RouteChoice(
        entry_id="a",
        own_cells=cells,
        placements=Placements(**owners),
        clock=task.Clock(),
        generator=random.Random(1),
    )


def test_prefers_own_cell_with_free_capacity():
    chooser = choice(owners={"c1": "a", "c2": "b"}, own=[OwnCell("c1", 1)])
    chooser.update_capacity(entry_id="b", room=cell_room("c2", 8))
    found = chooser.choose(service="s", tried=())
    assert found == forwarding.Target(entry_id="a", cell="c1")


def test_chooses_a_peer_when_own_cell_is_full():
    chooser = choice(owners={"c1": "a", "c2": "b"}, own=[OwnCell("c1", 0)])
    chooser.update_capacity(entry_id="b", room=cell_room("c2", 8))
    found = chooser.choose(service="s", tried=())
    assert found == forwarding.Target(entry_id="b", cell="c2")


def test_ignores_the_summary_of_an_older_owner():
    chooser = choice(owners={"c1": "a", "c2": "b"}, own=[OwnCell("c1", 0)])
    chooser.update_capacity(entry_id="b", room=cell_room("c1", 8))
    found = chooser.choose(service="s", tried=())
    assert found == forwarding.Target(entry_id="a", cell="c1")
    assert chooser.choose(service="s", tried=("c1",)) == forwarding.Target(entry_id="b", cell="c2")


def test_uses_the_ownership_record_before_any_summary():
    chooser = choice(owners={"c1": "b"})
    assert chooser.choose(service="s", tried=()) == forwarding.Target(entry_id="b", cell="c1")
    assert chooser.choose(service="s", tried=("c1",)) is None
