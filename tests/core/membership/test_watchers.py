"""Nodes that watch the store for others."""

from collections import Counter

from ryelatch_core.membership import (
    NodeEntry,
    choose_watchers,
    shares_watches,
    watches_for_others,
)


def _make_nodes(count: int, zones: int = 3) -> list[NodeEntry]:
    return [
        NodeEntry(
            f'node-{number:02}',
            f'zone-{number % zones}',
            f'10.0.0.{number}:7340',
            200 if number < zones else 20,
        )
        for number in range(count)
    ]


def test_small_fleets_watch_for_themselves() -> None:
    assert not shares_watches(_make_nodes(9))
    assert not any(
        watches_for_others(node.name, node.zone, _make_nodes(9))
        for node in _make_nodes(9)
    )


def test_few_watch_for_a_large_fleet() -> None:
    """Of two hundred nodes two per zone watch, those with the fastest links."""
    nodes = _make_nodes(200)
    watching = [
        node
        for node in nodes
        if watches_for_others(node.name, node.zone, nodes)
    ]
    assert len(watching) == 6
    assert {node.name for node in watching} >= {'node-00', 'node-01', 'node-02'}


def test_nodes_ask_their_own_zone_first() -> None:
    nodes = _make_nodes(90)
    for node in nodes:
        watchers = choose_watchers(node.name, node.zone, nodes)
        watches = watches_for_others(node.name, node.zone, nodes)
        assert watches or watchers[0].zone == node.zone
        assert node.name not in {watcher.name for watcher in watchers}


def test_all_watchers_are_asked_alike() -> None:
    """Without rotation, sixty nodes would overload one watcher of two."""
    nodes = _make_nodes(200)
    firsts = Counter(
        choose_watchers(node.name, node.zone, nodes)[0].name
        for node in nodes
        if not watches_for_others(node.name, node.zone, nodes)
    )
    assert max(firsts.values()) <= 48


def test_node_without_an_address_is_not_asked() -> None:
    nodes = [NodeEntry('old', 'zone-0'), *_make_nodes(30)]
    assert not any(
        node.name == 'old' for node in choose_watchers('x', 'zone-0', nodes)
    )
