"""Priorities of requests, and the services that need an order."""

from core_fleet import TYPICAL_MODEL
from ryelatch_core.admission import Priority, get_priority, rank_priorities
from ryelatch_core.routing import (
    Account,
    Configuration,
    RetryPolicy,
    Route,
    ServiceConfiguration,
    Split,
)

SERVICES = {
    'model': ServiceConfiguration('model', '/', 1, TYPICAL_MODEL),
    'other': ServiceConfiguration('other', '/', 1, TYPICAL_MODEL),
    'plain': ServiceConfiguration('plain', '/', 1),
}


def _make_route(
    name: str, priority: int, *services: str, anonymous: bool = False
) -> Route:
    return Route(
        name=name,
        host='city.example',
        prefix=f'/{name}/',
        splits=tuple(Split(service, 1) for service in services),
        retry_policy=RetryPolicy.ANY,
        streaming=True,
        max_attempts=2,
        timeout=10,
        objective=0.5,
        gap=2,
        priority=priority,
        anonymous=anonymous,
    )


def _rank(
    *routes: Route, accounts: tuple[Account, ...] = ()
) -> dict[str, list[Priority]]:
    ranked = rank_priorities(
        Configuration(1, routes, SERVICES, accounts=accounts)
    )
    return {name: list(ranks) for name, ranks in ranked.items()}


def test_priority_of_an_account_comes_first() -> None:
    """An account's own priority counts, also if it is the most urgent."""
    route = _make_route('a', 1, 'model')
    urgent = get_priority(route, Account('urgent', ('key',), 0))
    patient = get_priority(route, Account('patient', ('key',), 2))
    assert get_priority(route, None) == Priority(1, 1)
    assert get_priority(route, Account('plain', ('key',))) == Priority(1, 1)
    assert urgent < get_priority(route, None) < patient


def test_route_decides_among_equal_accounts() -> None:
    """All accounts have the same priority, so that of the route counts."""
    first = _make_route('a', 0, 'model')
    second = _make_route('b', 2, 'model')
    same = Account('same', ('key',), 1)
    assert _rank(first, second, accounts=(same,)) == {
        'model': [Priority(1, 0), Priority(1, 2)]
    }


def test_equal_priorities_rank_no_service() -> None:
    """No configuration without differing priorities is served otherwise."""
    first = _make_route('a', 1, 'model')
    second = _make_route('b', 1, 'model', 'other')
    same = Account('same', ('key',), 1)
    assert not _rank(first, second)
    assert not _rank(first, second, accounts=(same,))
    assert not _rank(first, _make_route('c', 0, 'other'))


def test_differing_routes_rank_a_common_service() -> None:
    """Two routes that differ share one of the model services."""
    first = _make_route('a', 0, 'model', 'plain')
    second = _make_route('b', 2, 'model', 'other', 'plain')
    assert _rank(first, second).keys() == {'model'}


def test_accounts_alone_rank_no_service() -> None:
    """Routes of equal priority are served as before, whoever calls."""
    known = _make_route('a', 1, 'model')
    accounts = (Account('urgent', ('key',), 0), Account('plain', ('key',)))
    assert not _rank(known, accounts=accounts)


def test_accounts_are_ranked_where_routes_differ() -> None:
    """Requests to an anonymous route have no account, so no other priority."""
    known = _make_route('a', 1, 'model')
    anonymous = _make_route('b', 2, 'model', anonymous=True)
    accounts = (Account('urgent', ('key',), 0), Account('plain', ('key',)))
    assert _rank(known, anonymous, accounts=accounts) == {
        'model': [Priority(0, 1), Priority(1, 1), Priority(2, 2)]
    }
