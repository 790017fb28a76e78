"""Divides the retries that are allowed to all nodes among single nodes.

An allowance holds for each service by itself.
"""

from dataclasses import dataclass

from ryelatch_core.retries import RetryBudget, RetryBudgets

EARNED_FRACTION = 0.7
"""Fraction used of the retries that requests earn.

Clients are spread unevenly over nodes, so equal budgets don't match what each
node needs. The remainder covers the difference.
"""

SAVED_FRACTION = 0.6
"""Fraction of a window's extra retries that may be saved and spent at once.

One crash makes ten streams per node resume elsewhere. A new process starts
with ``MIN_SAVED`` retries, as the process before it may have spent its budget
in the same window.
"""

REFILL_FRACTION = 0.3
"""Fraction of a window's extra retries that is refilled over its length."""

NODES_BEFORE_COUNT = 100
"""Number of nodes assumed until the nodes have been counted.

With 8 assumed, sixty nodes that were killed and restarted together each took
an eighth of the retries, and spent twice the allowed number in ten seconds.
"""

MIN_SAVED = 2.0
"""Least number of retries that a node may save: a stream may break twice."""


@dataclass(frozen=True)
class RetryAllowance:
    """Retries of a service that are allowed to all nodes together.

    :param ratio: retries allowed for each request of a service.
    :param extra: retries allowed to each service in a window in addition.
    :param window: length of a window in seconds.
    """

    ratio: float
    extra: float
    window: float


def make_budgets(allowance: RetryAllowance) -> RetryBudgets:
    """Create this node's budgets while the number of nodes is unknown."""
    return RetryBudgets(make_budget(allowance))


def make_budget(allowance: RetryAllowance) -> RetryBudget:
    """Create this node's budget for one service."""
    budget = RetryBudget(allowance.ratio * EARNED_FRACTION, MIN_SAVED)
    resize_budget(budget, allowance, NODES_BEFORE_COUNT)
    return budget


def resize_budget(
    budget: RetryBudget | RetryBudgets, allowance: RetryAllowance, nodes: int
) -> None:
    """Resize a node's budgets to its part of the allowed retries.

    :param nodes: number of nodes that share them.
    """
    node_extra = allowance.extra / nodes
    budget.resize(
        allowance.ratio * EARNED_FRACTION,
        max(MIN_SAVED, node_extra * SAVED_FRACTION),
        node_extra * REFILL_FRACTION / allowance.window,
    )
