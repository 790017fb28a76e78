"""All nodes of a large fleet start at once, in virtual time."""

import asyncio

import pytest

from ryelatch_core.membership import NodeEntry
from ryelatch_node.peer_sync._initial_source import list_sources
from ryelatch_node.relay._admission import MAX_DENIAL_AGE_SECONDS
from virtual.loop import run
from virtual.world import World

_FAST_MBPS = 200.0
_SLOW_MBPS = 14.0

_FAST = ('fast-0', 'fast-1')
_SLOW = tuple(f'slow-{number:02}' for number in range(48))

_LIST_SECONDS = 0.6
"""Time in which a slow link transmits a large configuration."""

_SOON_SECONDS = 0.35
"""Time after a start in which a node has to serve, if others can help it."""


async def _start() -> World:
    """Start two nodes with fast links, and the others with slow ones."""
    names = (*_FAST, *_SLOW)
    world = World(
        3.0,
        4.0,
        links={
            **dict.fromkeys(_FAST, _FAST_MBPS),
            **dict.fromkeys(_SLOW, _SLOW_MBPS),
        },
        follows_quarantine=True,
    )
    await world.start(names)
    world.store.list_delays.update(dict.fromkeys(_SLOW, _LIST_SECONDS))
    return world


async def _restart(world: World, names: tuple[str, ...]) -> None:
    """Restart nodes, which then list each other."""
    entries = next(iter(world.nodes.values())).peer_sync.nodes
    await world.restart(names)
    for name in names:
        world.nodes[name].peer_sync.update_nodes(entries)


def _list_served(world: World) -> set[str]:
    """List the nodes that can serve requests."""
    return {
        name
        for name, node in world.nodes.items()
        if node.configuration.version
        and node.configuration.allows_keys()
        and node.offers('b-1')
    }


@pytest.mark.parametrize('started', [(*_FAST, *_SLOW), _SLOW])
def test_nodes_with_slow_links_serve_soon(started: tuple[str, ...]) -> None:
    """All nodes refuse their clients until a slow link has read the lists."""

    async def play() -> None:
        world = await _start()
        await _restart(world, started)
        await asyncio.sleep(_SOON_SECONDS)
        assert _list_served(world) == {*_FAST, *_SLOW}
        await world.stop()

    run(play())


def test_sources_that_start_later() -> None:
    """Nodes ask no more after sources that have no list yet."""

    async def play() -> None:
        world = await _start()
        world.store.list_delays.update(dict.fromkeys(_SLOW, 2.0))
        world.store.list_delays.update(dict.fromkeys(_FAST, 0.5))
        await _restart(world, (*_SLOW, *_FAST))
        await asyncio.sleep(0.5 + _SOON_SECONDS)
        assert _list_served(world) == {*_FAST, *_SLOW}
        await world.stop()

    run(play())


def test_state_of_a_source_is_confirmed_soon() -> None:
    """Nodes deny nothing, as the list that a source sent them is too old."""

    async def play() -> None:
        world = await _start()
        await _restart(world, _SLOW)
        await asyncio.sleep(_SOON_SECONDS)
        for _ in range(40):
            await asyncio.sleep(0.1)
            ages = [node.configuration.age for node in world.nodes.values()]
            assert max(ages) < MAX_DENIAL_AGE_SECONDS
        await world.stop()

    run(play())


def test_slow_link_is_left_to_the_source() -> None:
    """The list of a source waits on the link behind the list of the store."""

    async def play() -> None:
        world = await _start()
        before = len(world.store.calls)
        await _restart(world, _SLOW)
        await asyncio.sleep(_SOON_SECONDS)
        listed = {
            path
            for _, _, path in world.store.calls[before:]
            if 'watch' not in path
        }
        assert not {'config', 'servers'} & listed
        await world.stop()

    run(play())


def test_no_source_can_be_reached() -> None:
    """Nodes wait for sources, although the store sends them the lists."""

    async def play() -> None:
        world = await _start()
        world.unreachable.update(_FAST)
        await _restart(world, _SLOW)
        await asyncio.sleep(_LIST_SECONDS + 0.1)
        assert _list_served(world) >= set(_SLOW)
        await world.stop()

    run(play())


def test_left_replica_is_not_taken_from_a_source() -> None:
    """A node that has just started uses a replica that left meanwhile."""

    async def play() -> None:
        world = await _start()
        await _restart(world, _SLOW)
        world.deregister('b-0')
        await asyncio.sleep(world.drain)
        assert not any(node.offers('b-0') for node in world.nodes.values())
        assert all(node.offers('b-1') for node in world.nodes.values())
        await world.stop()

    run(play())


def _make_entries(count: int, source_mbps: float) -> list[NodeEntry]:
    return [
        NodeEntry('source', 'zone-a', 'source:1', source_mbps),
        *(
            NodeEntry(f'node-{number:02}', 'zone-a', 'node:1', 10.0)
            for number in range(count - 1)
        ),
    ]


@pytest.mark.parametrize(
    ('count', 'source_mbps', 'offered'),
    [
        (24, 80.0, ['source']),
        (24, 79.0, []),
        (90, 150.0, ['source']),
        (90, 149.0, []),
        (19, 1000.0, []),
    ],
)
def test_only_fast_links_are_sources(
    count: int, source_mbps: float, offered: list[str]
) -> None:
    """A node's link is filled by the lists that it sends to all others."""
    entries = _make_entries(count, source_mbps)
    sources = list_sources('node-01', 'zone-a', 10.0, entries)
    assert [source.name for source in sources] == offered
    assert not list_sources('source', 'zone-a', source_mbps, entries)
