"""Where work goes as all nodes start at once.

The load is everything that waited for them, within a fifth of a second, while
none of them knows what the others send.
"""

import random
from collections import Counter
from dataclasses import replace

from core_fleet import TYPICAL_MODEL, make_query, make_replica
from ryelatch_core.fleet import LoadTracker, LoadEstimate, choose_path

_NODES = 60
_EACH = 5
_MOST_SHARE = 0.5
"""The fastest replica has 0.42 of the pace of all."""

_LAYERS = 6
_SLIGHT = 0.01
_SMALL = replace(TYPICAL_MODEL, layers=_LAYERS)
_KINDS = ('a100', 'v100', 'v100', 'l4', 'l4', 'l4')
_REPLICAS = [
    make_replica(f'r-{number}', 0, _LAYERS, 'zone-a', kind)
    for number, kind in enumerate(_KINDS)
]


def _spread(*, doubts: bool) -> Counter[str]:
    """Send what waited, and count it by first replica."""
    sent: Counter[str] = Counter()
    for node in range(_NODES):
        load = LoadTracker()
        draw = random.Random(node).random
        for number in range(_EACH):
            now = number * 0.04
            estimate = load.estimate(now)
            if not doubts:
                estimate = LoadEstimate(estimate.requests, estimate.tokens)
            query = make_query(profile=_SMALL, draw=draw, load=estimate)
            path = choose_path(_REPLICAS, query)
            load.add(path, 991, now)
            sent[path[0].replica.name] += 1
    return sent


def test_what_waited_is_spread_over_all() -> None:
    """The fastest replica gets most, but no more than its pace allows."""
    sent = _spread(doubts=True)
    assert len(sent) == len(_KINDS)
    assert sent.most_common(1)[0][0] == 'r-0'
    assert sent['r-0'] < _NODES * _EACH * _MOST_SHARE


def test_nodes_that_know_nothing_crowd_one() -> None:
    """Going by what they know, all of them choose the same few."""
    sent = _spread(doubts=False)
    assert sent['r-0'] > _NODES * _EACH * _MOST_SHARE


def test_uncertainty_vanishes() -> None:
    """A node that has run for a while goes by what it knows."""
    load = LoadTracker()
    load.set_node_count(_NODES)
    assert load.estimate(10).doubt > 1 - _SLIGHT
    assert load.estimate(40).doubt < _SLIGHT
