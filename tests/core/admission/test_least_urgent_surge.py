"""The least urgent requests are seven times the usual for nine seconds."""

import pytest

from core_admission_load import (
    ROOM,
    TICK_SECONDS,
    LoadedZone,
    Source,
    get_share_in_time,
)

URGENT = Source(0.28 * ROOM, priority=0)
MIDDLE = Source(0.245 * ROOM, priority=1)
LEAST = Source(0.175 * ROOM, priority=2, factor=7)


@pytest.fixture(scope='module', params=range(3))
def zone(request: pytest.FixtureRequest) -> LoadedZone:
    """Let the surge pass over a zone that usually uses 0.7 of its room."""
    zone = LoadedZone([URGENT, MIDDLE, LEAST], (20, 29), request.param)
    zone.run(42)
    return zone


def test_urgent_requests_keep_their_share(zone: LoadedZone) -> None:
    """More urgent requests are served in time while room is short."""
    for source in (URGENT, MIDDLE):
        before = get_share_in_time(zone.select(10, 20, source.__eq__))
        during = get_share_in_time(zone.select(20, 29, source.__eq__))
        assert during >= 0.95 * before


def test_least_urgent_requests_are_not_starved(zone: LoadedZone) -> None:
    """They get at least a quarter of the mean share during the surge."""
    everyone = zone.select(20, 29, lambda _: True)
    least = zone.select(20, 29, LEAST.__eq__)
    assert get_share_in_time(least) >= get_share_in_time(everyone) / 4


def test_nobody_waits_longer_than_is_of_use(zone: LoadedZone) -> None:
    """A request is decided on by the latest useful start of its answer."""
    overdue = [
        seconds for outcome in zone.outcomes for seconds in outcome.overdue
    ]
    assert max(overdue) <= TICK_SECONDS


def test_no_replica_is_filled_above_its_room(zone: LoadedZone) -> None:
    """Replicas are nearly full all the time, and none is overfilled."""
    assert zone.fullest * 10 >= 9
    assert zone.fullest <= 1
