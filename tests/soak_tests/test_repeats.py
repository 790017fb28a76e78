"""Tests that repeats beyond the retry budget are found."""

import random

from fleet.running import KEY, MODEL_SERVICE
from soak.clients import Attempt, Clients
from soak.repeats import check_repeats, measure_repeats
from soak.world import RETRY_WINDOW_SECONDS, World
from standins.objects import ObjectStore
from standins.replica import ReplicaStandIn

_EXTRA = 3
_REQUESTS = 20
"""Requests that allow two repeats more."""

_BEGIN = 100.0


def _find_violations(
    repeats: int, after: float = 0, spread: float = 0, sent: float = _BEGIN
) -> list[str]:
    """Send each request once, and some of them once more.

    :param repeats: number of arrivals beyond the first ones.
    :param after: seconds from the first arrivals to the first repeat.
    :param spread: seconds from one repeat to the next.
    :param sent: when the clients sent the requests.
    """
    world = World(random.Random(1), ObjectStore(), retry_extra=_EXTRA)
    replicas = [ReplicaStandIn(f'm-{number}', 'model') for number in range(2)]
    world.replicas += replicas
    attempts = [
        Attempt(f'r-{number}', 'plan', KEY, sent) for number in range(_REQUESTS)
    ]
    replicas[0].received += [(attempt.identity, sent) for attempt in attempts]
    replicas[1].received += [
        (f'r-{number}', sent + after + number * spread)
        for number in range(repeats)
    ]
    return list(check_repeats(world, Clients(world, attempts)))


def test_repeats_beyond_the_budget_are_found() -> None:
    """One repeat more than the requests and the extra allow is overlooked."""
    assert not _find_violations(5)
    assert _find_violations(6)


def test_repeats_of_different_windows_are_apart() -> None:
    """Repeats count together although no window holds all of them."""
    assert not _find_violations(9, spread=RETRY_WINDOW_SECONDS / 5)
    assert _find_violations(9, spread=RETRY_WINDOW_SECONDS / 9)


def test_old_requests_allow_no_repeats() -> None:
    """Requests from longer ago than the window before allow repeats."""
    assert not _find_violations(5, after=0.9 * RETRY_WINDOW_SECONDS)
    assert _find_violations(5, after=1.1 * RETRY_WINDOW_SECONDS)


def test_requests_of_other_services_do_not_count() -> None:
    """Requests for a service allow repeats at another one."""
    world = World(random.Random(1), ObjectStore(), retry_extra=_EXTRA)
    world.replicas.append(ReplicaStandIn('m-0', MODEL_SERVICE))
    world.replicas[0].received += [('r-0', _BEGIN)] * 5
    attempts = [
        Attempt(f'r-{number}', 'ping', KEY, _BEGIN)
        for number in range(_REQUESTS)
    ]
    clients = Clients(world, attempts)
    assert list(check_repeats(world, clients))
    model, booking = measure_repeats(world, clients)
    assert (model.count, model.allowed) == (4, _EXTRA)
    assert booking.count == 0
