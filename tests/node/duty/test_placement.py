"""One node at a time gives orders, and a lost one is followed soon."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import msgspec
import pytest

from fleet.running import make_configuration, wait_until
from ryelatch_core.events import LineLog
from ryelatch_core.fleet import LayerRange, Replica
from ryelatch_core.kernel import BootClock, Hub
from ryelatch_core.membership import NEVER, Lease, reckon_terms
from ryelatch_node.beliefs import ConfigurationView, ReplicaView
from ryelatch_node.duty import LeaseKeeper, PlacementDuty
from ryelatch_node.duty._lease import (
    LONGEST_SPREAD_SECONDS,
    TAKE_SPREAD_SECONDS,
)
from ryelatch_node.ports import (
    LeaseRecord,
    LeaseStore,
    OrderResult,
    Orders,
    Report,
)
from ryelatch_platform._objects import Metadata, StoredObject
from ryelatch_platform._translate import translate_configuration

_MODEL = 'model'


@dataclasses.dataclass
class FakePlatform:
    """What all nodes of a test share.

    :param load_seconds: after which an order is carried out.
    :param result: what engines answer to orders.
    """

    load_seconds: float = 0.5
    result: OrderResult = OrderResult.BEGUN
    record: LeaseRecord = dataclasses.field(
        default_factory=lambda: LeaseRecord(None, 0)
    )
    orders: list[tuple[str, str, int]] = dataclasses.field(default_factory=list)
    duties: list[PlacementDuty] = dataclasses.field(default_factory=list)
    lose_writes: bool = False

    async def write(self, lease: Lease, revision: int) -> LeaseRecord | None:
        """Write the lease under a condition, and tell all nodes."""
        if self.lose_writes:
            return None
        if revision != self.record.revision:
            return self.record
        self.record = LeaseRecord(lease, revision + 1, revision)
        for duty in self.duties:
            duty.lease.follow(self.record)
        return self.record

    def add_node(self, name: str, spread: float) -> PlacementDuty:
        """Make the duty of one more node."""
        clock = BootClock()
        log = LineLog(name, clock, len)
        configuration = ConfigurationView(log, clock, 5)
        raw = _encode(make_configuration())
        configuration.offer(translate_configuration(raw), clock.monotonic())
        view = ReplicaView(log, clock, Hub(), reckon_terms(2, 3))
        orders = Orders(
            place=self._make_place(name), move=_refuse, read_report=_report
        )
        duty = PlacementDuty(
            log=log,
            clock=clock,
            configuration=configuration,
            replicas=view,
            orders=orders,
            lease=LeaseKeeper(log, clock, LeaseStore(self.write), spread, name),
        )
        duty.lease.follow(self.record)
        self.duties.append(duty)
        return duty

    def list_replicas(self, replicas: list[Replica]) -> None:
        """Give all nodes a list."""
        for duty in self.duties:
            duty.replicas.replace(replicas, unanswered=NEVER)
            duty.wake(None)  # type: ignore[arg-type]

    def _make_place(self, name: str) -> Callable[..., Any]:
        async def place(
            replica: Replica, layers: LayerRange, fence: int, sequence: int
        ) -> OrderResult:
            self.orders.append((name, replica.name, fence))
            if self.result is OrderResult.BEGUN:
                held = dataclasses.replace(replica, layers=layers)
                loop = asyncio.get_running_loop()
                loop.call_later(self.load_seconds, self._finish, held)
            return self.result

        return place

    def _finish(self, replica: Replica) -> None:
        for duty in self.duties:
            duty.replicas.put(replica)


def _encode(configuration: dict[str, Any]) -> StoredObject:
    raw = msgspec.Raw(msgspec.json.encode(configuration))
    return StoredObject(Metadata('main', 1), raw)


async def _refuse(*_: object) -> Any:
    raise NotImplementedError


async def _report(_: Replica) -> Report:
    return Report(sequence=3, busy=True, used=0, stalled={})


def _make_replica(name: str, layers: LayerRange | None) -> Replica:
    return Replica(name, _MODEL, f'{name}:80', 'zone-a', 'big', layers, 1)


@asynccontextmanager
async def run_nodes(platform: FakePlatform, count: int) -> AsyncIterator[None]:
    """Run the duty of some nodes."""
    for number in range(count):
        platform.add_node(f'node-{number}', spread=0.1 + number * 0.1)
    for duty in platform.duties:
        await duty.start()
    try:
        yield
    finally:
        for duty in platform.duties:
            await duty.stop()


async def test_one_node_orders_while_a_load_lasts() -> None:
    """Layers are lost; loading them elsewhere takes longer than patience.

    Every node sees the gap for as long. When patience was counted from the
    gap alone, all took the lease in turn and gave the same order again, and
    each began the load anew.
    """
    platform = FakePlatform(load_seconds=2.5)
    async with run_nodes(platform, 4):
        platform.list_replicas(
            [
                _make_replica('m-0', LayerRange(0, 4)),
                _make_replica('m-1', None),
            ]
        )
        await wait_until(lambda: platform.orders)
        await asyncio.sleep(2)
    assert len(platform.orders) == 1
    assert platform.record.lease is not None
    assert platform.record.lease.fence == 1


async def test_lost_holder_is_followed() -> None:
    """The holder of the lease is gone; a gap opens.

    Another node takes the lease under a higher fencing number within about
    a second, and orders.
    """
    platform = FakePlatform(record=LeaseRecord(Lease('gone', 7), 3))
    async with run_nodes(platform, 2):
        platform.list_replicas(
            [
                _make_replica('m-0', LayerRange(0, 4)),
                _make_replica('m-1', None),
            ]
        )
        await wait_until(lambda: platform.orders, 5)
    assert platform.orders[0][2] == 8


async def test_fenced_node_orders_no_more() -> None:
    """An engine has seen a higher fencing number than this node's.

    Another node is at work. Ordering on would be refused each time.
    """
    platform = FakePlatform(result=OrderResult.FENCED)
    async with run_nodes(platform, 1):
        platform.list_replicas(
            [
                _make_replica('m-0', LayerRange(0, 4)),
                _make_replica('m-1', None),
            ]
        )
        await wait_until(lambda: platform.orders)
        await asyncio.sleep(0.4)
        assert len(platform.orders) == 1


async def test_unwritten_lease_gives_no_orders() -> None:
    """The store does not answer the claim: nobody may order."""
    platform = FakePlatform(lose_writes=True)
    async with run_nodes(platform, 2):
        platform.list_replicas(
            [
                _make_replica('m-0', LayerRange(0, 4)),
                _make_replica('m-1', None),
            ]
        )
        await asyncio.sleep(1.5)
    assert not platform.orders


async def test_busy_replica_is_left_alone() -> None:
    """A replica refuses as it carries out an earlier order.

    Asked again at once it refuses again, each time at a price.
    """
    platform = FakePlatform(result=OrderResult.CONFLICT)
    async with run_nodes(platform, 1):
        platform.list_replicas(
            [
                _make_replica('m-0', LayerRange(0, 4)),
                _make_replica('m-1', LayerRange(4, 7)),
            ]
        )
        await wait_until(lambda: platform.orders)
        await asyncio.sleep(0.7)
        assert len(platform.orders) <= 2


async def test_number_of_another_holder_is_not_used() -> None:
    """Another node takes the lease between a renewal and an order.

    An order under that node's number would pass for its own, and the engine
    could not tell the older plan from the newer one.
    """
    platform = FakePlatform()
    async with run_nodes(platform, 1):
        duty = platform.duties[0]
        await wait_until(lambda: duty.lease.holder)
        write = platform.write

        async def write_and_lose(
            lease: Lease, revision: int
        ) -> LeaseRecord | None:
            written = await write(lease, revision)
            other = LeaseRecord(Lease('other', 9), revision + 2, revision + 1)
            asyncio.get_running_loop().call_soon(duty.lease.follow, other)
            return written

        duty.lease.store = LeaseStore(write_and_lose)
        platform.list_replicas(
            [
                _make_replica('m-0', LayerRange(0, 4)),
                _make_replica('m-1', None),
            ]
        )
        await asyncio.sleep(1)
    assert 9 not in {fence for _, _, fence in platform.orders}


async def test_steady_fleet_is_planned_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nothing changes for seconds; plans at each tick cost 5% of a core."""
    plans = []

    def count(*known: object, **options: object) -> tuple[()]:
        plans.append(known)
        return ()

    monkeypatch.setattr('ryelatch_node.duty._service.plan_moves', count)
    platform = FakePlatform()
    async with run_nodes(platform, 1):
        platform.list_replicas([_make_replica('m-0', LayerRange(0, 8))])
        await wait_until(lambda: plans)
        await asyncio.sleep(1.5)
        assert len(plans) == 1
        platform.list_replicas([_make_replica('m-1', LayerRange(0, 8))])
        await wait_until(lambda: len(plans) == 2)


async def test_zone_in_change_is_not_laid_out() -> None:
    """Replicas are replaced one after the other, and layers are missing.

    Laying the zone out anew for each of them would change every range each
    time, and the zone would never be whole. It waits until they have settled.
    """
    platform = FakePlatform()
    # Four layers fill such a replica, so neither can reach into the gap, and
    # neither can cover for the other.
    held = [
        dataclasses.replace(
            _make_replica(f'm-{first}', LayerRange(first, first + 4)),
            accelerator='small',
        )
        for first in (0, 1)
    ]
    async with run_nodes(platform, 1):
        for number in range(8):
            changing = dataclasses.replace(
                _make_replica(f'other-{number}', None), accelerator=''
            )
            platform.list_replicas([*held, changing])
            await asyncio.sleep(0.5)
        assert not platform.orders
        await wait_until(lambda: platform.orders)


async def test_replica_that_waits_is_not_ordered_again() -> None:
    """A replica gives up layers and waits for long answers through them.

    Its new layers come late. Taken for idle it was ordered again and again,
    and others were ordered to close the same gap.
    """
    platform = FakePlatform(load_seconds=30)
    async with run_nodes(platform, 1):
        platform.list_replicas(
            [
                _make_replica('m-0', LayerRange(0, 4)),
                _make_replica('m-1', None),
                _make_replica('m-2', None),
            ]
        )
        await wait_until(lambda: platform.orders)
        first = list(platform.orders)
        # Longer than a load may take before it is given up.
        await asyncio.sleep(4)
        assert platform.orders == first


async def test_holder_that_knew_first_is_left_alone() -> None:
    """The holder hears of a loss half a second before the others.

    It renews its lease and orders, and the others hear of that before they
    hear of the loss. It is at work; a second node that took the lease gave
    other orders to the same replicas.
    """
    platform = FakePlatform(load_seconds=2.5)
    gap = [_make_replica('m-0', LayerRange(0, 4)), _make_replica('m-1', None)]
    async with run_nodes(platform, 2):
        first, second = platform.duties
        second.replicas.replace([], unanswered=NEVER)
        first.replicas.replace(gap, unanswered=NEVER)
        first.wake(None)  # type: ignore[arg-type]
        await wait_until(lambda: platform.orders)
        await asyncio.sleep(0.2)
        second.replicas.replace(gap, unanswered=NEVER)
        second.wake(None)  # type: ignore[arg-type]
        await asyncio.sleep(1.8)
        assert {node for node, _, _ in platform.orders} == {'node-0'}


async def test_only_the_holder_plans_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Replicas change one after the other in a fleet of many nodes.

    Each node used to plan at each change, also those that may order nothing:
    with two hundred nodes that was nine tenths of the fleet's processor time,
    and callers waited behind plans that nobody carried out.
    """
    planned: list[object] = []

    def count(alive: object, *known: object, **options: object) -> tuple[()]:
        planned.append(alive)
        return ()

    monkeypatch.setattr('ryelatch_node.duty._service.plan_moves', count)
    platform = FakePlatform(record=LeaseRecord(Lease('node-0', 1), 1))
    async with run_nodes(platform, 12):
        for number in range(10):
            platform.list_replicas(
                [
                    _make_replica('m-0', LayerRange(0, 8)),
                    _make_replica(f'other-{number}', None),
                ]
            )
            await asyncio.sleep(0.2)
    assert 1 <= len(planned) <= 10


async def test_first_layout_is_planned_by_one_node(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A whole fleet starts, and nobody holds any layer yet.

    The first plan is the longest one. Nodes whose turns lay closer together
    than that all worked it out before they heard that one had the lease.
    """
    planned: list[object] = []

    def count(alive: object, *known: object, **options: object) -> tuple[()]:
        planned.append(alive)
        return ()

    monkeypatch.setattr('ryelatch_node.duty._service.plan_moves', count)
    platform = FakePlatform()
    async with run_nodes(platform, 12):
        platform.list_replicas([_make_replica('m-0', None)])
        await wait_until(lambda: planned, 5)
        await asyncio.sleep(1)
    assert len(planned) == 1


async def test_empty_replica_is_used_without_the_holder() -> None:
    """The holder of the lease is gone, and a replica comes in empty.

    No layer is missing, so nobody is in a hurry; but it is put to use.
    """
    platform = FakePlatform(record=LeaseRecord(Lease('gone', 7), 3))
    async with run_nodes(platform, 1):
        platform.duties[0].lease.spread = 0
        platform.list_replicas(
            [
                _make_replica('m-0', LayerRange(0, 8)),
                *(_make_replica(f'm-{one}', None) for one in (1, 2, 3)),
            ]
        )
        await wait_until(lambda: platform.orders, 8)
    assert platform.orders[0][2] == 8


def test_claims_stay_rare_in_large_fleets() -> None:
    """A holder is lost in a fleet of two hundred nodes.

    With a spread for eight, three hundred turns fall into each second and
    as many nodes plan the same repair.
    """
    platform = FakePlatform()
    draws = [one / 200 for one in range(200)]
    for draw in draws:
        duty = platform.add_node(f'node-{draw}', TAKE_SPREAD_SECONDS * draw)
        duty.lease.nodes = len(draws)
    waits = [duty.lease.patience for duty in platform.duties]
    early = [wait for wait in waits if wait < TAKE_SPREAD_SECONDS / 6]
    assert len(early) <= 4
    assert max(waits) <= LONGEST_SPREAD_SECONDS
