"""Distribution of requests when all nodes start at once.

All clients that waited for the nodes send within a fifth of a second, while no
node knows the load of the others.
"""

import random
from collections import Counter
from dataclasses import replace

from core_fleet import TYPICAL_MODEL, make_query, make_replica
from ryelatch_core.fleet import LoadEstimate, LoadTracker, choose_path

_NODES = 60
_REQUESTS_PER_NODE = 5
_MAX_RATIO = 0.5
"""Upper bound of the fastest replica's requests; it has 0.42 of all speed."""

_LAYERS = 6
_TOLERANCE = 0.01
_SMALL = replace(TYPICAL_MODEL, layers=_LAYERS)
_KINDS = ('a100', 'v100', 'v100', 'l4', 'l4', 'l4')
_REPLICAS = [
    make_replica(f'r-{number}', 0, _LAYERS, 'zone-a', kind)
    for number, kind in enumerate(_KINDS)
]


def _spread(*, use_uncertainty: bool) -> Counter[str]:
    """Send the waiting requests and count them by first replica."""
    sent: Counter[str] = Counter()
    for node in range(_NODES):
        tracker = LoadTracker()
        draw = random.Random(node).random
        for number in range(_REQUESTS_PER_NODE):
            now = number * 0.04
            estimate = tracker.estimate(now)
            if not use_uncertainty:
                estimate = LoadEstimate(estimate.requests, estimate.tokens)
            query = make_query(profile=_SMALL, sample=draw, load=estimate)
            path = choose_path(_REPLICAS, query)
            tracker.add(path, 991, now)
            sent[path[0].replica.name] += 1
    return sent


def test_what_waited_is_spread_over_all() -> None:
    """The fastest replica gets the most, but no more than its speed allows."""
    sent = _spread(use_uncertainty=True)
    assert len(sent) == len(_KINDS)
    assert sent.most_common(1)[0][0] == 'r-0'
    assert sent['r-0'] < _NODES * _REQUESTS_PER_NODE * _MAX_RATIO


def test_nodes_that_know_nothing_crowd_one() -> None:
    """Without uncertainty, all nodes choose the same few replicas."""
    sent = _spread(use_uncertainty=False)
    assert sent['r-0'] > _NODES * _REQUESTS_PER_NODE * _MAX_RATIO


def test_uncertainty_vanishes() -> None:
    """The uncertainty of a node vanishes after a while."""
    tracker = LoadTracker()
    tracker.set_node_count(_NODES)
    assert tracker.estimate(10).uncertainty > 1 - _TOLERANCE
    assert tracker.estimate(40).uncertainty < _TOLERANCE
