"""Budget of retries."""

from ryelatch_core.retries import RetryBudget


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
