"""Which node serves requests of one that has lost its links."""

from collections import Counter

from ryelatch_core.links import Helper, LinkGroup, choose_helper
from ryelatch_core.membership import NodeEntry

_GROUP = LinkGroup('m', 'a')


def _make(name: str, zone: str = 'a', room: int = 10) -> Helper:
    return Helper(NodeEntry(name, zone, 'h:1'), frozenset((_GROUP,)), room, 0)


def _spread(helpers: list[Helper], requests: int) -> Counter[str]:
    """Choose for requests that stay in progress; returns their numbers."""
    busy: Counter[str] = Counter()
    for _ in range(requests):
        chosen = choose_helper(helpers, 'm', 'a', busy.__getitem__)
        assert chosen is not None
        busy[chosen.node.name] += 1
    return busy


def test_own_zone_comes_first() -> None:
    helpers = [_make('far', 'b'), _make('near')]
    assert _spread(helpers, 1) == {'near': 1}


def test_one_helper_does_not_serve_for_all() -> None:
    """The only node of a zone with links gets all requests of that zone."""
    helpers = [_make('near'), _make('far', 'b'), _make('farther', 'c')]
    counts = _spread(helpers, 20)
    assert counts['near'] < 12
    assert min(counts.values()) > 3


def test_helpers_get_requests_by_their_room() -> None:
    counts = _spread([_make('small', room=5), _make('large', room=20)], 20)
    assert counts['large'] > 3 * counts['small'] - 2


def test_full_and_excluded_nodes_are_left_out() -> None:
    helpers = [_make('full', room=0), _make('failed')]
    busy: Counter[str] = Counter()
    assert not choose_helper(helpers, 'm', 'a', busy.__getitem__, {'failed'})


def test_nodes_of_another_service_are_left_out() -> None:
    busy: Counter[str] = Counter()
    assert not choose_helper([_make('near')], 'other', 'a', busy.__getitem__)
