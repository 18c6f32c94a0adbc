from __future__ import annotations

import hypothesis
import pytest
from ebonyhatch.node import request_budget
from hypothesis import strategies

Phase = request_budget.Phase
Cause = request_budget.Cause
LIMITS = request_budget.CallerLimits()
OPEN = request_budget.CONNECTION_BYTES


def _budget(held_bytes=1_000_000, max_fds=400):
    return request_budget.RequestBudget(
        budget=request_budget.Budget(held_bytes=held_bytes, max_fds=max_fds)
    )


def _open(budget, *, at=0.0, phase=Phase.BODY, held=0, received=0, useful=0):
    connection = budget.open(limits=LIMITS, now=at)
    budget.enter(connection, phase, now=at)
    budget.hold(connection, held)
    connection.received_bytes = received
    budget.progress(connection, useful_bytes=useful, now=at)
    return connection


@pytest.mark.parametrize(
    ("memory_mb", "max_fds", "held_bytes", "connections"),
    [(200, 4_100, 25_000_000, 3_075), (552, 8_192, 69_000_000, 6_144), (0, 200, 8_000_000, 136)],
)
def test_budget_of_an_instance(memory_mb, max_fds, held_bytes, connections):
    """Guards against a budget that leaves the process no memory or descriptors for its own work."""
    budget = request_budget.budget_of(memory_mb=memory_mb, max_fds=max_fds)
    assert (budget.held_bytes, budget.connections()) == (held_bytes, connections)


def test_descriptors_of_others_reduce_the_connections():
    """Guards against callers that take the descriptors that an owner needs for its targets."""
    budget = request_budget.budget_of(memory_mb=200, max_fds=4_100)
    assert budget.connections(others=3_300) == 543
    assert budget.connections(others=5_000) == request_budget.MIN_CONNECTIONS


def test_nothing_is_closed_within_the_budget():
    """Guards against callers that are refused in calm conditions."""
    budget = _budget()
    _open(budget, held=900_000)
    assert budget.to_close(now=1_000.0) == ()


def test_the_one_that_held_most_for_longest_is_closed_first():
    """Guards against ordinary requests that are refused for others' unfinished ones."""
    budget = _budget()
    old = _open(budget, at=0.0, held=400_000, received=400_000, useful=400_000)
    new = _open(budget, at=99.9, held=700_000, received=700_000, useful=700_000)
    assert budget.to_close(now=100.0) == (old,)
    budget.close(old)
    assert not budget.exceeded
    assert list(budget) == [new]


def test_of_two_of_one_age_the_one_with_more_overhead_is_closed_first():
    """Guards against ordinary chunked bodies that are closed before bodies of tiny chunks."""
    budget = _budget()
    _open(budget, held=500_000, received=500_100, useful=500_000)
    tiny = _open(budget, held=500_000, received=3_000_000, useful=500_000)
    assert budget.to_close(now=1.0) == (tiny,)


def test_request_whose_head_has_just_arrived_is_closed_last():
    """Guards against ordinary requests that are closed between their head and their body."""
    budget = _budget()
    crowd = [
        _open(budget, at=9.9, held=200_000, received=200_100, useful=200_000) for _ in range(5)
    ]
    ordinary = _open(budget, at=9.9, held=400, received=250)
    closed = budget.to_close(now=10.0)
    assert closed and set(closed) < set(crowd)
    assert ordinary not in closed


def test_connection_that_is_closed_after_its_answer_is_kept_until_it_is_sent():
    """Guards against answers that are lost between their writing and the next turn of the loop."""
    budget = _budget()
    answered = _open(budget, at=9.99, phase=Phase.CLOSING)
    refused = _open(budget, at=9.99, phase=Phase.CLOSING)
    refused.refused = True
    _open(budget, held=1_100_000)
    closed = budget.to_close(now=10.0)
    assert closed[0] is refused
    assert answered not in closed


def test_used_idle_connections_are_closed_after_unfinished_requests():
    """Guards against keep-alive connections of ordinary callers that are closed for a crowd."""
    budget = _budget(max_fds=100)
    used = _open(budget, phase=Phase.PASSED_ON)
    budget.enter(used, Phase.IDLE, now=0.0)
    heads = [_open(budget, at=3.0, phase=Phase.HEAD) for _ in range(32)]
    closed = budget.to_close(now=5.0)
    assert closed and set(closed) <= set(heads)


def test_connection_that_is_being_closed_takes_a_descriptor():
    """Guards against more descriptors than are allowed, as closing takes a turn of the loop."""
    budget = _budget(max_fds=100)
    connections = [_open(budget) for _ in range(36)]
    assert budget.full
    for connection in budget.to_close(now=1.0):
        budget.end(connection)
    assert budget.full
    assert not budget.exceeded
    for connection in connections:
        budget.close(connection)
    assert (budget.held_bytes, len(budget)) == (0, 0)


def test_passed_on_requests_are_kept_though_nothing_else_is_left():
    """Guards against an accepted job whose caller gets no answer."""
    budget = _budget()
    _open(budget, phase=Phase.PASSED_ON, held=2_000_000)
    assert budget.exceeded
    assert budget.to_close(now=1_000.0) == ()
    assert budget.expired(now=1_000.0) == ()


@pytest.mark.parametrize(
    ("phase", "kept_until", "cause"),
    [
        (Phase.IDLE, 15.0, Cause.IDLE),
        (Phase.HEAD, 3.0, Cause.HEAD_TIMEOUT),
        (Phase.BODY, 10.0, Cause.BODY_TIMEOUT),
        (Phase.CLOSING, 2.0, Cause.UNREAD),
    ],
)
def test_time_limits(phase, kept_until, cause):
    """Guards against requests that are never ended."""
    budget = _budget()
    connection = _open(budget, phase=phase)
    assert budget.expired(now=kept_until) == ()
    assert budget.expired(now=kept_until + 0.1) == ((connection, cause),)


def test_body_that_drips_is_ended_too():
    """Guards against bodies that are kept open by a byte now and then."""
    budget = _budget()
    connection = _open(budget)
    for second in range(61):
        budget.progress(connection, useful_bytes=second + 1, now=float(second))
    assert budget.expired(now=60.0) == ()
    assert budget.expired(now=60.5) == ((connection, Cause.BODY_TIMEOUT),)


@pytest.mark.parametrize("phase", [Phase.HEAD, Phase.BODY])
def test_client_isn_t_blamed_for_bytes_that_wait_to_be_parsed(phase):
    """Guards against time-outs of clients that wait for a busy process."""
    budget = _budget()
    _open(budget, phase=phase).backlogged = True
    assert budget.expired(now=1_000.0) == ()


def test_slow_reader_has_time_while_it_takes_answers():
    """Guards against answers that are cut off on slow links, and against those never taken."""
    budget = _budget()
    connection = _open(budget, phase=Phase.CLOSING)
    budget.leave_untaken(connection, 100_000, now=0.0)
    budget.leave_untaken(connection, 50_000, now=10.0)
    assert budget.expired(now=25.0) == ()
    assert budget.expired(now=25.1) == ((connection, Cause.UNREAD),)


def test_time_of_a_head_counts_for_its_body():
    """Guards against an age that starts anew with the body, which would hide an old request."""
    budget = _budget()
    connection = _open(budget, at=0.0, phase=Phase.HEAD)
    budget.enter(connection, Phase.BODY, now=2.0)
    assert connection.since == 0.0


ROWS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(list(Phase)),
        strategies.integers(0, 300_000),
        strategies.floats(0.0, 100.0),
        strategies.integers(0, 1_000_000),
        strategies.integers(0, 300_000),
    ),
    max_size=60,
)


@hypothesis.given(ROWS, strategies.integers(1, 2_000_000), strategies.integers(80, 200))
def test_properties_of_what_is_closed(rows, held_bytes, max_fds):
    """Guards against a budget that stays exceeded, or whose relief closes what it must not."""
    budget = _budget(held_bytes=held_bytes, max_fds=max_fds)
    connections = [
        _open(budget, phase=phase, held=held, at=at, received=received, useful=useful)
        for phase, held, at, received, useful in rows
    ]
    assert budget.held_bytes == sum(one.held_bytes for one in connections)
    closed = budget.to_close(now=100.0)
    assert len(set(closed)) == len(closed)
    assert all(one.phase is not Phase.PASSED_ON for one in closed)
    for one in closed:
        budget.close(one)
    kept = [one for one in connections if one not in set(closed)]
    assert budget.held_bytes == sum(one.held_bytes for one in kept)
    if any(one.phase is not Phase.PASSED_ON for one in kept):
        assert not budget.exceeded
    for one in connections:
        budget.close(one)
    assert (budget.held_bytes, len(budget)) == (0, 0)
