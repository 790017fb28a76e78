"""The most urgent requests alone are more than there is room for."""

import pytest

from core_admission import (
    get_path,
    keep_busy,
    list_granted,
    list_refused,
    make_controller,
    make_copy,
    make_request,
)
from core_admission_load import ROOM, LoadedZone, Source, get_share_served

URGENT = Source(0.35 * ROOM, priority=0, factor=4)
MIDDLE = Source(0.175 * ROOM, priority=1)
LEAST = Source(0.175 * ROOM, priority=2)


@pytest.fixture(scope='module', params=range(3))
def zone(request: pytest.FixtureRequest) -> LoadedZone:
    """Let urgent requests exceed the room for most of a minute."""
    zone = LoadedZone([URGENT, MIDDLE, LEAST], (10, 40), request.param)
    zone.run(42)
    return zone


def test_less_urgent_requests_are_not_starved(zone: LoadedZone) -> None:
    """They get at least a quarter of the mean share while it lasts."""
    mean = get_share_served(zone.select(12, 32, lambda _: True))
    for source in (MIDDLE, LEAST):
        share = get_share_served(zone.select(12, 32, source.__eq__))
        assert share >= mean / 4


def test_urgent_requests_are_served_most(zone: LoadedZone) -> None:
    """The places that others get leave the largest share to urgent ones."""
    urgent, middle, least = (
        get_share_served(zone.select(12, 32, source.__eq__))
        for source in (URGENT, MIDDLE, LEAST)
    )
    assert urgent > max(middle, least)


def test_starved_request_gets_the_next_place() -> None:
    """One of the least urgent was refused; the next one isn't."""
    controller = make_controller(make_copy(0, 100))
    keep_busy(controller, get_path(0), 10)
    assert controller.reserve(make_request('running'), get_path(0), 100)
    for number in range(10):
        controller.enqueue(make_request(f'urgent-{number}'), 100)
    refused, least = (
        make_request(identity, priority=2, start_by=100.5)
        for identity in ('refused', 'least')
    )
    assert list_refused(controller.enqueue(refused, 100))
    assert not list_refused(controller.enqueue(least, 100.1))
    controller.release('running', 100.2)
    assert not controller.reserve(make_request('new'), get_path(0), 100.2)
    assert list_granted(controller.admit_waiting(100.2)) == ['least']
