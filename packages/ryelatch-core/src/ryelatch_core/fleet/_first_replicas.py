"""Ranks first replicas for a request that may have crashed others.

Some requests crash each first replica at which they begin, together with all
streams that began there. Ranking limits how many replicas and other streams
such a request affects.
"""

import hashlib
from collections import Counter
from collections.abc import Iterable

from ryelatch_core.fleet._types import Replica

_HASH_BYTES = 8


def rank_first_replicas(key: str, replicas: Iterable[Replica]) -> list[Replica]:
    """Rank first replicas for a request that may crash them, best first.

    A replica ranks first if another one in its availability zone holds the
    first layers too, since the zone then keeps its paths if the replica
    crashes. Within these groups the order is a hash of request and replica,
    the same at all nodes. Copies of one request thus meet at one replica, and
    other requests that lost a replica together with it go elsewhere, so that
    the next crash casts suspicion on few of them.

    :param key: of the request, or of the part of its prompt, in question.
    :param replicas: those that may be used.
    """
    first_replicas = [
        replica
        for replica in replicas
        if replica.layers and not replica.layers.first
    ]
    zones = Counter(replica.zone for replica in first_replicas)
    return sorted(
        first_replicas,
        key=lambda replica: (
            zones[replica.zone] == 1,
            _hash(key, replica.name),
        ),
    )


def _hash(key: str, name: str) -> bytes:
    """Hash a key with a replica's name.

    A checksum would order the replicas alike for most requests.
    """
    text = f'{key} {name}'.encode()
    return hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()
