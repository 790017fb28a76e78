"""Reports of the load of all nodes, and the services that have any."""

import asyncio
from types import SimpleNamespace
from typing import Any

from core_fleet import TYPICAL_MODEL
from ryelatch_core.admission import Priority
from ryelatch_core.fleet import LoadEstimate, Replica
from ryelatch_core.routing import (
    Configuration,
    RetryPolicy,
    Route,
    ServiceConfiguration,
    Split,
    build_table,
)
from ryelatch_node.relay._shortages import record_shortage
from ryelatch_node.reservations import FleetLoad, Reservations
from ryelatch_node.reservations._frames import ReplicaLoad
from ryelatch_node.reservations._load import (
    MAX_LOAD_AGE_SECONDS,
    MAX_ROOM_AGE_SECONDS,
)
from virtual.loop import VirtualClock, run
from virtual.reservations import KEY, ReservingFleet

_FULL = ReplicaLoad('m-0', 3, 300, free=0, free_slots=0, delay=0.5)
_MARGIN_SECONDS = 0.01


def _make_route(name: str, priority: int) -> Route:
    return Route(
        name=name,
        host='city.example',
        prefix=f'/{name}/',
        splits=(Split(KEY.service, 1),),
        retry_policy=RetryPolicy.ANY,
        streaming=True,
        max_attempts=2,
        timeout=10,
        objective=0.5,
        gap=2,
        priority=priority,
        anonymous=True,
    )


def _make_reservations(
    fleet: ReservingFleet, *priorities: int
) -> tuple[Reservations, Any]:
    """Make the reservations of a node whose routes have some priorities."""
    node = fleet.start(2)[1]
    routes = tuple(
        _make_route(f'route-{index}', priority)
        for index, priority in enumerate(priorities)
    )
    service = ServiceConfiguration(KEY.service, '/', 1, TYPICAL_MODEL)
    table = build_table(Configuration(1, routes, {KEY.service: service}))
    configuration: Any = SimpleNamespace(table=table)
    reservations = Reservations(
        configuration,
        node.client,
        node.controllers,
        node.client.load,
        node.tasks,
    )
    return reservations, SimpleNamespace(reservations=reservations)


def test_old_report_of_room_is_not_used() -> None:
    """A replica was full a while ago; places are freed all the time."""

    async def main() -> None:
        load = FleetLoad(VirtualClock())
        load.record(KEY, (_FULL,), 2)
        await asyncio.sleep(MAX_ROOM_AGE_SECONDS - _MARGIN_SECONDS)
        assert load.list_full(KEY.service, 10) == {'m-0'}
        assert load.list_closed(KEY.service) == {'m-0'}
        assert load.count_waiting(KEY) == 2
        await asyncio.sleep(2 * _MARGIN_SECONDS)
        assert not load.list_full(KEY.service, 10)
        assert not load.list_closed(KEY.service)
        assert not load.count_waiting(KEY)

    run(main())


def test_old_report_of_load_is_not_used() -> None:
    """The answers that were in progress have ended since."""

    async def main() -> None:
        load = FleetLoad(VirtualClock())
        estimate = LoadEstimate({'m-0': 1}, {'m-0': 100})
        load.record(KEY, (_FULL,), 0)
        await asyncio.sleep(MAX_LOAD_AGE_SECONDS - _MARGIN_SECONDS)
        assert load.merge(KEY.service, estimate).requests == {'m-0': 3}
        await asyncio.sleep(2 * _MARGIN_SECONDS)
        assert not load.is_known(KEY.service)
        assert load.merge(KEY.service, estimate) is estimate

    run(main())


def test_service_without_priorities_asks_nobody() -> None:
    """The requests of a service don't differ; it opens no connection."""

    async def main() -> None:
        fleet = ReservingFleet()
        reservations, context = _make_reservations(fleet, 1, 1)
        reservations.load.record(KEY, (_FULL,), 0)
        assert reservations.find_rank(KEY.service, Priority(1, 1)) is None
        assert reservations.find_load(KEY.service) is None
        replica = Replica('m-0', KEY.service, 'm-0:80', KEY.zone)
        record_shortage(context, KEY.service, replica)
        await asyncio.sleep(1)
        assert not fleet.dialled
        await fleet.stop()

    run(main())


def test_load_is_unknown_without_a_report() -> None:
    """No controller has replied; the node decides by its own estimates."""

    async def main() -> None:
        fleet = ReservingFleet()
        reservations, _ = _make_reservations(fleet, 0, 1)
        assert reservations.find_rank(KEY.service, Priority(1, 1)) == 1
        assert reservations.find_load(KEY.service) is None
        reservations.load.record(KEY, (_FULL,), 0)
        assert reservations.find_load(KEY.service) is reservations.load
        await asyncio.sleep(MAX_LOAD_AGE_SECONDS + _MARGIN_SECONDS)
        assert reservations.find_load(KEY.service) is None
        await fleet.stop()

    run(main())


def test_settings_without_admission_rank_nothing() -> None:
    """Routes differ, but the settings of the node don't call for places."""

    async def main() -> None:
        reservations, _ = _make_reservations(ReservingFleet(), 0, 1)
        assert reservations.is_ranked(KEY.service)
        reservations.enabled = False
        assert not reservations.is_ranked(KEY.service)

    run(main())
