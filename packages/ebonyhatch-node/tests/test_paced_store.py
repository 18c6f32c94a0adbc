"""The rate of cells' writes is limited; all other calls pass at once."""

from __future__ import annotations

from ebonyhatch.node import paced_store
from ebonyhatch.ports import memory_store
from twisted.internet import task


def test_writes_of_all_cells_together_stay_under_the_limit():
    clock = task.Clock()
    inner = memory_store.MemoryStore(clock=clock)
    paced = paced_store.PacedStore(store_port=inner, clock=clock)
    outcomes = [
        paced.swap(key=f"cell/{number}/log/1", expected_version=0, value=b"x")
        for number in range(40)
    ]
    lease = paced.swap(key="entries/e1", expected_version=0, value=b"x")
    assert lease.called
    for _ in range(20):
        clock.advance(0.1)
    assert inner.engine.counts["swap"] <= 2 * paced_store.WRITES_PER_S + 2
    for _ in range(60):
        clock.advance(0.1)
    assert all(outcome.called for outcome in outcomes)
