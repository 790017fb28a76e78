"""Chooses the nodes that are asked whether they reach the replicas.

Only another node can distinguish replicas that are lost from links that are:
both look the same from here.
"""

from collections.abc import Callable, Iterable, Iterator

from ryelatch_core.membership import NodeEntry

BATCH = 4
"""Nodes that are asked at once, half of them in the own availability zone."""

MAX_ASKED = 16
"""Nodes that are asked in all before the replicas count as lost for all.

If a zone loses power, every node of the fleet asks, so the number is bounded.
"""


def choose_witnesses(
    node_name: str,
    zone: str,
    nodes: Iterable[NodeEntry],
    sample: Callable[[], float],
) -> Iterator[list[NodeEntry]]:
    """Choose the nodes to ask, in batches.

    :param node_name: name of the node that asks.
    :param zone: its availability zone.
    :param sample: returns random numbers from 0 to 1.
    """
    drawn = sorted(
        (sample(), node.name, node)
        for node in nodes
        if node.address and node.name != node_name
    )
    local = [node for _, _, node in drawn if node.zone == zone]
    remote = [node for _, _, node in drawn if node.zone != zone]
    asked = 0
    while (local or remote) and asked < MAX_ASKED:
        batch = _take(local, remote)
        asked += len(batch)
        yield batch


def _take(local: list[NodeEntry], remote: list[NodeEntry]) -> list[NodeEntry]:
    """Take a batch from both lists, and fill it up from the longer one."""
    near = local[: max(BATCH // 2, BATCH - len(remote))]
    far = remote[: BATCH - len(near)]
    del local[: len(near)]
    del remote[: len(far)]
    return near + far
