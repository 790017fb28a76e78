"""The slice of one node of the retries that all nodes may make."""

from dataclasses import dataclass

from ryelatch_core.retries import RetryBudget

EARNED_SHARE = 0.7
"""Share that is used of the retries which requests earn.

Clients are spread unevenly over nodes, so slices by count don't fit what each
needs; the rest covers the difference.
"""

SAVED_SHARE = 0.6
"""Share of the allowance of a window that may be saved up and spent at once.

One crash makes ten streams a node go on elsewhere. A process that starts
begins with the least that may be saved, as the one before it may have spent
its slice in the same window.
"""

REFILL_SHARE = 0.3
"""Share of the allowance of a window that comes free over its length."""

NODES_BEFORE_COUNT = 100
"""Nodes among which retries are shared until they have been counted.

Taken for eight, each of sixty nodes that had just been killed together had an
eighth of the retries, and they spent twice what was allowed in ten seconds.
"""

LEAST_SAVED = 2.0
"""Retries that a node may save up at least: a stream may break twice."""


@dataclass(frozen=True)
class RetryAllowance:
    """What all nodes together may retry.

    :param ratio: retries allowed for each request.
    :param extra: retries allowed besides, in a window.
    :param window: its length in seconds.
    """

    ratio: float
    extra: float
    window: float


def make_budget(terms: RetryAllowance) -> RetryBudget:
    """Make the budget of one of several nodes that were not counted yet."""
    budget = RetryBudget(terms.ratio * EARNED_SHARE, LEAST_SAVED)
    resize_budget(budget, terms, NODES_BEFORE_COUNT)
    return budget


def resize_budget(budget: RetryBudget, terms: RetryAllowance, nodes: int) -> None:
    """Give a budget the slice of one of some nodes."""
    slice_of_window = terms.extra / nodes
    budget.resize(
        terms.ratio * EARNED_SHARE,
        max(LEAST_SAVED, slice_of_window * SAVED_SHARE),
        slice_of_window * REFILL_SHARE / terms.window,
    )
