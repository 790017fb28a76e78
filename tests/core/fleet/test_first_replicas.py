"""Ranking of first replicas for requests that may have crashed others.

One request crashes the replicas at which it begins, and other requests lose
their replica together with it.
"""

import itertools
from collections import Counter

from core_fleet import make_replica
from ryelatch_core.fleet import rank_first_replicas

_ZONES = ('zone-a', 'zone-b', 'zone-c')
_FIRST_REPLICAS = [
    make_replica(f'{zone}-{number}', 0, 5, zone)
    for zone, number in itertools.product(_ZONES, range(2))
]
_DIGESTS = [f'{number:016x}' for number in range(60)]


def test_last_first_replica_of_a_zone_comes_last() -> None:
    """The last first replica of a zone ranks last.

    If it crashed too, the zone would have no paths.
    """
    remaining = [
        replica for replica in _FIRST_REPLICAS if replica.name != 'zone-b-0'
    ]
    for digest in _DIGESTS:
        assert rank_first_replicas(digest, remaining)[-1].name == 'zone-b-1'


def test_copies_of_a_request_meet() -> None:
    """The order at each node is the same, however it lists the replicas."""
    for digest in _DIGESTS:
        found = rank_first_replicas(digest, reversed(_FIRST_REPLICAS))
        assert found == rank_first_replicas(digest, _FIRST_REPLICAS)


def test_requests_that_lost_one_replica_part() -> None:
    """Requests that lose a replica together part at the next one."""
    counts = Counter(
        rank_first_replicas(digest, _FIRST_REPLICAS)[0].name
        for digest in _DIGESTS
    )
    assert len(counts) == len(_FIRST_REPLICAS)
    assert max(counts.values()) <= len(_DIGESTS) / 2


def test_orders_of_requests_are_independent() -> None:
    """Orders differ between requests, though names and digests are similar."""
    orders = {
        tuple(
            head.name for head in rank_first_replicas(digest, _FIRST_REPLICAS)
        )
        for digest in _DIGESTS
    }
    assert len(orders) > len(_DIGESTS) * 0.8


def test_other_replicas_are_left_out() -> None:
    """Replicas without the first layers are left out.

    No path begins there.
    """
    others = [make_replica('other', 5, 80), *_FIRST_REPLICAS]
    assert len(rank_first_replicas(_DIGESTS[0], others)) == len(_FIRST_REPLICAS)
