"""Paths avoid replicas that become slow.

A few replicas take twelve times as long for some seconds. This delays every
path through one of them, though its first replica works normally.
"""

from core_fleet import make_query, make_replica
from ryelatch_core.fleet import StepFactorTracker, choose_path

_SLOW = 12.0
_REPLICAS = [
    make_replica('head-1', 0, 20),
    make_replica('head-2', 0, 20),
    make_replica('tail-1', 20, 40),
    make_replica('tail-2', 20, 40),
    make_replica('last', 40, 60),
    make_replica('end', 60, 80),
]


def _find_tail(step_factors: dict[str, float], seed: int) -> str:
    path = choose_path(_REPLICAS, make_query(seed, step_factors=step_factors))
    return path[1].replica.name


def test_slow_part_of_a_path_is_avoided() -> None:
    """Another replica that holds the same layers runs them instead."""
    tails = {_find_tail({'tail-1': _SLOW}, seed) for seed in range(40)}
    assert tails == {'tail-2'}


def test_slow_part_is_chosen_where_nobody_knows() -> None:
    """By load alone, half of the paths lead through the slow replica."""
    assert {_find_tail({}, seed) for seed in range(40)} == {'tail-1', 'tail-2'}


def test_slow_replica_is_used_where_no_other_is() -> None:
    """A slow path is better than none."""
    query = make_query(step_factors={'last': _SLOW})
    assert any(
        stage.replica.name == 'last' for stage in choose_path(_REPLICAS, query)
    )


def test_slow_replica_is_trusted_again() -> None:
    """A replica is no longer slow once it reports so, or its report expires."""
    tracker = StepFactorTracker()
    assert tracker.record_factor('a', _SLOW, 0)
    assert not tracker.record_factor('a', _SLOW, 1)
    assert tracker.record_factor('b', _SLOW, 1)
    assert tracker.list_slow(2) == {'a': _SLOW, 'b': _SLOW}
    assert not tracker.record_factor('a', 1, 2)
    assert tracker.list_slow(2) == {'b': _SLOW}
    assert not tracker.list_slow(10)


def test_nonsense_of_a_pace_is_bounded() -> None:
    """No reported factor speeds a replica up, or makes its cost infinite."""
    tracker = StepFactorTracker()
    assert not tracker.record_factor('a', -1, 0)
    assert not tracker.record_factor('a', 0, 0)
    assert tracker.record_factor('a', 1e300, 0)
    assert tracker.list_slow(1)['a'] < 1000
