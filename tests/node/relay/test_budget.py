"""All nodes together stay within the allowed number of retries."""

from ryelatch_core.retries import RetryBudget
from ryelatch_node.relay._budget import (
    RetryAllowance,
    make_budget,
    make_budgets,
    resize_budget,
)

_ALLOWANCE = RetryAllowance(ratio=0.2, extra=300, window=10)


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
    """Sixty nodes are killed and restarted together during an outage.

    Each spends its whole budget before the kill, after it, and again once the
    nodes have been counted. When new processes assumed eight nodes, they spent
    779 retries in ten seconds where 692 were allowed, and the retries prolonged
    the outage.
    """
    spent = 0
    for _ in range(60):
        before = make_budget(_ALLOWANCE)
        resize_budget(before, _ALLOWANCE, 60)
        spent += _spend_all(before)
        after = make_budget(_ALLOWANCE)
        spent += _spend_all(after)
        resize_budget(after, _ALLOWANCE, 60)
        spent += _spend_all(after)
    assert spent <= _ALLOWANCE.extra


def test_long_outage_stays_within_bounds() -> None:
    """Eight nodes spend their whole budgets for several windows."""
    budgets = [make_budget(_ALLOWANCE) for _ in range(8)]
    seconds = 40
    requests = 25
    spent = 0
    for _ in range(seconds):
        for budget in budgets:
            resize_budget(budget, _ALLOWANCE, 8)
            budget.refill(1)
            spent += _serve(budget, requests)
    windows = seconds / _ALLOWANCE.window
    allowed = _ALLOWANCE.ratio * requests * seconds * len(budgets)
    assert spent <= allowed + _ALLOWANCE.extra * windows


def test_restarts_in_series_stay_within_bounds() -> None:
    """Eight nodes restart one after the other, and repeat all that they may.

    Their clients use a large service. All retries go to a small one, whose
    replicas are full: with one budget for both it got 250 repeats in ten
    seconds where 210 were allowed.
    """
    allowance = RetryAllowance(ratio=0.2, extra=200, window=10)
    large_of_node, small = 6, 50
    spent = 0
    for node in range(8):
        budgets = make_budgets(allowance)
        resize_budget(budgets, allowance, 8)
        budgets.refill(60)
        for second in range(int(allowance.window)):
            for _ in range(large_of_node):
                budgets.get('large').earn()
            budgets.refill(1)
            spent += _spend_all(budgets.get('small'))
            if second == node:
                budgets = make_budgets(allowance)
                spent += _spend_all(budgets.get('small'))
                resize_budget(budgets, allowance, 8)
        spent += _serve(budgets.get('small'), small // 8)
    assert spent <= allowance.ratio * small + allowance.extra
