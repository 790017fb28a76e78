"""One node at a time gives orders, and a lost one is followed soon."""

import asyncio
import dataclasses

import pytest

from fleet.placing import FakePlatform, make_replica, run_nodes
from fleet.running import wait_until
from ryelatch_core.fleet import LayerRange
from ryelatch_core.membership import NEVER, Lease
from ryelatch_node.ports import (
    LeaseRecord,
    LeaseStore,
    CommandResult,
)


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
                make_replica('m-0', LayerRange(0, 4)),
                make_replica('m-1', None),
            ]
        )
        await wait_until(lambda: platform.commands)
        await asyncio.sleep(2)
    assert len(platform.commands) == 1
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
                make_replica('m-0', LayerRange(0, 4)),
                make_replica('m-1', None),
            ]
        )
        await wait_until(lambda: platform.commands, 5)
    assert platform.commands[0][2] == 8


async def test_fenced_node_orders_no_more() -> None:
    """An engine has seen a higher fencing number than this node's.

    Another node is at work. Ordering on would be refused each time.
    """
    platform = FakePlatform(result=CommandResult.FENCED)
    async with run_nodes(platform, 1):
        platform.list_replicas(
            [
                make_replica('m-0', LayerRange(0, 4)),
                make_replica('m-1', None),
            ]
        )
        await wait_until(lambda: platform.commands)
        await asyncio.sleep(0.4)
        assert len(platform.commands) == 1


async def test_unwritten_lease_gives_no_orders() -> None:
    """The store does not answer the claim: nobody may order."""
    platform = FakePlatform(lose_writes=True)
    async with run_nodes(platform, 2):
        platform.list_replicas(
            [
                make_replica('m-0', LayerRange(0, 4)),
                make_replica('m-1', None),
            ]
        )
        await asyncio.sleep(1.5)
    assert not platform.commands


async def test_busy_replica_is_left_alone() -> None:
    """A replica refuses as it carries out an earlier order.

    Asked again at once it refuses again, each time at a price.
    """
    platform = FakePlatform(result=CommandResult.CONFLICT)
    async with run_nodes(platform, 1):
        platform.list_replicas(
            [
                make_replica('m-0', LayerRange(0, 4)),
                make_replica('m-1', LayerRange(4, 7)),
            ]
        )
        await wait_until(lambda: platform.commands)
        await asyncio.sleep(0.7)
        assert len(platform.commands) <= 2


async def test_number_of_another_holder_is_not_used() -> None:
    """Another node takes the lease between a renewal and an order.

    An order under that node's number would pass for its own, and the engine
    could not tell the older plan from the newer one.
    """
    platform = FakePlatform()
    async with run_nodes(platform, 1):
        duty = platform.controllers[0]
        await wait_until(lambda: duty.lease.holder)
        write = platform.write

        async def write_and_lose(
            lease: Lease, revision: int
        ) -> LeaseRecord | None:
            written = await write(lease, revision)
            other = LeaseRecord(Lease('other', 9), revision + 2, revision + 1)
            asyncio.get_running_loop().call_soon(duty.lease.apply_record, other)
            return written

        duty.lease.store = LeaseStore(write_and_lose)
        platform.list_replicas(
            [
                make_replica('m-0', LayerRange(0, 4)),
                make_replica('m-1', None),
            ]
        )
        await asyncio.sleep(1)
    assert 9 not in {fence for _, _, fence in platform.commands}


async def test_steady_fleet_is_planned_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nothing changes for seconds; plans at each tick cost 5% of a core."""
    plans = []

    def count(*known: object, **options: object) -> tuple[()]:
        plans.append(known)
        return ()

    monkeypatch.setattr('ryelatch_node.placement._service.plan_moves', count)
    platform = FakePlatform()
    async with run_nodes(platform, 1):
        platform.list_replicas([make_replica('m-0', LayerRange(0, 8))])
        await wait_until(lambda: plans)
        await asyncio.sleep(1.5)
        assert len(plans) == 1
        platform.list_replicas([make_replica('m-1', LayerRange(0, 8))])
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
            make_replica(f'm-{first}', LayerRange(first, first + 4)),
            accelerator='small',
        )
        for first in (0, 1)
    ]
    async with run_nodes(platform, 1):
        for number in range(8):
            changing = dataclasses.replace(
                make_replica(f'other-{number}', None), accelerator=''
            )
            platform.list_replicas([*held, changing])
            await asyncio.sleep(0.5)
        assert not platform.commands
        await wait_until(lambda: platform.commands)


async def test_replica_that_waits_is_not_ordered_again() -> None:
    """A replica gives up layers and waits for long answers through them.

    Its new layers come late. Taken for idle it was ordered again and again,
    and others were ordered to close the same gap.
    """
    platform = FakePlatform(load_seconds=30)
    async with run_nodes(platform, 1):
        platform.list_replicas(
            [
                make_replica('m-0', LayerRange(0, 4)),
                make_replica('m-1', None),
                make_replica('m-2', None),
            ]
        )
        await wait_until(lambda: platform.commands)
        first = list(platform.commands)
        # Longer than a load may take before it is given up.
        await asyncio.sleep(4)
        assert platform.commands == first


async def test_holder_that_knew_first_is_left_alone() -> None:
    """The holder hears of a loss half a second before the others.

    It renews its lease and orders, and the others hear of that before they
    hear of the loss. It is at work; a second node that took the lease gave
    other orders to the same replicas.
    """
    platform = FakePlatform(load_seconds=2.5)
    gap = [make_replica('m-0', LayerRange(0, 4)), make_replica('m-1', None)]
    async with run_nodes(platform, 2):
        first, second = platform.controllers
        second.replicas.replace([], unanswered=NEVER)
        first.replicas.replace(gap, unanswered=NEVER)
        first.wake(None)  # type: ignore[arg-type]
        await wait_until(lambda: platform.commands)
        await asyncio.sleep(0.2)
        second.replicas.replace(gap, unanswered=NEVER)
        second.wake(None)  # type: ignore[arg-type]
        await asyncio.sleep(1.8)
        assert {node for node, _, _ in platform.commands} == {'node-0'}
