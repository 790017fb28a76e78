"""Which nodes speak to which, and which watch the store."""

import hashlib
from collections.abc import Iterable

from ryelatch_core.membership._roster import Vm

FULL_MESH_PEERS = 16
ZONE_PEERS = 8
PEERS_PER_REMOTE_ZONE = 2
ZONE_WATCHERS = 2


def choose_peers(name: str, zone: str, nodes: Iterable[Vm]) -> list[Vm]:
    """Choose the nodes that a node opens streams to.

    A small fleet is a full mesh. In a larger one these are, in the own
    availability zone, the next few on a ring of names, which keeps the zone
    connected whoever else fails; and in each other zone a few that differ
    from node to node. So the count grows with zones, not with nodes.
    """
    others = [node for node in nodes if node.name != name]
    if len(others) <= FULL_MESH_PEERS:
        return others
    local = [node for node in others if node.zone == zone]
    ring = sorted(local, key=lambda node: (node.name <= name, node.name))
    remote_zones = sorted({node.zone for node in others} - {zone})
    remote = [
        node
        for remote_zone in remote_zones
        for node in _rank(
            name, (node for node in others if node.zone == remote_zone)
        )[:PEERS_PER_REMOTE_ZONE]
    ]
    return ring[:ZONE_PEERS] + remote


def should_watch(name: str, zone_peers: Iterable[str]) -> bool:
    """Tell whether a node is one of its zone's few that watch the store.

    Two nodes with different views may both watch or a zone have none for a
    moment; watching twice costs a call, and without a watcher the slow poll
    of each node still brings each revision.

    :param zone_peers: names of the nodes in the zone heard of just now.
    """
    return sorted({name, *zone_peers}).index(name) < ZONE_WATCHERS


def _rank(name: str, nodes: Iterable[Vm]) -> list[Vm]:
    """Order nodes by a hash of the pair (rendezvous hashing)."""
    return sorted(
        nodes,
        key=lambda node: hashlib.sha256(
            f'{name} {node.name}'.encode()
        ).digest(),
    )
