"""Check of the retry budget: how often requests reach a service again."""

import itertools
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from fleet.running import MODEL_SERVICE, NON_MODEL_SERVICE
from soak.clients import Clients
from soak.streams import STREAM_KINDS
from soak.world import RETRY_RATIO, RETRY_WINDOW_SECONDS, World

_HALF = RETRY_WINDOW_SECONDS / 2
_SHIFTS = (0.0, _HALF, RETRY_WINDOW_SECONDS)
"""Requests count in the window, half a window or one window before it."""

_STARTS = (-RETRY_WINDOW_SECONDS, -_HALF, *_SHIFTS)


@dataclass(frozen=True)
class Repeats:
    """The window of a service in which most of its budget was used.

    :param start: of the window, in seconds of the event loop's clock.
    :param count: arrivals in it beyond the first of each request.
    """

    service: str
    start: float
    count: int
    allowed: float


def check_repeats(world: World, clients: Clients) -> Iterator[str]:
    """No service gets more repeats in a window than its requests allow."""
    for repeats in measure_repeats(world, clients):
        if repeats.count > repeats.allowed:
            yield f'repeats beyond the budget: {repeats}'


def measure_repeats(world: World, clients: Clients) -> list[Repeats]:
    """Find the window of each service in which most of its budget was used."""
    return [
        _find_worst(
            service,
            list(_list_repeats(world, service)),
            _list_sent(clients, service),
            world.retry_extra,
        )
        for service in (MODEL_SERVICE, NON_MODEL_SERVICE)
    ]


def _list_repeats(world: World, service: str) -> Iterator[float]:
    """List when requests arrived again, at any replicas of a service."""
    arrivals = defaultdict(list)
    for replica in world.replicas:
        if replica.service == service:
            for identity, at in replica.received:
                arrivals[identity].append(at)
    for times in arrivals.values():
        yield from sorted(times)[1:]


def _list_sent(clients: Clients, service: str) -> list[float]:
    """List when clients sent requests for a service, arrived or not."""
    model = service == MODEL_SERVICE
    return [
        attempt.sent
        for attempt in clients.attempts
        if (attempt.kind in STREAM_KINDS) is model
    ]


def _find_worst(
    service: str, repeats: list[float], sent: list[float], extra: int
) -> Repeats:
    repeats, sent = sorted(repeats), sorted(sent)
    starts = {
        at + shift
        for at, shift in itertools.product((*repeats, *sent), _STARTS)
    }
    windows = (
        Repeats(
            service,
            start,
            _count(repeats, start),
            extra
            + RETRY_RATIO
            * max(_count(sent, start - shift) for shift in _SHIFTS),
        )
        for start in starts
    )
    return max(
        windows,
        key=lambda window: window.count / window.allowed,
        default=Repeats(service, 0, 0, extra),
    )


def _count(times: list[float], start: float) -> int:
    """Count the times in a window."""
    end = bisect_left(times, start + RETRY_WINDOW_SECONDS)
    return end - bisect_left(times, start)
