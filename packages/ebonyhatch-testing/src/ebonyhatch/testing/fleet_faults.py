"""The faults of the bench, laid on a fleet at their times."""

from __future__ import annotations

import dataclasses
import random

from ebonyhatch.testing import fleet, fleet_rows

DETECTION_S = 1.0
"""Time after which the loss of a worker is known."""

SLOW_SPEED = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Times:
    """When each fault begins and ends, seconds."""

    fails: tuple[float, float] = (100.0, 220.0)
    slow_at: float = 150.0
    hangs_at: float = 200.0
    rack_gone: tuple[float, float] = (300.0, 420.0)
    wave: tuple[float, float] = (500.0, 520.0)
    cancel_at: float = 560.0
    end_s: float = 620.0


WAVE_WORKERS_SHARE = 0.6
WAVE_FAILED_SHARE = 0.3
CANCELLATIONS = 5000


class Faults:
    """Chooses the workers that are hit and schedules all faults."""

    def __init__(self, *, ran: fleet.Fleet, seed: int, times: Times) -> None:
        self._fleet = ran
        self._source = random.Random(f"{seed}-faults")
        self._times = times
        workers = list(ran.workers.values())
        self.failing, self.slow, self.hanging = self._source.sample(workers, 3)

    def schedule(self) -> None:
        """Schedule all faults."""
        times = self._times
        at = self._fleet.at
        at(times.fails[0], self._set_failing, self.failing, 1.0)
        at(times.fails[1], self._set_failing, self.failing, 0.0)
        at(times.slow_at, self._slow_down)
        at(times.hangs_at, self._hang)
        at(times.rack_gone[0], self._lose_rack)
        at(times.rack_gone[1], self._return_rack)
        at(times.wave[0], self._wave)
        at(times.wave[1], self._calm)
        at(times.cancel_at, self._fleet.submit, CANCELLATIONS)
        for number in range(10):
            at(times.cancel_at + 0.1 * number, self._fleet.cancel, CANCELLATIONS // 10)

    def _set_failing(self, worker: fleet_rows.SimulatedWorker, share: float) -> None:
        worker.fails_starts = share

    def _slow_down(self) -> None:
        for task in self.slow.tasks.values():
            self._fleet.advance(task)
        self.slow.speed = SLOW_SPEED
        for task in self.slow.tasks.values():
            self._fleet.reschedule(task)

    def _hang(self) -> None:
        for task in self.hanging.tasks.values():
            self._fleet.advance(task)
            task.version += 1
        self.hanging.hangs = True

    def _lose_rack(self) -> None:
        for worker in self._rack():
            self._fleet.lose_worker(worker, detected_after_s=DETECTION_S)

    def _return_rack(self) -> None:
        for worker in self._rack():
            worker.hangs = False
            worker.speed = 1.0
            self._fleet.join(worker)

    def _rack(self) -> list[fleet_rows.SimulatedWorker]:
        workers = list(self._fleet.workers.values())
        return [worker for worker in workers if worker.rack == workers[0].rack]

    def _wave(self) -> None:
        workers = list(self._fleet.workers.values())
        count = int(WAVE_WORKERS_SHARE * len(workers))
        for worker in self._source.sample(workers, count):
            worker.fails_starts = WAVE_FAILED_SHARE

    def _calm(self) -> None:
        for worker in self._fleet.workers.values():
            worker.fails_starts = 0.0
