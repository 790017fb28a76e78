"""Budget of retries."""

from ryelatch_core.retries import RetryBudget, RetryBudgets


def test_retries_stay_a_share_of_requests() -> None:
    """All upstreams fail for a thousand requests.

    Without a budget there would be two thousand further attempts.
    """
    budget = RetryBudget(ratio=0.1, reserve=10)
    retries = 0
    for _ in range(1000):
        budget.earn()
        retries += budget.spend()
    assert 100 <= retries <= 110
    assert budget.left < 1


def test_waiting_refills_a_part() -> None:
    """Without first attempts nothing is earned, but the rate adds retries."""
    budget = RetryBudget(ratio=0, reserve=4, rate=0.5)
    while budget.spend():
        """Spend all retries in reserve."""
    budget.refill(2)
    assert budget.spend()
    assert not budget.spend()
    budget.refill(1000)
    assert budget.left == 4


def test_services_earn_their_own_retries() -> None:
    """A large service pays for the retries that overload a small one."""
    budgets = RetryBudgets(RetryBudget(ratio=0.1, reserve=10))
    budgets.get('small')
    retries = 0
    for _ in range(1000):
        budgets.get('large').earn()
        retries += budgets.get('small').spend()
    assert retries == 10
    assert budgets.left < 1
    assert budgets.get('large').left == 10


def test_new_service_has_what_time_has_refilled() -> None:
    """The first requests to a service have no retries at a node of any age."""
    unused = RetryBudget(ratio=0, reserve=2)
    budgets = RetryBudgets(unused)
    budgets.resize(ratio=0, reserve=6, rate=1)
    budgets.refill(3)
    assert budgets.get('new').left == 5
