"""Look-ahead placement: wide work gets its turn beside small work, whatever the forecasts say."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st
import pytest
import simulated
from ebonyhatch.fleet import rows, run_times, tables
from ebonyhatch.fleet.lookahead import forecast, policy, reservations

URGENT, BATCH = simulated.URGENT, simulated.BATCH


def _feed(fleet, *, cores=4, run_s=1.0, waiting=8, queue=BATCH, **fields):
    """Returns a function that keeps small tasks waiting, so that they fill each gap."""

    def feed():
        steps = fleet.scheduler.tables.waiting.values()
        small = sum(len(step.waiting) for step in steps if step.step.image == "small")
        if small < waiting:
            fleet.submit(
                run_s=run_s,
                queue=queue,
                count=waiting,
                cpu_millis=1_000 * cores,
                memory_mb=1_000,
                image="small",
                **fields,
            )

    return feed


# A stream that comes before the wide step in the order of placement, as its jobs have less slack.
HURRIED = simulated.queues.Queue(
    name="hurried",
    host="h",
    prefix="/h/",
    pool="p",
    priority=2,
    max_attempts=3,
    stretch=1.0,
    slack_s=8.0,
)

WIDE = {
    "processor": {"cpu_millis": 16_000},
    "memory": {"cpu_millis": 1_000, "memory_mb": 62_000},
    "gang": {"count": 3, "gang": True, "cpu_millis": 12_000},
    "label": {"cpu_millis": 5_000, "label": "disk"},
}


def _contended(policy_name, *, target_count=8):
    fleet = simulated.Fleet(policy=policy_name, target_count=target_count, labels=[["disk"]])
    # Different lengths, so that a target is never empty by chance.
    feeds = [
        _feed(fleet, cores=3, run_s=run_s, waiting=24, queue=HURRIED) for run_s in (0.7, 1.1, 1.6)
    ]

    def feed():
        for one in feeds:
            one()

    fleet.run(3.0, each_tick=feed)
    return fleet, feed


@pytest.mark.parametrize("kind", WIDE)
def test_wide_step_starts_beside_an_endless_stream_of_small_tasks(kind):
    """Guards against starvation: small tasks leave gaps on all targets that it can't use."""
    fleet, feed = _contended("look-ahead")
    row = fleet.submit(run_s=3.0, **WIDE[kind])
    assert fleet.run(12.0, each_tick=feed, until=lambda: simulated.first_start(row))


@pytest.mark.parametrize("kind", ["processor", "memory", "gang"])
def test_load_starves_a_wide_step_without_reservations(kind):
    """Shows that the load of the test above is one for which reservations are needed."""
    fleet, feed = _contended("greedy")
    row = fleet.submit(run_s=3.0, **WIDE[kind])
    assert not fleet.run(12.0, each_tick=feed, until=lambda: simulated.first_start(row))


def test_small_task_bound_to_few_targets_by_its_label_holds_one_of_them():
    fleet = simulated.Fleet(policy="look-ahead", target_count=8, labels=[["disk"]])
    fleet.submit(run_s=4.0, count=24, cpu_millis=5_000)
    fleet.run(0.2)
    fleet.submit(run_s=1.0, cpu_millis=4_000, label="disk")
    assert fleet.run(1.0, until=lambda: fleet.reserved() == 1)
    assert fleet.logged("lookahead.reserved")[0]["target"] == "t0"


def _held_by_wide_step(*, target_count=1, true_s=2.0, estimate_s=2.0, wide_s=2.0, lateness=1):
    """Returns a fleet of full targets and a step that waits for a whole one of them."""
    fleet = simulated.Fleet(policy="look-ahead", target_count=target_count, lateness=lateness)
    for _ in range(target_count):
        fleet.submit(run_s=true_s, estimate_s=estimate_s, count=2, cpu_millis=6_000)
    fleet.run(0.2)
    wide = fleet.submit(run_s=wide_s, cpu_millis=16_000)
    assert fleet.run(1.5, until=lambda: fleet.reserved() == 1)
    return fleet, wide


def test_task_that_outlasts_the_forecast_does_not_start_on_a_reserved_target():
    fleet, wide = _held_by_wide_step()
    long = fleet.submit(run_s=50.0, cpu_millis=4_000)
    assert fleet.run(8.0, until=lambda: simulated.first_start(wide))
    assert not simulated.first_start(long)


def test_task_that_ends_before_the_forecast_start_is_backfilled():
    """Guards against capacity that stays idle until the wide step can start."""
    fleet, wide = _held_by_wide_step(true_s=6.0, estimate_s=6.0)
    short = fleet.submit(run_s=0.2, cpu_millis=4_000)
    assert fleet.run(0.5, until=lambda: simulated.first_start(short))
    assert not simulated.first_start(wide)


def test_small_task_that_fits_beside_the_holder_starts_however_long_it_runs():
    fleet = simulated.Fleet(policy="look-ahead")
    fleet.submit(run_s=2.0, cpu_millis=10_000)
    fleet.run(0.2)
    wide = fleet.submit(run_s=2.0, cpu_millis=12_000)
    assert fleet.run(1.5, until=lambda: fleet.reserved() == 1)
    beside = [fleet.submit(run_s=30.0, cpu_millis=2_000) for _ in range(3)]
    assert fleet.run(6.0, until=lambda: simulated.first_start(wide))
    assert [simulated.first_start(row) for row in beside] == [True, True, False]


@pytest.mark.parametrize("priority_zero", [True, False])
def test_urgent_work_waits_for_a_reservation_for_half_of_its_slack_at_most(priority_zero):
    """Guards against urgent work that misses its objective for a reservation of batch work."""
    fleet, wide = _held_by_wide_step(true_s=20.0, estimate_s=20.0)
    queue = URGENT if priority_zero else BATCH
    small = fleet.submit(run_s=25.0, queue=queue, cpu_millis=4_000)
    submitted_at = fleet.now
    started = fleet.run(4.0, until=lambda: simulated.first_start(small))
    assert started is priority_zero
    if started:
        assert fleet.now - submitted_at <= policy.SLACK_FRACTION * URGENT.slack_s + 0.1


def test_reservation_ends_when_the_forecast_was_wrong_by_ten_times():
    """Guards against small work that waits behind a step that can't start for long."""
    fleet, wide = _held_by_wide_step(true_s=40.0, estimate_s=4.0, lateness=10)
    small = fleet.submit(run_s=45.0, cpu_millis=4_000)
    assert fleet.run(reservations.MAX_AGE_S, until=lambda: simulated.first_start(small))
    assert "forecast-wrong" in [one["reason"] for one in fleet.logged("lookahead.given_up")]
    assert not simulated.first_start(wide)
    assert fleet.run(120.0, until=lambda: simulated.first_start(wide))


@pytest.mark.parametrize("factor", [0.1, 1.0, 10.0])
def test_everything_ends_however_wrong_the_estimates_are(factor):
    fleet = simulated.Fleet(policy="look-ahead", target_count=4)
    submitted = []
    for number in range(12):
        submitted.append(
            fleet.submit(
                run_s=1.0 + number % 3, estimate_s=factor, count=6, cpu_millis=3_000, image="s"
            )
        )
        submitted.append(fleet.submit(run_s=3.0, estimate_s=3 * factor, cpu_millis=14_000))
    gang = fleet.submit(run_s=2.0, count=4, gang=True, cpu_millis=15_000)
    assert fleet.run(200.0, until=lambda: all(row.ended for row in [*submitted, gang]))


def test_target_that_leaves_ends_its_reservation_and_another_one_is_made():
    fleet, wide = _held_by_wide_step(target_count=2, true_s=6.0, estimate_s=6.0)
    lost = fleet.logged("lookahead.reserved")[-1]["target"]
    fleet.lose(lost)
    assert fleet.run(0.1, until=lambda: fleet.reserved() == 0)
    assert fleet.logged("lookahead.given_up")[-1]["reason"] == "target-lost"
    assert fleet.run(1.0, until=lambda: fleet.reserved() == 1)
    assert fleet.logged("lookahead.reserved")[-1]["target"] != lost
    assert fleet.run(30.0, until=lambda: simulated.first_start(wide))


@pytest.mark.parametrize(
    "change",
    [{"reachable": False}, {"quarantined_until": 10_000.0}, {"listed": False}],
    ids=["unreachable", "quarantined", "unlisted"],
)
def test_target_that_takes_no_work_loses_its_reservation(change):
    fleet, wide = _held_by_wide_step(true_s=6.0, estimate_s=6.0)
    row = fleet.row("t0")
    fleet.submit(run_s=1.0, cpu_millis=1_000)
    for name, value in change.items():
        setattr(row, name, value)
    fleet.run(0.1)
    assert fleet.reserved() == 0


def test_cancelled_holder_releases_its_target_at_the_next_tick():
    fleet, wide = _held_by_wide_step(true_s=20.0, estimate_s=20.0)
    small = fleet.submit(run_s=50.0, cpu_millis=4_000)
    fleet.run(0.5)
    assert not simulated.first_start(small)
    fleet.scheduler.cancel(wide.job.job_id, now=fleet.now)
    fleet.run(0.1)
    assert simulated.first_start(small)
    assert fleet.logged("lookahead.given_up")[-1]["reason"] == "holder-ended"


def test_cancelled_holder_releases_its_target_while_nothing_else_waits():
    fleet, wide = _held_by_wide_step(true_s=20.0, estimate_s=20.0)
    fleet.scheduler.cancel(wide.job.job_id, now=fleet.now)
    fleet.run(0.1)
    assert fleet.reserved() == 0


def test_new_owner_derives_the_reservation_again():
    """Guards against a wide step that starves as owners follow each other; nothing is stored."""
    fleet, wide = _held_by_wide_step(true_s=8.0, estimate_s=8.0)
    fleet.begin_term(2)
    assert fleet.reserved() == 0
    assert fleet.run(1.5, until=lambda: fleet.reserved() == 1)


def test_two_gangs_that_each_need_most_targets_both_run():
    """Guards against gangs that hold a part of what the other one needs."""
    fleet = simulated.Fleet(policy="look-ahead", target_count=4)
    feed = _feed(fleet, cores=5, run_s=0.9, waiting=16, queue=HURRIED)
    fleet.run(2.0, each_tick=feed)
    gangs = [fleet.submit(run_s=2.0, count=3, gang=True, cpu_millis=14_000) for _ in range(2)]
    assert fleet.run(60.0, each_tick=feed, until=lambda: all(row.ended for row in gangs))


def test_at_most_a_tenth_of_a_pool_is_reserved_beside_gangs():
    """Guards against a queue of large steps that takes the capacity from all others."""
    fleet = simulated.Fleet(policy="look-ahead", target_count=30)
    fleet.submit(run_s=8.0, count=60, cpu_millis=6_000)
    fleet.run(0.3)
    for _ in range(20):
        fleet.submit(run_s=2.0, count=5, cpu_millis=16_000)
    most = []
    fleet.run(4.0, each_tick=lambda: most.append(fleet.reserved()))
    assert 1 <= max(most) <= 3


def test_small_tasks_leave_some_targets_whole_while_large_ones_were_seen():
    """Guards against small tasks that are spread over all targets, as greedy placement does."""
    fleet = simulated.Fleet(policy="look-ahead", target_count=20)
    fleet.submit(run_s=60.0, count=40, cpu_millis=6_000)
    fleet.run(0.3)
    large = fleet.submit(run_s=0.5, cpu_millis=16_000)
    fleet.run(1.0)
    fleet.scheduler.cancel(large.job.job_id, now=fleet.now)
    whole = next(iter(fleet.scheduler.tables.targets.values()))
    for run in list(whole.runs.values()):
        tables.release(run)
    fleet._running.pop(whole.target_id)
    fleet.submit(run_s=30.0, count=1, cpu_millis=2_000)
    fleet.run(0.4)
    fleet.submit(run_s=30.0, count=3, cpu_millis=2_000)
    fleet.run(0.1)
    assert len(whole.runs) <= 1


SMALL = st.lists(
    st.tuples(
        st.integers(1, 5), st.integers(1, 5), st.sampled_from([0.3, 1.0, 2.0]), st.booleans()
    ),
    min_size=1,
    max_size=12,
)


@hypothesis.settings(max_examples=25, derandomize=True, deadline=None)
@hypothesis.given(load=SMALL)
def test_without_large_steps_both_policies_decide_alike(load):
    started = []
    for name in ("greedy", "look-ahead"):
        fleet = simulated.Fleet(policy=name, target_count=3)
        for count, cores, run_s, urgent in load:
            queue = URGENT if urgent else BATCH
            fleet.submit(run_s=run_s, count=count, cpu_millis=1_000 * cores, queue=queue)
            fleet.run(0.2)
        fleet.run(20.0)
        started.append([(event, str(fields)) for event, fields in fleet.events])
    assert started[0] == started[1]


STEP = st.fixed_dictionaries(
    {
        "count": st.integers(1, 4),
        "cpu_millis": st.sampled_from([1_000, 3_000, 6_000, 12_000, 16_000]),
        "memory_mb": st.sampled_from([0, 8_000, 40_000, 64_000]),
        "run_s": st.sampled_from([0.3, 1.0, 4.0]),
        "estimate_s": st.sampled_from([0.0, 0.3, 1.0, 10.0]),
        "gang": st.booleans(),
        "label": st.sampled_from(["", "", "", "disk"]),
        "queue": st.sampled_from([URGENT, BATCH]),
    }
)


@hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
@hypothesis.given(steps=st.lists(STEP, min_size=1, max_size=12), lost=st.booleans())
def test_nothing_starves_and_nothing_is_overcommitted(steps, lost):
    """The simulated fleet checks at each tick that no target is overcommitted."""
    fleet = simulated.Fleet(policy="look-ahead", target_count=5, labels=[["disk"]])
    submitted = []
    for fields in steps:
        # The only labelled target can't hold several large members at once.
        gang = fields["gang"] and not fields["label"]
        submitted.append(fleet.submit(**{**fields, "gang": gang}))
        fleet.run(0.3)
    if lost:
        fleet.lose("t4")
    assert fleet.run(300.0, until=lambda: all(row.ended for row in submitted))
    fleet.run(0.1)
    assert fleet.reserved() == 0


class CheckedPolicy(policy.LookAhead):
    """Compares each use of a reserved target with a naive forecast of its holder's start."""

    def __init__(self, **fields):
        super().__init__(**fields)
        self._times = fields["times"]
        self.compared = 0

    def note_order(self, run):
        reservation = self._reserved.on(run.target)
        step = run.task.step
        if (
            reservation is not None
            and reservation.holder is not step
            and not self._overrides(step, reservation)
        ):
            self.compared += 1
            without = _naive_start(self, reservation, ignored=run)
            started = _naive_start(self, reservation, ignored=None)
            assert started <= max(without, reservation.starts_at) + 1e-6
        super().note_order(run)


def _naive_start(subject, reservation, *, ignored):
    """Returns when the holder's tasks fit, trying the time of every end from a full list of runs."""
    row, spec = reservation.target, reservation.holder.step
    now = subject._now
    predict = forecast.Forecast(times=subject._times)
    predict.advance(now)
    runs = [run for run in row.runs.values() if run is not ignored]
    ends = {run: now + predict.remaining_s(run) for run in runs}
    for at in sorted({now, *ends.values()}):
        left = [run.task.step.step for run in runs if ends[run] > at]
        cpu = row.target.cpu_millis - sum(one.cpu_millis for one in left)
        memory = row.target.memory_mb - sum(one.memory_mb for one in left)
        if (
            cpu >= reservation.tasks * spec.cpu_millis
            and memory >= reservation.tasks * spec.memory_mb
        ):
            return at
    return float("inf")


@hypothesis.settings(max_examples=40, derandomize=True, deadline=None)
@hypothesis.given(
    steps=st.lists(STEP, min_size=4, max_size=14), seed_run_s=st.sampled_from([2.0, 6.0])
)
def test_backfill_delays_no_holder_by_a_naive_forecast(steps, seed_run_s):
    """Compares the spare capacity that is kept up to date with a forecast from all runs."""
    policy.policy("checked")(CheckedPolicy)
    try:
        fleet = simulated.Fleet(policy="checked", target_count=2)
        fleet.submit(run_s=seed_run_s, count=4, cpu_millis=6_000)
        fleet.run(0.2)
        fleet.submit(run_s=2.0, count=2, cpu_millis=14_000)
        fleet.run(0.6)
        for fields in steps:
            fleet.submit(**{**fields, "label": ""})
            fleet.run(0.2)
        fleet.run(10.0)
    finally:
        del policy._POLICIES["checked"]


def test_registry_names_the_policies_and_rejects_others():
    assert policy.DEFAULT == "greedy"
    assert policy.names() == ["greedy", "look-ahead"]
    with pytest.raises(policy.UnknownPolicyError, match="use one of greedy, look-ahead"):
        policy.build(
            "best",
            all_tables=tables.Tables(),
            times=run_times.RunTimes(),
            decide=lambda *args, **fields: None,
        )


def test_greedy_has_no_reservations_and_no_metrics():
    fleet = simulated.Fleet(policy="greedy")
    fleet.submit(run_s=5.0, count=2, cpu_millis=6_000)
    fleet.run(0.2)
    wide = fleet.submit(run_s=1.0, cpu_millis=16_000)
    fleet.run(1.0)
    assert fleet.scheduler.gauges() == {}
    assert not fleet.logged("lookahead.reserved")
    assert wide.state is rows.JobState.QUEUED
