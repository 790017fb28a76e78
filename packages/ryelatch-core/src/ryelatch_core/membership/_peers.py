"""Chooses the peers of a node, and the nodes that watch the store."""

import hashlib
from collections.abc import Iterable

from ryelatch_core.membership._roster import Vm

FULL_MESH_PEERS = 16
"""Largest number of other nodes at which each connects to all others."""

ZONE_PEERS = 8
"""Peers in a node's own availability zone, in a larger fleet."""

PEERS_PER_REMOTE_ZONE = 2
"""Peers in each other availability zone, in a larger fleet."""

ZONE_WATCHERS = 2
"""Nodes of each availability zone that watch the store."""


def choose_peers(name: str, zone: str, nodes: Iterable[Vm]) -> list[Vm]:
    """Choose the peers that a node opens streams to.

    A small fleet is a full mesh. In a larger one a node chooses, in its own
    availability zone, the next few nodes on a ring of names, which keeps the
    zone connected when nodes fail, and in each other zone a few that differ
    from node to node. So the number of peers grows with the number of zones,
    not of nodes.

    :param name: name of the node that chooses.
    :param zone: its availability zone.
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
    """Whether a node is one of its zone's few that watch the store.

    As the views of nodes differ, a zone can have too many watchers or none for
    a moment. A surplus one costs a call; without any, each node still learns
    of every revision from its own slow poll.

    :param zone_peers: names of the other nodes of the zone that are connected.
    """
    return sorted({name, *zone_peers}).index(name) < ZONE_WATCHERS


def _rank(name: str, nodes: Iterable[Vm]) -> list[Vm]:
    """Sort nodes by a hash of both names (rendezvous hashing)."""
    return sorted(
        nodes,
        key=lambda node: hashlib.sha256(
            f'{name} {node.name}'.encode()
        ).digest(),
    )
