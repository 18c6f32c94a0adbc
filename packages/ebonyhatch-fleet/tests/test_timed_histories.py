"""Randomized histories of timed jobs whose owners end, and whose clocks differ."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st
import test_histories as histories
import world as world_module
from ebonyhatch.fleet import clocks, jobs

LAG_S = 5.0
"""Largest time by which the clock of an entry is behind, seconds."""

COMPLETION_S = 60.0
"""Time after the last fault within which every job has to be done, seconds."""

EARLY_S = 0.25
"""Time by which an occurrence may start before it is due, seconds."""

KINDS = (
    "submit_timed",
    "submit_timed",
    "kill_owner",
    "kill_owner",
    "kill_owner_at_a_start",
    "kill_owner_at_a_start",
    "hand_over",
    "suspend_owner",
    "partition_owner",
    "set_clock_back",
    "make_store_unresponsive",
    "lose_answers",
    "refuse_all",
    "target_partitioned",
    "target_crashes",
    "target_delays_orders",
    "configure",
    "compact",
    "clear_faults",
)

EVENTS = st.lists(
    st.builds(
        histories.Event,
        kind=st.sampled_from(KINDS),
        which=st.integers(min_value=0, max_value=7),
        wait_s=st.sampled_from((0.02, 0.2, 0.7, 1.6, 3.0)),
    ),
    min_size=4,
    max_size=16,
)

STEPS = (
    (jobs.Step(count=1, cpu_millis=500, estimate_s=0.6),),
    (
        jobs.Step(count=2, cpu_millis=300, estimate_s=0.4),
        jobs.Step(count=1, cpu_millis=300, estimate_s=0.4, after=(0,)),
    ),
    (jobs.Step(count=2, cpu_millis=300, estimate_s=0.6, gang=True),),
    (jobs.Step(count=2, cpu_millis=300, estimate_s=0.6, filler=True),),
    (jobs.Step(count=1, cpu_millis=500, estimate_s=2.0, checkpoints=True),),
)
WORK_S = (0.6, 0.4, 0.6, 0.6, 2.0)
OCCURRENCES = (3, 24, 60)
INTERVALS_S = (0.05, 0.3)


class TimedHistory(histories.History):
    """Applies events to a world with timed jobs."""

    def _submit_timed(self, event: histories.Event) -> None:
        member = self._member(event)
        if member is None:
            return
        kind = event.which % len(STEPS)
        job = self.world.timed(
            self.world.job(*STEPS[kind], work_s=WORK_S[kind]),
            occurrences=OCCURRENCES[event.which % len(OCCURRENCES)],
            interval_s=INTERVALS_S[event.which % len(INTERVALS_S)],
        )
        self.world.submit(job, at=member.name)

    def _kill_owner_at_a_start(self, event: histories.Event) -> None:
        """Kills the owner right after a later start, before the journal holds what it follows from."""
        starts = self._started()
        for _ in range(200):
            if self._started() > starts + event.which:
                break
            self.world.run(self.world.step_s)
        self._kill(self.world.owner)

    def _started(self) -> int:
        return sum(len(engine.started) for engine in self.world.engines.values())

    def _set_clock_back(self, event: histories.Event) -> None:
        member = self._member(event)
        if member is not None:
            member.clocks.wall_offset_s = -LAG_S

    def _clear_faults(self, event: histories.Event | None) -> None:
        super()._clear_faults(event)
        for member in self.world.members.values():
            member.clocks.wall_offset_s = 0.0


def _check_due_times(world: world_module.World) -> None:
    for job in world.accepted.values():
        for at, name, _, _ in world.starts(job.job_id):
            due_at = job.first_at + int(name.split(".")[1]) * job.interval_s
            assert clocks.WALL_START_S + at >= due_at - EARLY_S, f"{name} started too early"


def _check(world: world_module.World) -> None:
    world_module.check_owner_has_a_lease(world)
    world_module.check_single_execution(world)
    world_module.check_run_numbers_increase(world)
    _check_due_times(world)


def check(events: list[histories.Event]) -> None:
    """Applies a history of timed jobs, and checks after each event and again at the end."""
    history = TimedHistory()
    world = history.world
    for event in events:
        history.apply(event)
        _check(world)
    history.clear_faults()

    def all_ended() -> bool:
        return all(world.state(job_id) in ("completed", "failed") for job_id in world.accepted)

    world.run_until(all_ended, limit_s=COMPLETION_S)
    for job_id in world.accepted:
        if world.state(job_id) == "failed":
            assert histories.most_crashes_under_a_task(world, job_id) >= 2
    world.run(2.0)
    _check(world)


@histories.SETTINGS
@hypothesis.given(EVENTS)
def test_what_always_holds_holds_in_drawn_histories_of_timed_jobs(events):
    """Guards against occurrences that the next owner doesn't know or starts again."""
    check(events)


def test_history_that_started_a_done_occurrence_again_passes():
    """Guards against an end that is acknowledged while the clock of its reader is behind."""
    events = (
        ("clear_faults", 0, 0.2),
        ("set_clock_back", 3, 0.2),
        ("lose_answers", 4, 1.6),
        ("submit_timed", 2, 0.02),
        ("hand_over", 7, 0.02),
        ("kill_owner_at_a_start", 5, 0.02),
        ("partition_owner", 5, 0.2),
        ("configure", 1, 1.6),
        ("submit_timed", 5, 0.7),
        ("suspend_owner", 2, 0.7),
        ("kill_owner_at_a_start", 4, 0.7),
    )
    check(
        [histories.Event(kind=kind, which=which, wait_s=wait_s) for kind, which, wait_s in events]
    )
