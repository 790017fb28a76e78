"""Chooses the node that grants the permits of a replica."""

import hashlib
from collections.abc import Iterable

from ryelatch_core.membership import NodeEntry

_HASH_BYTES = 8


def rank_limiters(replica: str, nodes: Iterable[NodeEntry]) -> list[NodeEntry]:
    """Rank the nodes that may grant the permits of a replica, best first.

    This is rendezvous hashing: nodes with the same list compute the same order
    for a replica, and a node that joins or leaves changes the first place of
    few replicas only.

    :param replica: name of the replica's incarnation.
    """
    return sorted(
        (node for node in nodes if node.address),
        key=lambda node: (_hash(replica, node.name), node.name),
    )


def _hash(replica: str, node: str) -> bytes:
    text = f'{replica} {node}'.encode()
    return hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()
