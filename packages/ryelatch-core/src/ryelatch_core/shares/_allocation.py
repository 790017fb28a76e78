"""Shares of the fleet's slots, worked out alike by every node."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True)
class Demand:
    """Requests that an account has running or waiting, by node."""

    weight: float
    by_node: Mapping[str, int]

    @property
    def total(self) -> int:
        """Requests over the whole fleet."""
        return sum(self.by_node.values())


def allocate_slots(
    slots: float,
    demands: Mapping[str, Demand],
) -> dict[str, float]:
    """Share slots by weight, none beyond its demand (max-min fairness).

    :returns: slots over the fleet for each account.
    """
    granted: dict[str, float] = {}
    left = slots
    remaining_weight = sum(demand.weight for demand in demands.values())
    by_need = sorted(
        demands.items(), key=lambda entry: entry[1].total / entry[1].weight
    )
    for account, demand in by_need:
        fair = left * demand.weight / remaining_weight
        granted[account] = min(demand.total, fair)
        left -= granted[account]
        remaining_weight -= demand.weight
    return granted


def cap_accounts(
    slots: float,
    demands: Mapping[str, Demand],
    node: str,
    nodes: int,
    reporting: int | None = None,
) -> dict[str, int]:
    """Work out how many requests each account may run at one node.

    An account may always run its share of this node's own slice, so that one
    that was idle, and of which peers have heard nothing, starts at once.

    A node that hears nothing of some others must not hand out their part of
    the slots too; it would show as engines with twice their slots after a
    cut between nodes. So only the slices of the nodes heard are shared.

    :param nodes: nodes that share the slots.
    :param reporting: nodes whose demand is known, this one included.
    """
    known = nodes if reporting is None else min(reporting, nodes)
    granted = allocate_slots(slots * known / nodes, demands)
    weights = sum(demand.weight for demand in demands.values())
    return {
        account: max(
            _minimum_slots(slots / nodes, demand.weight / weights),
            round(
                granted[account]
                * demand.by_node.get(node, 0)
                / max(1, demand.total)
            ),
        )
        for account, demand in demands.items()
    }


def _minimum_slots(node_slots: float, share: float) -> int:
    return max(1, int(node_slots * share))
