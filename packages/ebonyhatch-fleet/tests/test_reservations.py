"""Reservations of targets: one for each target, with an end in any case."""

from __future__ import annotations

import pytest
from ebonyhatch.fleet import jobs, queues, rows, targets
from ebonyhatch.fleet.lookahead import reservations

QUEUE = queues.Queue(name="q", host="h", prefix="/q/", pool="p")


def _reservation(target_id, step, *, made_at=10.0, starts_at=14.0):
    target = targets.Target(target_id=target_id, address="a:1", pool="p", failure_domain="a")
    return reservations.Reservation(
        holder=step,
        target=rows.TargetRow(target=target),
        born=0,
        tasks=1,
        made_at=made_at,
        starts_at=starts_at,
        expires_at=reservations.expiry(made_at=made_at, starts_at=starts_at),
    )


def _step():
    job = jobs.Job(job_id="0" * 16, queue="q", spec="", steps=(jobs.Step(count=1),))
    job_row = rows.JobRow(job=job, queue=QUEUE)
    return rows.StepRow(job=job_row, occurrence=0, index=0, step=job.steps[0])


def test_target_that_was_given_up_is_open_to_all_for_as_long_as_it_was_held():
    """Guards against a target that is reserved again at once, for the next wrong forecast."""
    subject = reservations.Reservations()
    reservation = _reservation("t0", _step())
    subject.add(reservation)
    assert not subject.may_reserve(reservation.target, now=12.0)
    subject.give_up([reservation], now=16.0)
    assert len(subject) == 0 and not subject.of(reservation.holder)
    assert not subject.may_reserve(reservation.target, now=21.9)
    assert subject.may_reserve(reservation.target, now=22.0)


def test_used_reservation_leaves_its_target_free_for_the_next_one():
    subject = reservations.Reservations()
    step = _step()
    first, second = _reservation("t0", step), _reservation("t1", step)
    subject.add(first)
    subject.add(second)
    subject.remove(first)
    subject.remove(first)
    assert subject.of(step) == [second] and subject.holders() == 1
    assert subject.may_reserve(first.target, now=10.0)


@pytest.mark.parametrize(
    ("wait_s", "held_s"), [(0.0, 1.0), (4.0, 9.0), (29.0, 30.0), (1_000.0, 30.0)]
)
def test_reservation_expires_at_twice_its_forecast_or_at_the_age_limit(wait_s, held_s):
    assert reservations.expiry(made_at=5.0, starts_at=5.0 + wait_s) == 5.0 + held_s
