"""Chooses the node that controls admission to the replicas of a zone."""

import hashlib
import math
from collections.abc import Iterable

from ryelatch_core.membership import NodeEntry

_HASH_BYTES = 8
_MIN_LINK_MBPS = 1.0


def rank_controllers(
    service: str, zone: str, nodes: Iterable[NodeEntry]
) -> list[NodeEntry]:
    """Rank the nodes of a zone that may control admission there, best first.

    This is rendezvous hashing, weighted by the square of the speed of a VM's
    link: VMs with faster links have more processor time as well, and a
    controller handles the requests of a whole zone. Nodes with the same list
    compute the same order, and services differ in it.

    :param service: the service that the requests are for.
    :param zone: the availability zone of its replicas.
    """
    return sorted(
        (node for node in nodes if node.address and node.zone == zone),
        key=lambda node: (_score(service, node), node.name),
    )


def _score(service: str, node: NodeEntry) -> float:
    """Compute the weighted score of a node; the least is the best."""
    text = f'{service} {node.name}'.encode()
    digest = hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()
    sample = (int.from_bytes(digest) + 1) / 2 ** (8 * _HASH_BYTES)
    return -math.log(sample) / max(_MIN_LINK_MBPS, node.link_mbps) ** 2
