"""A node that has lost its links leaves the layers where they are."""

import asyncio

from fleet.placing import FakePlatform, make_replica, run_nodes
from fleet.running import wait_until
from ryelatch_core.fleet import LayerRange


async def test_node_without_links_orders_nothing() -> None:
    """A node takes its lost links for lost replicas, and moves layers."""
    platform = FakePlatform()
    held = [make_replica(f'm-{number}', LayerRange(0, 8)) for number in (0, 1)]
    async with run_nodes(platform, 1):
        controller = platform.controllers[0]
        platform.list_replicas([*held, make_replica('m-2', None)])
        await asyncio.sleep(1.5)
        platform.commands.clear()
        allowed = asyncio.Event()
        controller.may_plan = allowed.is_set
        for replica in held:
            controller.replicas.suspect(replica, 'no report', full=False)
        controller.wake(None)
        await asyncio.sleep(1.5)
        assert not platform.commands
        allowed.set()
        controller.wake(None)
        await wait_until(lambda: platform.commands)
