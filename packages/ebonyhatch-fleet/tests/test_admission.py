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


def test_the_objective_is_that_of_the_longest_chain_and_not_of_the_sum_of_all_steps():
    """Guards against jobs of parallel steps that are accepted though they would be useless."""
    first, second = jobs.Step(count=1, estimate_s=1.0), jobs.Step(count=1, estimate_s=1.0)
    chained = jobs.Step(count=1, estimate_s=1.0, after=(0,))
    parallel = jobs.Job(job_id="0" * 16, queue="q", spec="", steps=(first, second))
    in_turn = jobs.Job(job_id="0" * 16, queue="q", spec="", steps=(first, chained))
    assert _load(9.0).refusal(queue=QUEUE, job=parallel, now=0.0) is not None
    assert _load(9.0).refusal(queue=QUEUE, job=in_turn, now=0.0) is None


def test_an_entry_refuses_no_more_than_its_share_of_the_submissions():
    """On a day at most 0.6 of the requests may be refused or fail."""
    load = admission.QueueLoad()
    refused = 0
    for number in range(1_000):
        now = number / 20
        load.update(term=1, waits_s={"q": 90.0}, now=now)
        is_refused = load.refusal(queue=QUEUE, job=_job(), now=now) is not None
        load.record(refused=is_refused, now=now)
        refused += is_refused
    assert 0.4 * 1_000 < refused < 0.6 * 1_000


def test_the_longest_wait_is_that_of_a_valid_load_report():
    assert _load(20.0).longest_wait_s(now=0.0) == 20.0
    assert _load(20.0).longest_wait_s(now=admission.LOAD_VALID_S + 0.1) == 0.0
    assert admission.QueueLoad().longest_wait_s(now=0.0) == 0.0
