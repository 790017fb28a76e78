"""The slice of one node of the retries that all nodes may make."""

from ryelatch_core.retries import RetryBudget

SAFETY = 0.7
"""Share of the allowance that is used.

Nodes come and go and clients are spread unevenly over them, so slices by
count don't fit what each needs; the rest covers the difference.
"""

USUAL_NODES = 8
"""Nodes among which work and retries are taken to be shared.

Each user has 7 or 8 entry VMs; more make each slice of the retries larger
than its due, for which the budget's margin stands.
"""


def open_budget(ratio: float, extra: float, nodes: int) -> RetryBudget:
    """Make the budget of one of several nodes.

    :param ratio: retries allowed for each request.
    :param extra: retries allowed besides, in a window, over all nodes.
    :param nodes: nodes that share it.
    """
    return RetryBudget(ratio * SAFETY, find_reserve(extra, nodes))


def find_reserve(extra: float, nodes: int) -> float:
    """Find what one of several nodes may save up."""
    return max(1, extra * SAFETY / nodes)
