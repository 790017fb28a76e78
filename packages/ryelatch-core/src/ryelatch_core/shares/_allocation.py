"""Shares of the fleet's slots, which every node computes alike."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True)
class Demand:
    """Requests that an account has running or waiting, by node.

    :param weight: the account's weight in fair sharing.
    :param by_node: number of requests at each node.
    """

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
    """Share slots among accounts by weight (max-min fairness).

    No account gets more than its demand; what it does not need is shared among
    the others.

    :param slots: requests that the whole fleet runs at once.
    :param demands: demand of each account.
    :returns: slots over the whole fleet for each account.
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
    """Compute how many requests each account may run at one node.

    An account may always run its share of this node's own part of the slots,
    so that an account that was idle, and that peers do not know of, starts at
    once.

    A node that is cut off from some others must not hand out their part of the
    slots as well: after a network partition, engines would have requests for
    twice their slots. So only the parts of the reporting nodes are shared.

    :param slots: requests that the whole fleet runs at once.
    :param demands: demand of each account, as far as nodes have reported it.
    :param node: name of this node.
    :param nodes: number of nodes that share the slots.
    :param reporting: number of nodes whose demand is known, this one included;
        ``None`` if it is known for all.
    :returns: largest number of running requests for each account.
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
