from __future__ import annotations

import pytest
from ebonyhatch.fleet import cancellations


def test_time_of_a_cancellation_is_read_back():
    assert cancellations.time_of(cancellations.encode(at=12.5)) == 12.5


@pytest.mark.parametrize("value", [b"{}", b"", b"\xff", b"[]", b'{"at":"now"}'])
def test_time_of_a_record_without_one_is_unknown(value):
    assert cancellations.time_of(value) == 0.0


def test_calls_wait_for_their_job_only():
    subject = cancellations.Waiters()
    outcomes = []
    for job_id in ("a", "a", "b"):
        subject.add(job_id).addBoth(lambda result, job_id=job_id: outcomes.append((job_id, result)))
    subject.fire("a")
    assert outcomes == [("a", None), ("a", None)]
    subject.close()
    assert len(outcomes) == 3 and outcomes[2][0] == "b" and outcomes[2][1] is not None
