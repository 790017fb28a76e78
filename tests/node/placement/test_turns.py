"""Who plans, and whose turn it is to follow a lost holder."""

import asyncio

import pytest

from fleet.placing import FakePlatform, make_replica, run_nodes
from fleet.running import wait_until
from ryelatch_core.fleet import LayerRange
from ryelatch_core.membership import Lease
from ryelatch_node.placement._lease import (
    LONGEST_SPREAD_SECONDS,
    TAKE_SPREAD_SECONDS,
)
from ryelatch_node.ports import (
    LeaseRecord,
)


async def test_only_the_holder_plans_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Replicas change one after the other in a fleet of many nodes.

    Each node used to plan at each change, also those that may order nothing.
    A plan of two hundred replicas takes 56 ms of a core, and callers of all
    nodes waited behind plans that nobody carried out.
    """
    planned: list[object] = []

    def count(alive: object, *known: object, **options: object) -> tuple[()]:
        planned.append(alive)
        return ()

    monkeypatch.setattr('ryelatch_node.placement._service.plan_moves', count)
    platform = FakePlatform(record=LeaseRecord(Lease('node-0', 1), 1))
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
    """A whole fleet starts, and nobody holds any layer yet.

    The first plan is the longest one. Nodes whose turns lay closer together
    than that all worked it out before they heard that one had the lease.
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
    """The holder of the lease is gone, and a replica comes in empty.

    No layer is missing, so nobody is in a hurry; but it is put to use.
    """
    platform = FakePlatform(record=LeaseRecord(Lease('gone', 7), 3))
    async with run_nodes(platform, 1):
        platform.controllers[0].lease.spread = 0
        platform.list_replicas(
            [
                make_replica('m-0', LayerRange(0, 8)),
                *(make_replica(f'm-{one}', None) for one in (1, 2, 3)),
            ]
        )
        await wait_until(lambda: platform.commands, 8)
    assert platform.commands[0][2] == 8


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
    waits = [duty.lease.patience for duty in platform.controllers]
    early = [wait for wait in waits if wait < TAKE_SPREAD_SECONDS / 6]
    assert len(early) <= 4
    assert max(waits) <= LONGEST_SPREAD_SECONDS
