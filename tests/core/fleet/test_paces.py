"""Paths keep away from replicas that turn slow.

The load is a few replicas that take twelve times as long for some seconds;
every path through one of them is held up, though its first replica is sound.
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


def _find_tail(paces: dict[str, float], seed: int) -> str:
    path = choose_path(_REPLICAS, make_query(seed, paces=paces))
    return path[1].replica.name


def test_slow_part_of_a_path_is_avoided() -> None:
    """Where another replica holds the same layers, it runs them."""
    tails = {_find_tail({'tail-1': _SLOW}, seed) for seed in range(40)}
    assert tails == {'tail-2'}


def test_slow_part_is_chosen_where_nobody_knows() -> None:
    """Going by load alone, half of the paths lead through it."""
    assert {_find_tail({}, seed) for seed in range(40)} == {'tail-1', 'tail-2'}


def test_slow_replica_is_used_where_no_other_is() -> None:
    """A slow path is better than none."""
    query = make_query(paces={'last': _SLOW})
    assert any(
        one.replica.name == 'last' for one in choose_path(_REPLICAS, query)
    )


def test_slow_replica_is_trusted_again() -> None:
    """It says so itself, or nothing is heard of it for a while."""
    book = StepFactorTracker()
    assert book.note('a', _SLOW, 0)
    assert not book.note('a', _SLOW, 1)
    assert book.note('b', _SLOW, 1)
    assert book.list_slow(2) == {'a': _SLOW, 'b': _SLOW}
    assert not book.note('a', 1, 2)
    assert book.list_slow(2) == {'b': _SLOW}
    assert not book.list_slow(10)


def test_nonsense_of_a_pace_is_bounded() -> None:
    """No word of a replica makes it faster, or its paths endless."""
    book = StepFactorTracker()
    assert not book.note('a', -1, 0)
    assert not book.note('a', 0, 0)
    assert book.note('a', 1e300, 0)
    assert book.list_slow(1)['a'] < 1000
