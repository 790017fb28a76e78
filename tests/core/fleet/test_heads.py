"""Where requests go on that may be why replicas ended.

The load is one request that ends the replicas at which it begins, amid others
that lose theirs with it.
"""

import itertools
from collections import Counter

from core_fleet import make_replica
from ryelatch_core.fleet import rank_first_replicas

_ZONES = ('zone-a', 'zone-b', 'zone-c')
_HEADS = [
    make_replica(f'{zone}-{number}', 0, 5, zone)
    for zone, number in itertools.product(_ZONES, range(2))
]
_DIGESTS = [f'{number:016x}' for number in range(60)]


def test_last_first_replica_of_a_zone_comes_last() -> None:
    """The zone that has lost one of two is spared, as it has no other."""
    left = [one for one in _HEADS if one.name != 'zone-b-0']
    for digest in _DIGESTS:
        assert rank_first_replicas(digest, left)[-1].name == 'zone-b-1'


def test_copies_of_a_request_meet() -> None:
    """Nodes that list replicas in another order send them to the same one."""
    for digest in _DIGESTS:
        found = rank_first_replicas(digest, reversed(_HEADS))
        assert found == rank_first_replicas(digest, _HEADS)


def test_requests_that_lost_one_replica_part() -> None:
    """Requests that lose a replica together don't lose the next together."""
    firsts = Counter(rank_first_replicas(one, _HEADS)[0].name for one in _DIGESTS)
    assert len(firsts) == len(_HEADS)
    assert max(firsts.values()) <= len(_DIGESTS) / 2


def test_orders_of_requests_are_independent() -> None:
    """Names differ in few letters, and so do digests."""
    orders = {
        tuple(head.name for head in rank_first_replicas(one, _HEADS)) for one in _DIGESTS
    }
    assert len(orders) > len(_DIGESTS) * 0.8


def test_other_replicas_are_left_out() -> None:
    """No path begins at them."""
    others = [make_replica('other', 5, 80), *_HEADS]
    assert len(rank_first_replicas(_DIGESTS[0], others)) == len(_HEADS)
