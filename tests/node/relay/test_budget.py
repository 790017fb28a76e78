"""All nodes together keep within the retries that are allowed."""

from ryelatch_core.retries import RetryBudget
from ryelatch_node.relay._budget import (
    RetryAllowance,
    make_budget,
    resize_budget,
)

_TERMS = RetryAllowance(ratio=0.2, extra=300, window=10)


def _spend_all(budget: RetryBudget) -> int:
    spent = 0
    while budget.spend():
        spent += 1
    return spent


def _serve(budget: RetryBudget, requests: int) -> int:
    for _ in range(requests):
        budget.earn()
    return _spend_all(budget)


def test_restart_of_all_nodes_stays_within_bounds() -> None:
    """Sixty nodes are killed together in the middle of an outage.

    Each retries all that it may, before and after, and again once it knows
    how many nodes there are. Taken for eight they spent 779 retries in ten
    seconds where 692 were allowed, and the outage fed itself.
    """
    spent = 0
    for _ in range(60):
        before = make_budget(_TERMS)
        resize_budget(before, _TERMS, 60)
        spent += _spend_all(before)
        after = make_budget(_TERMS)
        spent += _spend_all(after)
        resize_budget(after, _TERMS, 60)
        spent += _spend_all(after)
    assert spent <= _TERMS.extra


def test_long_outage_stays_within_bounds() -> None:
    """Eight nodes retry all that they may for several windows."""
    budgets = [make_budget(_TERMS) for _ in range(8)]
    seconds = 40
    requests = 25
    spent = 0
    for _ in range(seconds):
        for budget in budgets:
            resize_budget(budget, _TERMS, 8)
            budget.refill(1)
            spent += _serve(budget, requests)
    windows = seconds / _TERMS.window
    allowed = _TERMS.ratio * requests * seconds * len(budgets)
    assert spent <= allowed + _TERMS.extra * windows
