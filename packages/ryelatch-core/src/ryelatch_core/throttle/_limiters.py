"""Chooses the node that grants the permits of a replica."""

import hashlib
from collections.abc import Iterable

from ryelatch_core.membership import NodeEntry

_HASH_BYTES = 8


def rank_limiters(replica: str, nodes: Iterable[NodeEntry]) -> list[NodeEntry]:
    """Rank the nodes that may grant the permits of a replica, best first.

    Each replica has an order of its own, the same at all nodes with the same
    list; one that comes or goes changes the first place of few replicas.

    :param replica: name of its life.
    """
    return sorted(
        (node for node in nodes if node.address),
        key=lambda node: (_hash(replica, node.name), node.name),
    )


def _hash(replica: str, node: str) -> bytes:
    text = f'{replica} {node}'.encode()
    return hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()
