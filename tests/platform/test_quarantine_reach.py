"""How soon all nodes refuse a request under which replicas have ended.

Each attempt of its client comes to another node, so ends are seen by one node
each. From the third on no node may send it, and those in touch with the store
have the time for which trouble excuses them, 3 s in small fleets and 5 s in
large ones, to hear of it.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

import pytest

from ryelatch_core.quarantine import RequestPhase
from ryelatch_platform._quarantine import QUARANTINE_KIND
from virtual.loop import run
from virtual.store import Trouble
from virtual.world import World

_DIGEST = '0123456789abcdef'


@dataclass(frozen=True)
class _Fleet:
    """Nodes, and the time in which they have to hear.

    :param touch: seconds.
    """

    nodes: int
    drain: float
    touch: float


_SMALL = _Fleet(7, 2, 3)
_LARGE = _Fleet(72, 4, 5)
_FLEETS = pytest.mark.parametrize('fleet', [_SMALL, _LARGE])


async def _start(fleet: _Fleet) -> World:
    names = [f'node-{number:02}' for number in range(fleet.nodes)]
    zones = {name: f'zone-{place % 3}' for place, name in enumerate(names)}
    world = World(fleet.drain, fleet.touch, zones=zones, refuses=True)
    await world.start(names)
    return world


def _see_ends(world: World, names: Iterable[str]) -> None:
    """Let nodes see an end each."""
    for number, name in enumerate(names):
        world.nodes[name].quarantine.record_crash(
            _DIGEST, f'r-{number}', RequestPhase.BEGUN, 'c-1'
        )


def _list_sending(world: World, but: Iterable[str] = ()) -> list[str]:
    """Name the nodes that would send the request on."""
    return [
        name
        for name, node in world.nodes.items()
        if name not in but and not node.quarantine.find_refused(_DIGEST)
    ]


@_FLEETS
def test_crashes_seen_at_once_by_three(fleet: _Fleet) -> None:
    """Copies of a request are under way at three nodes at the same moment.

    Each sees one end and keeps it for a while, as most come to nothing.
    """

    async def play() -> None:
        world = await _start(fleet)
        _see_ends(world, ('node-01', 'node-02', 'node-03'))
        await asyncio.sleep(fleet.touch / 2)
        assert not _list_sending(world)
        await world.stop()

    run(play())


@_FLEETS
def test_crashes_seen_one_after_the_other(fleet: _Fleet) -> None:
    """The client comes back every second; the third end is told at once."""

    async def play() -> None:
        world = await _start(fleet)
        for number, name in enumerate(('node-01', 'node-02', 'node-03')):
            node = world.nodes[name]
            node.quarantine.record_crash(
                _DIGEST, f'r-{number}', RequestPhase.BEGUN, 'c-1'
            )
            await asyncio.sleep(1)
        assert not _list_sending(world)
        await world.stop()

    run(play())


@_FLEETS
@pytest.mark.parametrize('trouble', [Trouble.SILENT, Trouble.BUSY])
def test_store_outage_while_replicas_crash(fleet: _Fleet, trouble: Trouble) -> None:
    """The store answers nobody from before the first end to after the last.

    Nodes are held to the bound when it has been back for that time.
    """

    async def play() -> None:
        world = await _start(fleet)
        world.store.troubles.update(dict.fromkeys(world.nodes, trouble))
        await asyncio.sleep(1)
        _see_ends(world, ('node-01', 'node-02', 'node-03'))
        await asyncio.sleep(4)
        world.store.troubles.clear()
        await asyncio.sleep(fleet.touch)
        assert not _list_sending(world)
        await world.stop()

    run(play())


@_FLEETS
def test_store_is_slow_and_forgets(fleet: _Fleet) -> None:
    """Each answer takes 0.2 s, and history is dropped between the ends."""

    async def play() -> None:
        world = await _start(fleet)
        world.store.delay = 0.2
        _see_ends(world, ('node-01', 'node-02'))
        await asyncio.sleep(0.5)
        world.store.forget_history()
        world.nodes['node-04'].quarantine.record_crash(
            _DIGEST, 'r-9', RequestPhase.BEGUN, 'c-1'
        )
        await asyncio.sleep(fleet.touch)
        assert not _list_sending(world)
        await world.stop()

    run(play())


def test_peers_that_watch_are_lost() -> None:
    """The nodes that watch for others lose their power as replicas end.

    Those who ask them find out, and ask the next ones or the store.
    """

    async def play() -> None:
        world = await _start(_LARGE)
        lost = {'node-00', 'node-01', 'node-02'}
        await asyncio.sleep(3)
        for name in lost:
            world.dark.add(name)
            await world.nodes[name].follower.stop()
        _see_ends(world, ('node-10', 'node-20', 'node-30'))
        await asyncio.sleep(_LARGE.touch)
        assert not _list_sending(world, but=lost)
        await world.stop()

    run(play())


@_FLEETS
def test_crashes_cause_few_store_calls(fleet: _Fleet) -> None:
    """Replicas end under requests that then run on elsewhere, as most do.

    Nothing of them is told, so a large loss costs no call to the store.
    """

    async def play() -> None:
        world = await _start(fleet)
        before = len(world.store.calls)
        for number, node in enumerate(world.nodes.values()):
            digest = f'{number:016x}'
            node.quarantine.record_crash(
                digest, 'r-1', RequestPhase.BEGUN, 'c-1'
            )
        await asyncio.sleep(0.2)
        for number, node in enumerate(world.nodes.values()):
            node.quarantine.record_run(f'{number:016x}')
        await asyncio.sleep(1)
        paths = [path for _, _, path in world.store.calls[before:]]
        assert not any(map(_changes_an_object, paths))
        await world.stop()

    run(play())


def _changes_an_object(path: str) -> bool:
    """Whether a call, not the first one, can be none but a write."""
    return path.startswith(QUARANTINE_KIND) and 'watch=' not in path
