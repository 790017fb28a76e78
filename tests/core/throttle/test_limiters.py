"""Which node grants the permits of a replica."""

from collections import Counter

from ryelatch_core.membership import NodeEntry
from ryelatch_core.throttle import rank_limiters


def _make_nodes(count: int) -> list[NodeEntry]:
    return [
        NodeEntry(f'node-{number}', 'zone-a', f'10.0.0.{number}:1')
        for number in range(count)
    ]


def test_all_nodes_choose_the_same_limiter() -> None:
    nodes = _make_nodes(8)
    assert rank_limiters('b-0', nodes) == rank_limiters('b-0', nodes[::-1])


def test_limiters_are_spread_over_the_nodes() -> None:
    """One node grants all permits, and all other nodes send it requests."""
    nodes = _make_nodes(8)
    chosen = Counter(
        rank_limiters(f'b-{number}', nodes)[0].name for number in range(400)
    )
    assert len(chosen) == 8
    assert max(chosen.values()) < 100


def test_new_node_takes_over_few_replicas() -> None:
    """The start of one node changes the limiters of all replicas."""
    nodes = _make_nodes(20)
    names = [f'b-{number}' for number in range(200)]
    moved = [
        name
        for name in names
        if rank_limiters(name, nodes)[0] != rank_limiters(name, nodes[:19])[0]
    ]
    assert len(moved) < 30


def test_node_without_address_grants_nothing() -> None:
    assert not rank_limiters('b-0', [NodeEntry('node-0', 'zone-a')])
