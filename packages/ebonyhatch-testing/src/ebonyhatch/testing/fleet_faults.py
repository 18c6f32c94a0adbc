"""Faults that are injected into a simulated fleet at fixed times."""

from __future__ import annotations

import dataclasses
import random

from ebonyhatch.testing import fleet, fleet_rows

LOSS_DETECTION_S = 1.0
"""Time until the scheduler is notified of a lost worker, seconds."""

SLOW_WORKER_SPEED = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Times:
    """Times at which the faults start and end, seconds.

    Attributes:
        failing: Span in which one worker rejects every task and request.
        slow_at: When one worker drops to a tenth of its speed.
        hangs_at: When one worker hangs: it accepts work and completes none.
        rack_lost: Span in which all workers of one rack are lost.
        wave: Span in which 60 % of the workers reject 30 % of what they are sent.
        cancel_at: When 5,000 jobs are submitted, and cancelled within the next second.
        end_s: Length of the run.
    """

    failing: tuple[float, float] = (100.0, 220.0)
    slow_at: float = 150.0
    hangs_at: float = 200.0
    rack_lost: tuple[float, float] = (300.0, 420.0)
    wave: tuple[float, float] = (500.0, 520.0)
    cancel_at: float = 560.0
    end_s: float = 620.0


WAVE_WORKER_FRACTION = 0.6
WAVE_START_FAILURE_PROBABILITY = 0.3
CANCELLATIONS = 5000


class Faults:
    """Selects the affected workers and schedules all faults."""

    def __init__(self, *, simulation: fleet.Fleet, seed: int, times: Times) -> None:
        self._fleet = simulation
        self._random = random.Random(f"{seed}-faults")
        self._times = times
        workers = list(simulation.workers.values())
        self.failing, self.slow, self.hanging = self._random.sample(workers, 3)

    def schedule(self) -> None:
        """Schedules all faults."""
        times = self._times
        call_at = self._fleet.call_at
        call_at(times.failing[0], self._set_failing, self.failing, 1.0)
        call_at(times.failing[1], self._set_failing, self.failing, 0.0)
        call_at(times.slow_at, self._slow_down)
        call_at(times.hangs_at, self._hang)
        call_at(times.rack_lost[0], self._lose_rack)
        call_at(times.rack_lost[1], self._return_rack)
        call_at(times.wave[0], self._start_failure_wave)
        call_at(times.wave[1], self._end_failure_wave)
        call_at(times.cancel_at, self._fleet.submit, CANCELLATIONS)
        for number in range(10):
            call_at(times.cancel_at + 0.1 * number, self._fleet.cancel, CANCELLATIONS // 10)

    def _set_failing(self, worker: fleet_rows.SimulatedWorker, probability: float) -> None:
        worker.start_failure_probability = probability

    def _slow_down(self) -> None:
        for task in self.slow.tasks.values():
            self._fleet.advance(task)
        self.slow.speed = SLOW_WORKER_SPEED
        for task in self.slow.tasks.values():
            self._fleet.reschedule(task)

    def _hang(self) -> None:
        for task in self.hanging.tasks.values():
            self._fleet.advance(task)
            task.version += 1
        self.hanging.hung = True

    def _lose_rack(self) -> None:
        for worker in self._rack():
            self._fleet.lose_worker(worker, detected_after_s=LOSS_DETECTION_S)

    def _return_rack(self) -> None:
        for worker in self._rack():
            worker.hung = False
            worker.speed = 1.0
            self._fleet.join(worker)

    def _rack(self) -> list[fleet_rows.SimulatedWorker]:
        workers = list(self._fleet.workers.values())
        return [worker for worker in workers if worker.rack == workers[0].rack]

    def _start_failure_wave(self) -> None:
        workers = list(self._fleet.workers.values())
        count = int(WAVE_WORKER_FRACTION * len(workers))
        for worker in self._random.sample(workers, count):
            worker.start_failure_probability = WAVE_START_FAILURE_PROBABILITY

    def _end_failure_wave(self) -> None:
        for worker in self._fleet.workers.values():
            worker.start_failure_probability = 0.0
