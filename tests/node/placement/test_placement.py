"""One node at a time sends placement commands; a lost one is replaced soon."""

import asyncio
import dataclasses

import pytest

from fleet.placing import FakePlatform, make_replica, run_nodes
from fleet.running import wait_until
from ryelatch_core.eras import StoreRevision
from ryelatch_core.fleet import LayerRange
from ryelatch_core.membership import NEVER, Lease
from ryelatch_node.ports import (
    CommandResult,
    LeaseRecord,
    LeaseStore,
)


async def test_one_node_orders_while_a_load_lasts() -> None:
    """Loading lost layers elsewhere takes longer than the takeover delay.

    Every node sees the gap until then. When the delay was counted from the gap
    alone, all nodes took the lease in turn and repeated the same command, and
    each command restarted the load.
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
    """Layers are lost after the holder of the lease is gone.

    Another node takes the lease under a higher fencing number within about
    a second, and sends the commands.
    """
    platform = FakePlatform(
        record=LeaseRecord(Lease('gone', 7), StoreRevision(1, 3))
    )
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

    Another node controls placement, and engines would refuse each further
    command of this node.
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
    """The store does not reply to a claim, so no node may send commands."""
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
    """A replica refuses a command as it is executing an earlier one.

    It would refuse each immediate retry, and each of them has a cost.
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
    """Another node takes the lease between a renewal and a command.

    If this node used the fencing number of the other one, the engine could not
    tell the older plan from the newer one.
    """
    platform = FakePlatform()
    async with run_nodes(platform, 1):
        controller = platform.controllers[0]
        await wait_until(lambda: controller.lease.holder)
        write = platform.write

        async def write_and_lose(
            lease: Lease, revision: StoreRevision | None
        ) -> LeaseRecord | None:
            written = await write(lease, revision)
            assert written is not None
            at = written.revision
            other = LeaseRecord(
                Lease('other', 9), StoreRevision(at.era, at.number + 1), at
            )
            asyncio.get_running_loop().call_soon(
                controller.lease.apply_record, other
            )
            return written

        controller.lease.store = LeaseStore(write_and_lose)
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
    """Planning an unchanged fleet at each tick took 5% of a core."""
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
    """Replicas are replaced one after another while layers are missing.

    Reassigning all layers of the zone at each replacement would change every
    range each time, and the zone would never hold all layers. The controller
    waits until the list of replicas is stable.
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
    """A replica that drops layers waits for long answers that use them.

    Its new layers are loaded late. When it was assumed to be idle, it received
    the command again and again, and other replicas were commanded to close the
    same gap.
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
        # Longer than a load may take before it counts as failed.
        await asyncio.sleep(4)
        assert platform.commands == first


async def test_holder_that_knew_first_is_left_alone() -> None:
    """The holder learns of a loss half a second before the other nodes.

    It renews its lease and sends commands, and the others receive the renewal
    before they learn of the loss. When a second node took the lease then, it
    sent different commands to the same replicas.
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
