from __future__ import annotations

import pytest
from ebonyhatch.fleet import jobs


def _job(*steps: jobs.Step) -> jobs.Job:
    return jobs.Job(job_id="0" * 16, queue="q", spec="", steps=steps)


def test_gang_that_can_not_be_started_together_is_refused_before_it_is_accepted():
    """Guards against an accepted gang whose members wait for each other in vain."""
    with pytest.raises(jobs.InvalidJobError, match="gang of over 1000 members"):
        jobs.check(_job(jobs.Step(count=1_001, gang=True)))
    jobs.check(_job(jobs.Step(count=1_000, gang=True), jobs.Step(count=1_000, gang=True)))


def test_light_long_running_tasks_that_can_not_all_be_started_in_time_are_refused():
    """Guards against accepted tasks that stay down although there is room for them."""
    light = jobs.Step(count=500, long_running=True)
    with pytest.raises(jobs.InvalidJobError, match="over 1000 long-running tasks"):
        jobs.check(_job(light, light, jobs.Step(count=1, long_running=True)))
    jobs.check(_job(light, light, jobs.Step(count=5_000, cpu_millis=2_000, long_running=True)))


def test_job_with_the_largest_number_of_tasks_is_valid_and_one_more_is_not():
    jobs.check(_job(jobs.Step(count=jobs.TASKS_LIMIT - 1), jobs.Step(count=1)))
    with pytest.raises(jobs.InvalidJobError, match="over 20000 tasks"):
        jobs.check(_job(jobs.Step(count=jobs.TASKS_LIMIT), jobs.Step(count=1)))


@pytest.mark.parametrize("field", ["image", "label", "data_rack"])
def test_step_with_a_name_that_is_too_long_is_refused(field):
    """Guards against names that fill the memory with what is learned of them, long after their jobs."""
    with pytest.raises(jobs.InvalidJobError, match="over 200 bytes"):
        jobs.check(_job(jobs.Step(count=1, **{field: "é" * 101})))
    jobs.check(_job(jobs.Step(count=1, **{field: "é" * 100})))
