"""The load of all nodes, as one node estimates it from its own."""

import pytest

from ryelatch_core.fleet import LayerRange, LoadTracker, Replica, Stage

_REPLICA = Replica('m-0', 'model', 'm-0:1', 'a', 'l4', LayerRange(0, 8))
_PATH = (Stage(_REPLICA, LayerRange(0, 8)),)
_LONG = 60.0


def _estimate(*, own: bool) -> float:
    """Estimate the requests at a replica that has four of this node's."""
    load = LoadTracker()
    load.set_node_count(8)
    load.estimate(0)
    for _ in range(4):
        load.add(_PATH, 100, 0, own=own)
    return load.estimate(_LONG).requests['m-0']


def test_other_nodes_have_as_many_requests() -> None:
    assert _estimate(own=True) == pytest.approx(32, rel=0.01)


def test_requests_of_others_are_not_multiplied() -> None:
    """A node that serves for seven others takes all replicas for crowded."""
    assert _estimate(own=False) == pytest.approx(4, rel=0.01)


def test_nothing_is_left_of_requests_that_ended() -> None:
    load = LoadTracker()
    for own in (True, False):
        load.add(_PATH, 100, 0, own=own)
    for own in (False, True):
        load.remove(_PATH, 100, 1, own=own)
    assert not load.requests
    assert not load.tokens
