import random

from ebonyhatch.ports import backoff


def test_delays_are_jittered_below_a_doubling_bound():
    delays = backoff.Backoff(generator=random.Random(1), base_s=1.0, limit_s=4.0)
    for _ in range(50):
        delays_s = [delays.next_s() for _ in range(5)]
        assert all(0 <= s <= bound for s, bound in zip(delays_s, [1, 2, 4, 4, 4], strict=True))
        delays.reset()
    assert delays.failures == 0


def test_budget_is_a_fraction_of_successes():
    budget = backoff.RetryBudget(fraction=0.25, max_saved=2.0)
    assert [budget.spend() for _ in range(3)] == [True, True, False]
    for _ in range(4):
        budget.succeeded()
    assert [budget.spend() for _ in range(2)] == [True, False]
    for _ in range(100):
        budget.succeeded()
    assert budget.remaining == 2.0
