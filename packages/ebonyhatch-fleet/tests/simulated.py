"""A scheduler on simulated targets with chosen run times, for tests of placement over time."""

from __future__ import annotations

import heapq
import itertools

from ebonyhatch.fleet import commands, jobs, queues, rows, scheduler, targets

TICK_S = 0.05
POLL_S = 0.5

URGENT = queues.Queue(
    name="urgent", host="h", prefix="/u/", pool="p", max_attempts=3, stretch=1.0, slack_s=4.0
)
BATCH = queues.Queue(
    name="batch",
    host="h",
    prefix="/b/",
    pool="p",
    priority=2,
    max_attempts=3,
    stretch=1.0,
    slack_s=60.0,
)


class Fleet:
    """Targets that carry out the commands of a scheduler; each task runs for a chosen time.

    With `lateness` over 1, runs report progress as if they took that part of their time.
    """

    def __init__(
        self, *, policy, target_count=1, cpu_millis=16_000, memory_mb=64_000, labels=(), lateness=1
    ):
        self.now = 100.0
        self.events = []
        self.policy = policy
        self._lateness = lateness
        self._ids = itertools.count(1)
        self._sequence = itertools.count()
        self._run_s = {}
        self._rows = {}
        self._running = {}
        self._ends = []
        self._numbers = {}
        self._polled_at = 0.0
        self._registered = [
            targets.Target(
                target_id=f"t{number}",
                address=f"t{number}:1",
                pool="p",
                failure_domain="a",
                born=1,
                labels=tuple(labels[number]) if number < len(labels) else (),
                cpu_millis=cpu_millis,
                memory_mb=memory_mb,
            )
            for number in range(target_count)
        ]
        self.begin_term(1)

    def begin_term(self, term):
        """Replaces the scheduler by that of a new owner, which reads the jobs and the targets."""
        self.scheduler = scheduler.Scheduler(decide=self._decide, placement_policy=self.policy)
        self.scheduler.begin_term(term)
        self.scheduler.reconciled = self.scheduler.may_place = True
        for target in self._registered:
            row = self.scheduler.set_target(target, now=self.now)
            row.confirmed = row.announced = True
        earlier, self._rows = self._rows, {}
        for row in earlier.values():
            done = {
                (step.index, task.index)
                for steps in row.occurrences.values()
                for step in steps
                for task in step.tasks
                if task.state is rows.TaskState.DONE
            }
            assert not done, "the helper restores jobs without progress only"
            if not row.ended:
                self._add(row.job, row.queue)
        for target_id in list(self._running):
            self._report(target_id, ())

    def submit(self, *, run_s, queue=BATCH, estimate_s=None, count=1, **fields):
        """Submits a job of one step; returns its row. `run_s` is the true run time of a task."""
        step = jobs.Step(
            count=count, estimate_s=run_s if estimate_s is None else estimate_s, **fields
        )
        job = jobs.Job(
            job_id=f"{next(self._ids):016x}",
            queue=queue.name,
            spec="",
            steps=(step,),
            accepted_at=self.now,
        )
        self._run_s[job.job_id] = run_s
        return self._add(job, queue)

    def row(self, target_id):
        """Returns the row of a target."""
        return self.scheduler.tables.targets[target_id]

    def reserved(self):
        """Returns the number of reserved targets."""
        return self.scheduler.gauges()["lookahead_targets_reserved"]

    def logged(self, event):
        """Returns the fields of the logged decisions of one kind."""
        return [fields for name, fields in self.events if name == event]

    def run(self, seconds, *, each_tick=lambda: None, until=lambda: False):
        """Advances until a time has passed or a condition holds; returns whether it holds."""
        end = self.now + seconds
        while self.now < end:
            each_tick()
            self.advance()
            if until():
                return True
        return until()

    def advance(self):
        """Advances by one tick."""
        self.now = round(self.now + TICK_S, 3)
        ended = {}
        while self._ends and self._ends[0][0] <= self.now:
            _, _, target_id, key, kind = heapq.heappop(self._ends)
            if self._running.get(target_id, {}).pop(key, None) is not None:
                number = self._numbers[target_id] = self._numbers.get(target_id, 0) + 1
                ended.setdefault(target_id, []).append(
                    targets.Ended(number=number, key=key, kind=kind)
                )
        polled = self.now - self._polled_at >= POLL_S
        if polled:
            self._polled_at = self.now
        for target_id in list(self.scheduler.tables.targets):
            if target_id in ended or polled:
                self._report(target_id, tuple(ended.get(target_id, ())))
        for command in self.scheduler.tick(now=self.now, wall=self.now):
            self._carry_out(command)
        for row in self.scheduler.tables.targets.values():
            assert min(row.free_cpu, row.free_memory, row.free_accelerators) >= 0

    def lose(self, target_id):
        """Removes a target with all of its runs."""
        self._running.pop(target_id, None)
        self._registered = [one for one in self._registered if one.target_id != target_id]
        row = self.row(target_id)
        self.scheduler.mark_runs_lost(row, why="lease-lapsed", now=self.now)
        self.scheduler.remove_target(row)

    def _add(self, job, queue):
        row = self._rows[job.job_id] = rows.JobRow(job=job, queue=queue)
        self.scheduler.add_job(row, now=self.now, wall=self.now)
        return row

    def _carry_out(self, command):
        if isinstance(command, commands.StopRun):
            entry = (self.now, next(self._sequence), command.target.target_id, command.key)
            heapq.heappush(self._ends, (*entry, targets.EndKind.STOPPED))
        elif isinstance(command, commands.StartRun):
            run = command.run
            run_s = self._run_s[run.task.step.job.job.job_id]
            target_id = run.target.target_id
            self._running.setdefault(target_id, {})[run.key] = (self.now, run_s)
            entry = (self.now + run_s, next(self._sequence), target_id, run.key)
            heapq.heappush(self._ends, (*entry, targets.EndKind.DONE))
            self.scheduler.reconciler.start_confirmed(run, clock_s=self.now, now=self.now)

    def _report(self, target_id, ended):
        running = tuple(
            targets.Running(key=key, percent=self._percent((self.now - began) / run_s))
            for key, (began, run_s) in self._running.get(target_id, {}).items()
        )
        report = targets.StatusReport(clock_s=self.now, born=1, running=running, ended=ended)
        self.scheduler.apply_report(self.row(target_id), report, now=self.now)

    def _percent(self, fraction):
        """Returns the reported progress; late runs slow down at 90%, so that no forecast is right."""
        if self._lateness == 1:
            return min(99.0, 100 * fraction)
        return min(90.0, 90 * self._lateness * fraction) + 9 * fraction

    def _decide(self, event, run, **fields):
        self.events.append((event, fields))


def first_start(row):
    """Returns whether a run of every task of a job has been ordered."""
    return all(task.last_run for steps in row.occurrences.values() for task in steps[0].tasks)
