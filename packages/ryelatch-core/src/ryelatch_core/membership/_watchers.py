"""Chooses the nodes that watch the store for others.

Each watch of each node has its price and its share of the store's rate; with
ninety nodes, calls to the store cost more than a tenth of what a day is worth.
A few nodes of each availability zone watch, and the others ask them.
"""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass

FEWEST_NODES = 20
"""Nodes of a fleet below which each watches for itself.

Those that watch for others ask the store more often, so that a blind one is
noticed in time; below twenty nodes this costs what the others save.
"""

NODES_PER_WATCHER = 48
"""Nodes of a zone for each one that watches for them.

A change of a hundred entries is 4 kB for each of them as it is sent, a sixth
of a second for all on the weakest links, and those with the widest are asked.
Where the only one of a zone is lost, its nodes ask another zone's.
"""


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """A node, as the nodes list themselves.

    :param address: ``host:port`` where peers ask; empty if it has none.
    :param link_mbps: of its VM's link.
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
    """Choose whom a node asks, best first: the own zone's, then others'.

    :param node_name: name of the node that asks.
    :returns: none of the own zone's if this node is one of them; they watch
        for themselves while they can. Where all of a zone are cut off, its
        nodes ask another zone's: asking the store they would be as many calls
        at once as the zone has nodes.
    """
    zones: dict[str, list[NodeEntry]] = {}
    for node in nodes:
        if node.address:
            zones.setdefault(node.zone, []).append(node)
    local = _select_watchers(zones.pop(zone, []))
    remote = [
        one for name in sorted(zones) for one in _select_watchers(zones[name])
    ]
    if any(one.name == node_name for one in local):
        local = []
    return (*_rotate(local, node_name), *_rotate(remote, node_name))


def shares_watches(nodes: Iterable[NodeEntry]) -> bool:
    """Whether some nodes of a fleet watch for others."""
    return len([one for one in nodes if one.address]) >= FEWEST_NODES


def watches_for_others(
    node_name: str, zone: str, nodes: Iterable[NodeEntry]
) -> bool:
    """Whether a node is one of those that watch for others."""
    known = tuple(nodes)
    own = [one for one in known if one.zone == zone and one.address]
    return shares_watches(known) and any(
        one.name == node_name for one in _select_watchers(own)
    )


def _select_watchers(nodes: list[NodeEntry]) -> list[NodeEntry]:
    """List the nodes of a zone that watch: those with the widest links."""
    count = -(-len(nodes) // NODES_PER_WATCHER)
    ordered = sorted(nodes, key=lambda one: (-one.link_mbps, one.name))
    return ordered[:count]


def _rotate(nodes: list[NodeEntry], node_name: str) -> list[NodeEntry]:
    """Let each node begin with another one, so that all are asked alike."""
    if not nodes:
        return []
    first = zlib.crc32(node_name.encode()) % len(nodes)
    return [*nodes[first:], *nodes[:first]]
