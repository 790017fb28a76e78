"""Look-ups of the route, account and service of a request."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import replace

import pytest

from ryelatch_core.routing import (
    Account,
    Configuration,
    RetryPolicy,
    Route,
    Split,
    build_table,
    choose_service,
)


def _make_route(prefix: str, host: str = 'City.example') -> Route:
    return Route(
        name=prefix,
        host=host,
        prefix=prefix,
        splits=(Split('old', 3), Split('new', 1)),
        retry_policy=RetryPolicy.ANY,
        streaming=False,
        max_attempts=2,
        timeout=1,
        objective=0.1,
        gap=0,
        priority=1,
    )


def test_longest_prefix_of_the_host_wins() -> None:
    routes = (
        _make_route('/'),
        _make_route('/a/'),
        _make_route('/a/b/'),
        _make_route('/a/b/', 'other.example'),
    )
    table = build_table(Configuration(1, routes))
    found = table.find_route('city.example:80', '/a/b/c')
    assert found is routes[2]
    assert table.find_route('CITY.example', '/a/bc') is routes[1]
    assert table.find_route('city.example', '/x') is routes[0]
    assert table.find_route('other.example', '/a/x') is None
    assert table.find_route('nobody.example', '/a/') is None


class _CountedRoutes(dict[str, Route]):
    """Counts the bytes of the prefixes that are looked up."""

    def __init__(self, routes: Mapping[str, Route]) -> None:
        super().__init__(routes)
        self.looked_up = 0

    def get(self, prefix: str, default: Route | None = None) -> Route | None:  # type: ignore[override]
        """Look up a prefix."""
        self.looked_up += len(prefix)
        return super().get(prefix, default)


@pytest.mark.parametrize('slashes', [16_000, 32_000])
@pytest.mark.parametrize('start', ['/x', '/a/b/'])
def test_paths_of_slashes_cost_no_more(start: str, slashes: int) -> None:
    """A few clients that send such paths keep a node from all others."""
    routes = (_make_route('/a/'), _make_route('/a/b/'))
    table = build_table(Configuration(1, routes))
    counted = _CountedRoutes(table.routes['city.example'])
    table = replace(table, routes={'city.example': counted})
    found = table.find_route('city.example', start + '/' * slashes)
    assert found is table.find_route('city.example', start)
    assert counted.looked_up <= sum(range(len('/a/b/') + 1))


def test_keys_lead_to_accounts() -> None:
    accounts = (Account('small', ('k1', 'k2')), Account('large', ('k3',)))
    table = build_table(Configuration(1, accounts=accounts))
    assert table.find_account('k2') is accounts[0]
    assert table.find_account('') is None


def test_splits_follow_their_weights() -> None:
    route = _make_route('/')
    chosen = Counter(choose_service(route, step / 1000) for step in range(1000))
    assert chosen == {'old': 750, 'new': 250}
