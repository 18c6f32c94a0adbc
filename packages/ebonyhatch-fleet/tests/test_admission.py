from __future__ import annotations

from ebonyhatch.fleet import admission, jobs, queues

QUEUE = queues.Queue(name="q", host="", prefix="", pool="p", stretch=2.0, slack_s=1.0)


def _job(**fields: object) -> jobs.Job:
    steps = (jobs.Step(count=1, estimate_s=1.0, **fields),)
    return jobs.Job(job_id="0" * 16, queue="q", spec="", steps=steps)


def _load(wait_s: float, *, term: int = 1) -> admission.QueueLoad:
    load = admission.QueueLoad()
    load.update(term=term, waits_s={"q": wait_s}, now=0.0)
    return load


def test_a_job_that_would_start_too_late_to_be_useful_is_refused_with_the_missing_time():
    refusal = _load(20.0).refusal(queue=QUEUE, job=_job(), now=0.0)
    assert refusal is not None and refusal.retry_after_s == 12.0


def test_a_job_that_can_still_be_useful_is_accepted():
    assert _load(7.9).refusal(queue=QUEUE, job=_job(), now=0.0) is None


def test_an_expired_load_report_is_ignored():
    late = admission.LOAD_VALID_S + 0.1
    assert _load(90.0).refusal(queue=QUEUE, job=_job(), now=late) is None


def test_a_load_report_of_an_older_term_is_dropped():
    load = _load(0.0, term=2)
    load.update(term=1, waits_s={"q": 90.0}, now=0.0)
    assert load.refusal(queue=QUEUE, job=_job(), now=0.0) is None


def test_long_running_jobs_are_never_refused_for_load():
    assert _load(90.0).refusal(queue=QUEUE, job=_job(long_running=True), now=0.0) is None
