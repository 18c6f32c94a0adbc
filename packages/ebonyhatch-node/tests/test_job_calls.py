"""Tests of decoding and validating submitted jobs."""

from __future__ import annotations

import hypothesis
import msgspec
import pytest
from ebonyhatch.core import configuration, entities, resources
from ebonyhatch.node import caller_errors, job_calls
from hypothesis import strategies
from returns import result

IN_FORCE = configuration.InForce(
    generation=1,
    classes=(
        entities.WorkClass(
            name="cutting",
            urgency=entities.Urgency.BATCH,
            demand=resources.Resources(slots=2),
            expected_run_s=7.0,
        ),
    ),
)


def read(body):
    raw = body if isinstance(body, bytes) else msgspec.json.encode(body)
    return job_calls.read(body=raw, in_force=IN_FORCE)


def test_missing_values_default_to_those_of_the_class():
    job = read({"class": "cutting", "payload": {"run_s": 1}}).unwrap()
    assert job.demand == resources.Resources(slots=2)
    assert job.expected_run_s == 7.0
    assert msgspec.json.decode(job.payload) == {"run_s": 1}
    assert job.job_id


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"[" * 100_000,
        {"class": "quote"},
        {"class": "cutting", "extra": 1},
        {"class": "cutting", "job_id": "a/b"},
        {"class": "cutting", "job_id": ""},
        {"class": "cutting", "demand": {"slots": 0}},
        {"class": "cutting", "demand": {"cores": -1}},
        {"class": "cutting", "expected_run_s": 0},
        {"class": "cutting", "payload": "%%"},
        {"class": "cutting", "payload": {"x": "y" * job_calls.PAYLOAD_LIMIT_BYTES}},
        {"class": "cutting", "tenant": "nobody"},
    ],
)
def test_refuses_with_a_remedy(body):
    error = read(body).failure()
    assert isinstance(error, caller_errors.CallerError)
    assert error.remedy


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    strategies.binary(max_size=60)
    | strategies.dictionaries(
        strategies.sampled_from(["class", "job_id", "demand", "payload", "expected_run_s"]),
        strategies.none()
        | strategies.floats(allow_nan=False, allow_infinity=False)
        | strategies.text(max_size=9)
        | strategies.just("cutting"),
    )
)
def test_any_body_gives_a_job_or_a_typed_error(body):
    match read(body):
        case result.Success(job):
            assert job.work_class == "cutting"
        case result.Failure(error):
            assert isinstance(error, caller_errors.CallerError)
