"""Which nodes are asked whether they reach replicas."""

import random

from ryelatch_core.links import choose_witnesses
from ryelatch_core.membership import NodeEntry


def _make_nodes(*counts: int) -> list[NodeEntry]:
    return [
        NodeEntry(f'{zone}-{number}', zone, f'{zone}{number}:1')
        for zone, count in zip('abc', counts, strict=False)
        for number in range(count)
    ]


def _choose(nodes: list[NodeEntry]) -> list[list[NodeEntry]]:
    sample = random.Random(1).random
    return list(choose_witnesses('a-0', 'a', nodes, sample))


def test_all_of_a_small_fleet_are_asked() -> None:
    """Seven of eight nodes have lost their links; only one can confirm it."""
    batches = _choose(_make_nodes(3, 3, 2))
    assert [len(batch) for batch in batches] == [4, 3]
    assert 'a-0' not in {node.name for batch in batches for node in batch}


def test_first_batch_has_nodes_of_other_zones() -> None:
    """All nodes of the own zone have lost their links."""
    first = _choose(_make_nodes(30, 30, 30))[0]
    assert {node.zone == 'a' for node in first} == {True, False}


def test_few_of_a_large_fleet_are_asked() -> None:
    """A zone loses power, and all nodes ask all others about it."""
    batches = _choose(_make_nodes(400, 400, 400))
    assert sum(map(len, batches)) <= 16


def test_nodes_of_one_zone_only() -> None:
    batches = _choose(_make_nodes(5))
    assert sum(map(len, batches)) == 4
