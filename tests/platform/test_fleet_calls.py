"""Calls of a large fleet to a store that is unavailable or rejects some nodes.

In fleets of twenty nodes or more, a few watch the store for all. If each node
detects an outage itself and then calls twice a second for each kind of object,
88 nodes make 15,487 calls in a day with 13 s of outages, and these calls cost
more than the outages. All nodes share the rate limit of the store, so calls
that fail also delay those that would succeed.
"""

import asyncio

import pytest

from virtual.loop import run
from virtual.store import Trouble
from virtual.world import World

_NAMES = tuple(f'node-{number:02}' for number in range(24))
_ZONES = {name: f'zone-{place % 3}' for place, name in enumerate(_NAMES)}
_WATCHERS = frozenset(_NAMES[:3])
"""The first node of each zone, which has the fastest link."""


def _count_calls(world: World, since: float, names: frozenset[str]) -> int:
    return sum(
        at >= since and caller in names for at, caller, _ in world.store.calls
    )


@pytest.mark.parametrize('trouble', [Trouble.SILENT, Trouble.BUSY])
def test_an_outage_is_found_out_by_few(trouble: Trouble) -> None:
    """Every node calls the store again and again during an outage of 12 s."""

    async def play() -> None:
        world = World(4.0, 5.0, zones=_ZONES)
        await world.start(_NAMES)
        started = asyncio.get_running_loop().time()
        world.store.troubles.update(dict.fromkeys(_NAMES, trouble))
        await asyncio.sleep(12)
        followers = frozenset(_NAMES) - _WATCHERS
        # Each meets the outage once for each kind, and retries every 3 s.
        allowed = len(followers) * (2 + 12 / 3 + 1)
        assert _count_calls(world, started, followers) <= allowed
        world.store.troubles.clear()
        await asyncio.sleep(2)
        for node in world.nodes.values():
            assert node.view.freshness.age < 2
            assert node.configuration.allows_keys()
        await world.stop()

    run(play())


def test_zone_without_its_watcher_asks_another() -> None:
    """All nodes of a zone watch the store as it rejects their watcher.

    They must follow the watcher of another zone instead of opening three
    watches each.
    """

    async def play() -> None:
        world = World(4.0, 5.0, zones=_ZONES)
        await world.start(_NAMES)
        world.store.troubles['node-00'] = Trouble.BUSY
        await asyncio.sleep(3)
        started = asyncio.get_running_loop().time()
        await asyncio.sleep(20)
        followers = frozenset(_NAMES) - _WATCHERS
        assert _count_calls(world, started, followers) <= len(followers)
        world.deregister('b-0')
        await asyncio.sleep(world.drain - 0.6)
        assert not any(node.offers('b-0') for node in world.nodes.values())
        await world.stop()

    run(play())


def test_rejected_nodes_follow_their_peers() -> None:
    """Nodes that the store rejects for 20 s call it or lose their view."""

    async def play() -> None:
        world = World(4.0, 5.0, zones=_ZONES)
        await world.start(_NAMES)
        rejected = frozenset(_NAMES[8:])
        world.store.troubles.update(dict.fromkeys(rejected, Trouble.BUSY))
        started = asyncio.get_running_loop().time()
        for step in range(20):
            await asyncio.sleep(1)
            if step == 10:
                world.deregister('b-0')
            for node in world.nodes.values():
                assert node.configuration.allows_keys()
        assert not _count_calls(world, started, rejected)
        assert not any(node.offers('b-0') for node in world.nodes.values())
        await world.stop()

    run(play())
