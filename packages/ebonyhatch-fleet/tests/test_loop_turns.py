from __future__ import annotations

import pytest
from ebonyhatch.fleet import loop_turns
from twisted.internet import defer


class _Group:
    """Notes after how many items the loop was let go on."""

    def __init__(self) -> None:
        self.applied = 0
        self.turns: list[int] = []

    async def sleep(self, seconds: float) -> None:
        assert seconds == 0.0
        self.turns.append(self.applied)


@pytest.mark.parametrize(
    ("size_bytes", "per_turn"),
    [(0, loop_turns.ITEMS_PER_TURN), (loop_turns.BYTES_PER_TURN // 4, 4), (10**6, 1)],
)
def test_work_is_divided_by_the_number_and_the_size_of_its_items(size_bytes, per_turn):
    """Guards against a recovery that holds the loop, so that the new owner loses its lease."""
    group = _Group()
    turns = loop_turns.Turns(group=group)

    async def work() -> None:
        for _ in range(60):
            group.applied += 1
            await turns.note(size_bytes=size_bytes)

    defer.Deferred.fromCoroutine(work())
    assert group.applied == 60
    assert group.turns == list(range(per_turn, 61, per_turn))
