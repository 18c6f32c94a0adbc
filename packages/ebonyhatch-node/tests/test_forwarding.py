import collections

from ebonyhatch.core import scheduler
from ebonyhatch.node import forwarding, messages


class Bench:
    def __init__(self, own=()):
        self.now = 0.0
        self.own = own
        self.chooser = forwarding.Chooser(
            clock=lambda: self.now, own_rooms=lambda: self.own, seed=7
        )

    def tell(self, cell, free, wait_s=0.0, queued=0, epoch=1):
        self.chooser.learn(room=room(cell, free, wait_s, queued, epoch))


def room(cell, free, wait_s=0.0, queued=0, epoch=1):
    inner = scheduler.Room(
        free_slots=free, total_slots=32, queued_urgent=queued, wait_s=wait_s, queued_batch=0
    )
    return messages.CellRoom(cell=cell, epoch=epoch, room=inner)


def test_home_first_while_it_has_room():
    bench = Bench(own=(room("home", 1),))
    bench.tell("away", 30)
    assert bench.chooser.choose(names=["home", "away"]) == "home"
    assert bench.chooser.choose(names=["away"]) == "away"
    assert bench.chooser.choose(names=[]) == ""


def test_choices_spread_over_cells_with_room():
    bench = Bench(own=(room("home", 0, wait_s=0.2, queued=3),))
    for cell, free in (("a", 20), ("b", 18), ("c", 16), ("full", 0)):
        bench.tell(cell, free, wait_s=0.5 if not free else 0.0)
    names = ["home", "a", "b", "c", "full"]
    chosen = collections.Counter(bench.chooser.choose(names=names) for _ in range(54))
    assert chosen["full"] == chosen["home"] == 0
    assert dict(chosen) == {"a": 20, "b": 18, "c": 16}


def test_debit_ends_with_a_newer_summary():
    bench = Bench(own=(room("home", 0, wait_s=0.001),))
    bench.tell("a", 1, wait_s=0.5)
    names = ["home", "a"]
    assert [bench.chooser.choose(names=names) for _ in range(2)] == ["a", "home"]
    bench.tell("a", 1)
    assert bench.chooser.choose(names=names) == "a"


def test_old_summaries_and_older_epochs_are_not_believed():
    bench = Bench(own=(room("home", 0, wait_s=9.0),))
    bench.tell("a", 5, epoch=2)
    bench.tell("a", 0, epoch=1, wait_s=99.0)
    assert bench.chooser.choose(names=["home", "a"]) == "a"
    bench.now = forwarding.AGE_LIMIT_S + 1
    assert bench.chooser.choose(names=["home", "a"]) == "home"
    assert bench.chooser.choose(names=["a"]) == "a"
    bench.chooser.keep(names=())
    assert bench.chooser.choose(names=["home", "a"]) == "home"
