"""Chooses the first replica of a request that may be why others ended.

Answers the load of a request that ends each first replica at which it begins,
together with all streams that began there.
"""

import hashlib
from collections import Counter
from collections.abc import Iterable

from ryelatch_core.fleet._types import Replica

_HASH_BYTES = 8


def rank_first_replicas(digest: str, replicas: Iterable[Replica]) -> list[Replica]:
    """Rank first replicas for such a request, the best one first.

    Those come first beside which another one holds the first layers in their
    availability zone, as the zone keeps its paths without them. Among these
    each request has an order of its own, the same at all nodes: its copies
    meet at one replica, and others that lost a replica with it go elsewhere,
    so that the next end speaks against few.

    :param digest: of the request.
    :param replicas: those that may be used.
    """
    heads = [one for one in replicas if one.layers and not one.layers.first]
    zones = Counter(one.zone for one in heads)
    return sorted(
        heads,
        key=lambda one: (zones[one.zone] == 1, _hash(digest, one.name)),
    )


def _hash(digest: str, name: str) -> bytes:
    """Order replicas evenly; a checksum would order most requests alike."""
    text = f'{digest} {name}'.encode()
    return hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()
