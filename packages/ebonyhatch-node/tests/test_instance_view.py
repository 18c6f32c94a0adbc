"""Cells and failure domains derived from the list of instances."""

from __future__ import annotations

from ebonyhatch.node import instance_view
from ebonyhatch.ports import instances, memory_instances
from twisted.internet import task


def worker(number, state=instances.InstanceState.LIVE):
    return instances.Instance(
        instance_id=f"w{number}",
        role=instances.Role.WORKER,
        state=state,
        host="127.0.0.1",
        port=1,
        region="r",
        failure_domain=f"d{number % 2}",
        rack="k",
    )


class Bench:
    def __init__(self, cells_per_domain):
        self.clock = task.Clock()
        self.cells_per_domain = cells_per_domain
        self.port = memory_instances.MemoryInstances(clock=self.clock)
        self.changes = 0
        for number in range(8):
            self.port.directory.put(worker(number))
        self.view = instance_view.InstanceView(
            port=self.port,
            clock=self.clock,
            cells_per_domain=lambda: self.cells_per_domain,
            on_change=self._changed,
        )
        self.view.start()
        self.run()

    def _changed(self):
        self.changes += 1

    def run(self):
        for _ in range(30):
            self.clock.advance(0.1)

    def grouped(self):
        return sorted(
            item.instance_id for name in self.view.cells for item in self.view.workers_of(name=name)
        )


def test_each_worker_is_in_one_cell_of_its_domain():
    bench = Bench(cells_per_domain=2)
    assert bench.grouped() == sorted(f"w{number}" for number in range(8))
    assert bench.view.domains == ("d0", "d1")


def test_no_cells_until_their_number_is_known_to_all_entries():
    bench = Bench(cells_per_domain=0)
    assert bench.view.cells == () and bench.view.domains == ("d0", "d1")
    bench.cells_per_domain = 1
    bench.run()
    assert bench.view.cells == ("d0.0", "d1.0")


def test_keeps_the_list_while_it_cannot_be_read_and_reports_changes_only():
    bench = Bench(cells_per_domain=1)
    before = bench.changes
    bench.run()
    assert bench.changes == before
    bench.port.faults.down = True
    bench.run()
    assert bench.view.failures and len(bench.grouped()) == 8
    bench.port.faults.down = False
    bench.port.directory.put(worker(0, instances.InstanceState.LEAVING))
    bench.run()
    assert bench.changes == before + 1 and not bench.view.failures
