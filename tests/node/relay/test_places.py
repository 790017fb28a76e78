"""Places of requests, asked for before they are sent."""

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import pytest

from ryelatch_core.admission import ReservationRequest
from ryelatch_core.fleet import LayerRange, Replica, Stage
from ryelatch_node.relay import _places as places
from ryelatch_node.relay._places import (
    MAX_PATHS_ASKED,
    choose_reserved_path,
    hold_place,
    record_path,
)
from ryelatch_node.reservations import (
    BusyReply,
    FleetLoad,
    GrantReply,
    RefusalReply,
    ZoneKey,
)
from virtual.loop import VirtualClock, run


def _make_path(*zones: str) -> tuple[Stage, ...]:
    return tuple(
        Stage(
            Replica(f'm-{zone}', 'model', f'm-{zone}:80', zone),
            LayerRange(index, index + 1),
        )
        for index, zone in enumerate(zones)
    )


@dataclass
class _Client:
    """A client of controllers that give fixed replies."""

    reserved: Any = None
    enqueued: Any = None
    asked: list[tuple[str, ...]] = field(default_factory=list)
    waited: list[ZoneKey] = field(default_factory=list)
    placed: list[tuple[str, ...]] = field(default_factory=list)
    released: list[str] = field(default_factory=list)

    async def reserve(
        self, _: ZoneKey, request: ReservationRequest, path: tuple[str, ...]
    ) -> Any:
        """Reply to a question for room on a path."""
        assert request.priority == 1
        self.asked.append(path)
        return self.reserved

    async def enqueue(self, key: ZoneKey, _: ReservationRequest) -> Any:
        """Reply to a request that may wait."""
        self.waited.append(key)
        await asyncio.sleep(0.1)
        return self.enqueued

    def place(self, _: str, zone: str, path: tuple[str, ...]) -> None:
        """Record the path that was reported."""
        assert path[0].endswith(zone)
        self.placed.append(path)

    def release(self, identity: str) -> None:
        """Record the request that was released."""
        self.released.append(identity)


async def _find_none(_: str) -> bool:
    return False


class _Relay:
    """A relay with replicas in two zones, and paths that are given."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        client: _Client,
        *paths: tuple[Stage, ...],
        rank: int | None = 1,
    ) -> None:
        clock = VirtualClock()
        self.load = FleetLoad(clock)
        self.zones: list[str | None] = []
        self.context: Any = SimpleNamespace(
            now=clock.monotonic,
            startup=SimpleNamespace(zone='zone-a'),
            replicas=SimpleNamespace(
                list_service=lambda _: [
                    stage.replica for stage in _make_path('zone-a', 'zone-b')
                ]
            ),
            silence_checks=SimpleNamespace(find_returned=_find_none),
            reservations=SimpleNamespace(
                client=client, load=self.load, find_rank=lambda *_: rank
            ),
        )
        self.exchange: Any = SimpleNamespace(key='r-1', detail={})
        self.request: Any = SimpleNamespace(
            service='model',
            priority=(1, 1),
            account='shop',
            arrived=1000,
            deadline=1010,
            route=SimpleNamespace(objective=0.5, gap=2),
        )
        remaining = list(paths)

        def choose(*arguments: Any) -> tuple[Stage, ...]:
            self.zones.append(arguments[4] if len(arguments) > 4 else None)
            return remaining.pop(0)

        monkeypatch.setattr(places, 'choose_request_path', choose)
        monkeypatch.setattr(places, 'is_retried', lambda *_: False)
        monkeypatch.setattr(places, 'get_patience', lambda *_: 0.25)
        monkeypatch.setattr(places, 'count_tokens', lambda *_: 100)
        monkeypatch.setattr(places, 'misses_layers', lambda *_: False)

    async def choose(self, place: places.Place) -> tuple[Stage, ...]:
        """Choose the path of the next attempt."""
        progress: Any = None
        return await choose_reserved_path(
            self.context, self.exchange, self.request, progress, place
        )


_NEAR = _make_path('zone-a')
_FAR = _make_path('zone-b')
_ACROSS = _make_path('zone-a', 'zone-b')
_GRANT = GrantReply(0, ())
_BUSY = BusyReply(0, (), 3)


def test_granted_path_is_used(monkeypatch: pytest.MonkeyPatch) -> None:
    """A place that wasn't reported with its path would lapse."""

    async def main() -> None:
        client = _Client(_GRANT)
        relay = _Relay(monkeypatch, client, _NEAR)
        with hold_place(relay.context, relay.exchange) as place:
            assert await relay.choose(place) == _NEAR
            assert not client.released
        assert client.placed == [('m-zone-a',)]
        assert client.released == ['r-1']

    run(main())


def test_busy_path_is_asked_once_more(monkeypatch: pytest.MonkeyPatch) -> None:
    """Two paths are busy; the request waits where the fewest wait."""

    async def main() -> None:
        client = _Client(_BUSY, _GRANT)
        relay = _Relay(monkeypatch, client, _NEAR, _FAR, _FAR)
        relay.load.record(ZoneKey('model', 'zone-a'), (), 3)
        relay.load.record(ZoneKey('model', 'zone-b'), (), 1)
        place = places.Place()
        assert await relay.choose(place) == _FAR
        assert len(client.asked) == MAX_PATHS_ASKED
        assert client.waited == [ZoneKey('model', 'zone-b')]
        assert relay.zones == [None, None, 'zone-b']
        assert place.zone == 'zone-b'
        assert place.waited == pytest.approx(0.1)

    run(main())


def test_zone_without_layers_attracts_nobody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nobody waits in a zone that lost layers, as it refuses all at once."""

    async def main() -> None:
        client = _Client(_BUSY, _GRANT)
        relay = _Relay(monkeypatch, client, _FAR, _FAR, _FAR)
        monkeypatch.setattr(
            places, 'misses_layers', lambda *args: args[2:] == ('zone-a',)
        )
        relay.load.record(ZoneKey('model', 'zone-b'), (), 3)
        assert await relay.choose(places.Place()) == _FAR
        assert client.waited == [ZoneKey('model', 'zone-b')]

    run(main())


def test_equal_waits_prefer_the_own_zone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nothing is known of any zone, and no path is free."""

    async def main() -> None:
        client = _Client(_BUSY, _GRANT)
        relay = _Relay(monkeypatch, client, (), _NEAR)
        assert await relay.choose(places.Place()) == _NEAR
        assert not client.asked
        assert client.waited == [ZoneKey('model', 'zone-a')]

    run(main())


def test_old_reports_of_waits_are_not_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A zone was full seconds ago; what waits there now isn't known."""

    async def main() -> None:
        client = _Client(_BUSY, _GRANT)
        relay = _Relay(monkeypatch, client, (), _NEAR)
        relay.load.record(ZoneKey('model', 'zone-a'), (), 3)
        await asyncio.sleep(1)
        await relay.choose(places.Place())
        assert client.waited == [ZoneKey('model', 'zone-a')]

    run(main())


def test_refusal_carries_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client that is refused learns when to retry."""

    async def main() -> None:
        client = _Client(_BUSY, RefusalReply(0, 1.5))
        relay = _Relay(monkeypatch, client, _NEAR, _FAR)
        place = places.Place()
        assert not await relay.choose(place)
        assert place.retry_after == pytest.approx(1.5)
        assert not client.placed

    run(main())


def test_path_over_two_zones_asks_nobody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No controller knows the replicas of both zones."""

    async def main() -> None:
        client = _Client(_BUSY)
        relay = _Relay(monkeypatch, client, _ACROSS)
        assert await relay.choose(places.Place()) == _ACROSS
        assert not client.asked
        assert not client.waited

    run(main())


def test_without_controller_the_path_is_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No controller replies; the first path is used as without any."""

    async def main() -> None:
        client = _Client()
        relay = _Relay(monkeypatch, client, _NEAR)
        place = places.Place()
        assert await relay.choose(place) == _NEAR
        assert not client.waited
        assert place.retry_after is None

    run(main())


def test_waiter_without_controller_decides(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The controller is lost while the request waits; any zone will do."""

    async def main() -> None:
        client = _Client(_BUSY)
        relay = _Relay(monkeypatch, client, _NEAR, _NEAR, _FAR)
        assert await relay.choose(places.Place()) == _FAR
        assert relay.zones == [None, None, None]

    run(main())


def test_unranked_service_asks_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    """The requests of a service don't differ in priority."""

    async def main() -> None:
        client = _Client(_BUSY)
        relay = _Relay(monkeypatch, client, _NEAR, rank=None)
        assert await relay.choose(places.Place()) == _NEAR
        assert not client.asked
        assert not client.waited

    run(main())


def test_later_attempts_ask_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    """A replica failed a request, which keeps its place on another path."""

    async def main() -> None:
        client = _Client(_GRANT)
        relay = _Relay(monkeypatch, client, _NEAR, _FAR, ())
        place = places.Place()
        await relay.choose(place)
        assert await relay.choose(place) == _FAR
        assert not await relay.choose(place)
        record_path(relay.context, relay.exchange, ())
        assert len(client.asked) == 1
        assert client.placed == [('m-zone-a',), ('m-zone-b',)]

    run(main())
