"""Chooses the nodes that watch the store for others.

Every call to the store has a price and takes a part of the store's rate limit;
if each of ninety nodes watched, calls would cost more than a tenth of the value
of a day's service. So a few nodes of each availability zone watch, and the
others send their requests to them.
"""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass

MIN_SHARING_NODES = 20
"""Size of a fleet, in nodes, below which each node watches for itself.

Nodes that watch for others call the store more often, so that the others soon
notice one that is cut off from the store. Below twenty nodes, these calls cost
as much as the others save.
"""

NODES_PER_WATCHER = 48
"""Number of nodes in a zone for each node that watches for them.

A change of a hundred entries is 4 kB on the wire for each of them: a sixth of a
second for all on the slowest links, and the nodes with the fastest links are
chosen. If the only watcher of a zone is lost, its nodes send their requests to
watchers of other zones.
"""


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """A node's entry in the list of nodes.

    :param name: name of the node.
    :param zone: its availability zone.
    :param address: ``host:port`` for requests of peers; empty if it has none.
    :param link_mbps: bandwidth of its VM's link, in Mbit/s.
    """

    name: str
    zone: str
    address: str = ''
    link_mbps: float = 0


def choose_watchers(
    node_name: str,
    zone: str,
    nodes: Iterable[NodeEntry],
) -> tuple[NodeEntry, ...]:
    """Choose the watchers that a node sends its requests to, best first.

    Watchers of the node's own zone come first, then those of other zones. If
    all watchers of a zone are cut off from the store, its nodes turn to other
    zones: if they turned to the store, it would get as many calls at once as
    the zone has nodes.

    :param node_name: name of the node that sends the requests.
    :param zone: its availability zone.
    :returns: the watchers; none of its own zone if the node is one of them, as
        watchers watch for themselves while they can.
    """
    zones: dict[str, list[NodeEntry]] = {}
    for node in nodes:
        if node.address:
            zones.setdefault(node.zone, []).append(node)
    local = _select_watchers(zones.pop(zone, []))
    remote = [
        watcher
        for name in sorted(zones)
        for watcher in _select_watchers(zones[name])
    ]
    if any(watcher.name == node_name for watcher in local):
        local = []
    return (*_rotate(local, node_name), *_rotate(remote, node_name))


def shares_watches(nodes: Iterable[NodeEntry]) -> bool:
    """Whether the fleet is so large that some nodes watch for others."""
    return len([node for node in nodes if node.address]) >= MIN_SHARING_NODES


def watches_for_others(
    node_name: str, zone: str, nodes: Iterable[NodeEntry]
) -> bool:
    """Whether a node is one of those that watch for others."""
    known = tuple(nodes)
    local = [node for node in known if node.zone == zone and node.address]
    return shares_watches(known) and any(
        node.name == node_name for node in _select_watchers(local)
    )


def _select_watchers(nodes: list[NodeEntry]) -> list[NodeEntry]:
    """Select the nodes of a zone that watch: those with the fastest links."""
    count = -(-len(nodes) // NODES_PER_WATCHER)
    ordered = sorted(nodes, key=lambda node: (-node.link_mbps, node.name))
    return ordered[:count]


def _rotate(nodes: list[NodeEntry], node_name: str) -> list[NodeEntry]:
    """Rotate a list by a hash of the node's name, to spread the requests."""
    if not nodes:
        return []
    first = zlib.crc32(node_name.encode()) % len(nodes)
    return [*nodes[first:], *nodes[:first]]
