"""Which node plans, and which one replaces a lost holder of the lease."""

import asyncio

import pytest

from fleet.placing import FakePlatform, make_replica, run_nodes
from fleet.running import wait_until
from ryelatch_core.eras import StoreRevision
from ryelatch_core.fleet import LayerRange
from ryelatch_core.membership import Lease
from ryelatch_node.placement._lease import (
    BASE_JITTER_SECONDS,
    MAX_JITTER_SECONDS,
)
from ryelatch_node.ports import (
    LeaseRecord,
)


async def test_only_the_holder_plans_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Replicas change one after another in a fleet of many nodes.

    Each node used to plan at each change, even if it must not send commands.
    A plan for two hundred replicas takes 56 ms of a core, so that clients of
    all nodes waited for plans that were never executed.
    """
    planned: list[object] = []

    def count(alive: object, *known: object, **options: object) -> tuple[()]:
        planned.append(alive)
        return ()

    monkeypatch.setattr('ryelatch_node.placement._service.plan_moves', count)
    platform = FakePlatform(
        record=LeaseRecord(Lease('node-0', 1), StoreRevision(1, 1))
    )
    async with run_nodes(platform, 12):
        for number in range(10):
            platform.list_replicas(
                [
                    make_replica('m-0', LayerRange(0, 8)),
                    make_replica(f'other-{number}', None),
                ]
            )
            await asyncio.sleep(0.2)
    assert 1 <= len(planned) <= 10


async def test_first_layout_is_planned_by_one_node(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A fleet starts whose replicas hold no layers yet.

    The first plan takes the longest. Nodes whose turns were closer together
    than that all computed it before they learned that one had the lease.
    """
    planned: list[object] = []

    def count(alive: object, *known: object, **options: object) -> tuple[()]:
        planned.append(alive)
        return ()

    monkeypatch.setattr('ryelatch_node.placement._service.plan_moves', count)
    platform = FakePlatform()
    async with run_nodes(platform, 12):
        platform.list_replicas([make_replica('m-0', None)])
        await wait_until(lambda: planned, 5)
        await asyncio.sleep(1)
    assert len(planned) == 1


async def test_empty_replica_is_used_without_the_holder() -> None:
    """Empty replicas register after the holder of the lease is gone.

    No layer is missing, so the takeover is slow, but they are put to use.
    """
    platform = FakePlatform(
        record=LeaseRecord(Lease('gone', 7), StoreRevision(1, 3))
    )
    async with run_nodes(platform, 1):
        platform.controllers[0].lease.base_jitter = 0
        platform.list_replicas(
            [
                make_replica('m-0', LayerRange(0, 8)),
                *(make_replica(f'm-{number}', None) for number in (1, 2, 3)),
            ]
        )
        await wait_until(lambda: platform.commands, 8)
    assert platform.commands[0][2] == 8


def test_claims_stay_rare_in_large_fleets() -> None:
    """The holder of the lease is lost in a fleet of two hundred nodes.

    With the jitter of a fleet of eight, turns come at a rate of three hundred
    per second, and as many nodes plan the same repair.
    """
    platform = FakePlatform()
    samples = [number / 200 for number in range(200)]
    for sample in samples:
        controller = platform.add_node(
            f'node-{sample}', BASE_JITTER_SECONDS * sample
        )
        controller.lease.nodes = len(samples)
    waits = [controller.lease.jitter for controller in platform.controllers]
    early = [wait for wait in waits if wait < BASE_JITTER_SECONDS / 6]
    assert len(early) <= 4
    assert max(waits) <= MAX_JITTER_SECONDS
