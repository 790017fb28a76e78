"""What a large fleet asks of the store while that is out, or turns some away.

Twenty nodes and more let a few watch for all. When the store went out, every
node found that out for itself and asked twice a second for each kind of
object: 88 nodes made 15,487 calls in a day with 13 s of outages, and the calls
cost more than the outages did. The store's rate is shared by all, so the calls
of those who could not be answered also stood before those who could.
"""

import asyncio

import pytest

from virtual.loop import run
from virtual.store import Trouble
from virtual.world import World

_NAMES = tuple(f'node-{number:02}' for number in range(24))
_ZONES = {name: f'zone-{place % 3}' for place, name in enumerate(_NAMES)}
_WATCHERS = frozenset(_NAMES[:3])
"""The first node of each zone has the widest link."""


def _count_calls(world: World, since: float, names: frozenset[str]) -> int:
    return sum(
        at >= since and caller in names for at, caller, _ in world.store.calls
    )


@pytest.mark.parametrize('trouble', [Trouble.SILENT, Trouble.BUSY])
def test_an_outage_is_found_out_by_few(trouble: Trouble) -> None:
    """The store is out for twelve seconds, for all nodes."""

    async def play() -> None:
        world = World(4.0, 5.0, zones=_ZONES)
        await world.start(_NAMES)
        began = asyncio.get_running_loop().time()
        world.store.troubles.update(dict.fromkeys(_NAMES, trouble))
        await asyncio.sleep(12)
        followers = frozenset(_NAMES) - _WATCHERS
        # Each meets the outage once for each kind, and looks every 3 s.
        allowed = len(followers) * (2 + 12 / 3 + 1)
        assert _count_calls(world, began, followers) <= allowed
        world.store.troubles.clear()
        await asyncio.sleep(2)
        for node in world.nodes.values():
            assert node.view.freshness.age < 2
            assert node.configuration.allows_keys()
        await world.stop()

    run(play())


def test_zone_without_its_watcher_asks_another() -> None:
    """The store turns away the node that watches for a zone.

    All nodes of the zone went to the store instead, each with three watches.
    """

    async def play() -> None:
        world = World(4.0, 5.0, zones=_ZONES)
        await world.start(_NAMES)
        world.store.troubles['node-00'] = Trouble.BUSY
        await asyncio.sleep(3)
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(20)
        followers = frozenset(_NAMES) - _WATCHERS
        assert _count_calls(world, began, followers) <= len(followers)
        world.leave('b-0')
        await asyncio.sleep(world.drain - 0.6)
        assert not any(node.offers('b-0') for node in world.nodes.values())
        await world.stop()

    run(play())


def test_rejected_nodes_follow_their_peers() -> None:
    """The store turns two thirds of the followers away for twenty seconds."""

    async def play() -> None:
        world = World(4.0, 5.0, zones=_ZONES)
        await world.start(_NAMES)
        away = frozenset(_NAMES[8:])
        world.store.troubles.update(dict.fromkeys(away, Trouble.BUSY))
        began = asyncio.get_running_loop().time()
        for step in range(20):
            await asyncio.sleep(1)
            if step == 10:
                world.leave('b-0')
            for node in world.nodes.values():
                assert node.configuration.allows_keys()
        assert not _count_calls(world, began, away)
        assert not any(node.offers('b-0') for node in world.nodes.values())
        await world.stop()

    run(play())
