"""Metrics count the events of the log, with a bounded number of series."""

from __future__ import annotations

import random

import prometheus_client
import pytest
import world as world_module
from ebonyhatch.fleet import call_counts, decision_log, jobs, metrics


@pytest.fixture
def started_metrics():
    entry_metrics = metrics.Metrics(gauges=lambda: {"jobs": 7})
    entry_metrics.start()
    yield entry_metrics
    entry_metrics.close()


def test_events_are_counted_by_name_and_outcome(started_metrics):
    for verdict in ("done", "done", "not-done"):
        decision_log.write("job.submitted", job_id="1", queue="q", verdict=verdict, took_s=0.01)
    text = started_metrics.render().decode()
    assert 'ebonyhatch_events_total{event="job.submitted",outcome="done"} 2.0' in text
    assert 'ebonyhatch_events_total{event="job.submitted",outcome="not-done"} 1.0' in text
    assert 'ebonyhatch_submission_seconds_count{queue="q"} 3.0' in text
    assert "ebonyhatch_jobs 7.0" in text


def test_a_long_reason_creates_no_series(started_metrics):
    decision_log.write("owner.lost", term=1, reason="target t1 refused the order")
    assert 'event="owner.lost",outcome=""' in started_metrics.render().decode()


def test_series_are_bounded_whatever_is_logged(started_metrics):
    for number in range(1_000):
        decision_log.write(f"event-{number}", reason=f"reason-{number}")
        decision_log.write("run.order", queue=f"queue-{number}", waited_s=0.1)
    lines = started_metrics.render().decode().splitlines()
    assert sum(line.startswith("ebonyhatch_events_total") for line in lines) < 300
    assert sum(line.startswith("ebonyhatch_wait_seconds_count") for line in lines) <= 65


@pytest.mark.parametrize("seed", range(10))
def test_counts_are_rendered_as_the_library_renders_its_own_counters(started_metrics, seed):
    pick = random.Random(seed)
    library = prometheus_client.CollectorRegistry()
    counter = prometheus_client.Counter(
        metrics.PREFIX + "events",
        "Logged decisions and changes of known state, by event name.",
        ("event", "outcome"),
        registry=library,
    )
    histograms = {
        event: prometheus_client.Histogram(
            metrics.PREFIX + name, text, ("queue",), buckets=metrics.BUCKETS_S, registry=library
        )
        for event, (name, _, text) in metrics.HISTOGRAMS.items()
    }
    for _ in range(pick.choice((0, 1, 300))):
        event = pick.choice(("run.ended", *metrics.HISTOGRAMS))
        outcome, queue = pick.choice(("", "done", "failed")), pick.choice('q"\\')
        value = pick.choice((*metrics.BUCKETS_S, pick.uniform(0, 700)))
        took = {metrics.HISTOGRAMS.get(event, ("", "took_s"))[1]: value}
        decision_log.write(event, queue=queue, verdict=outcome, **took)
        counter.labels(event, outcome).inc()
        if event in histograms:
            histograms[event].labels(queue).observe(value)
    rendered = started_metrics.render()
    assert rendered.startswith(prometheus_client.generate_latest(library))


def test_nothing_is_counted_after_close(started_metrics):
    started_metrics.close()
    decision_log.write("job.submitted", verdict="done")
    assert "job.submitted" not in started_metrics.render().decode()
    started_metrics.start()


def test_calls_are_shown_by_kind_with_their_outcomes_and_bytes():
    counts = call_counts.CallCounts(
        begun=11,
        answered=4,
        failed=3,
        timed_out=2,
        cancelled=1,
        bytes_sent=50,
        bytes_received=60,
    )
    calls = {"list": counts}
    entry_metrics = metrics.Metrics(gauges=dict, calls=lambda: calls)
    text = entry_metrics.render().decode()
    for outcome, count in (("answered", 4), ("failed", 3), ("timed-out", 2), ("cancelled", 1)):
        series = f'ebonyhatch_calls_total{{kind="list",outcome="{outcome}"}} {count}.0'
        assert series in text.splitlines()
    assert 'ebonyhatch_call_bytes_total{direction="sent",kind="list"} 50.0' in text
    assert 'ebonyhatch_call_bytes_total{direction="received",kind="list"} 60.0' in text
    assert 'ebonyhatch_calls_in_progress{kind="list"} 1.0' in text
    calls["poll"] = call_counts.CallCounts(begun=1, answered=1)
    later = entry_metrics.render().decode()
    assert 'ebonyhatch_calls_total{kind="poll",outcome="answered"} 1.0' in later


def test_the_owner_reports_its_jobs_and_targets():
    world = world_module.World()
    world.run(1.0)
    job = world.job(jobs.Step(count=2, cpu_millis=500, estimate_s=0.2), work_s=0.2)
    world.submit(job)
    world.run_until(lambda: world.state(job.job_id) == "completed")
    text = world.owner.node.metrics.render().decode()
    assert "ebonyhatch_is_owner 1.0" in text and "ebonyhatch_targets 4.0" in text
    assert 'ebonyhatch_job_seconds_count{queue="plans"} 1.0' in text


def test_each_entry_reports_the_processor_time_of_its_process():
    world = world_module.World(entries=2)
    samples = [_sample(world, "e0"), _sample(world, "e1"), _sample(world, "e0")]
    assert 0.0 < samples[0] < samples[1] < samples[2]


def _sample(world: world_module.World, name: str) -> float:
    lines = world.members[name].node.metrics.render().decode().splitlines()
    line = next(line for line in lines if line.startswith("ebonyhatch_process_cpu_seconds "))
    return float(line.split()[1])
