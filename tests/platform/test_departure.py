"""Replicas that have left get no requests, whatever the store was up to.

Callers saw requests answered by a replica that had told seconds before that it
leaves, some of them cut off with it. The store had been silent for a second
some time earlier. A watch sent in the silence was lost, and each node learned
of the outage when that watch was overdue, four seconds after it was over. It
took entries that went after the outage for such as lapse in one and may come
back, and kept them for two seconds from then. The lines of the nodes show it:
``store-out`` with ``sent_ago=4.8``, then ``exchange-sent`` with ``missing``.
"""

import asyncio
import itertools

import pytest

from ryelatch_core.membership import SEND_SECONDS
from virtual.loop import run
from virtual.store import Trouble
from virtual.world import World


async def _fall_silent(world: World, name: str, seconds: float) -> None:
    world.store.troubles[name] = Trouble.SILENT
    await asyncio.sleep(seconds)
    del world.store.troubles[name]


async def _expect_gone(world: World, name: str) -> None:
    """Let a replica leave, and look at what nodes choose from when it is due.

    A choice made later than this would arrive after the bound.
    """
    world.leave(name)
    await asyncio.sleep(world.drain - SEND_SECONDS)
    offering = [one.name for one in world.nodes.values() if one.offers(name)]
    assert not offering


def test_leaving_after_a_silent_outage() -> None:
    """The store is silent for a moment; replicas leave four seconds later.

    A change of the registry just before lets each node watch anew in the
    silence, and that watch is lost.
    """

    async def play() -> None:
        world = World()
        await world.start(('node-a',))
        for seconds, later in itertools.product(
            (0.3, 0.7, 1.1, 1.7), (0, 0.4, 0.8, 1.2)
        ):
            world.register('b-9')
            await asyncio.sleep(0.01)
            await _fall_silent(world, 'node-a', seconds)
            await asyncio.sleep(world.steady + later)
            await _expect_gone(world, 'b-0')
            world.register('b-0')
            await asyncio.sleep(5)
        await world.stop()

    run(play())


def test_leaving_while_a_peer_is_asked() -> None:
    """The same where nodes know of each other.

    Whoever finds the store out asks a peer, which is as badly off, and goes on
    asking although the store is back.
    """

    async def play() -> None:
        world = World()
        names = ('node-a', 'node-b', 'node-c')
        await world.start(names)
        world.register('b-9')
        await asyncio.sleep(0.01)
        await asyncio.gather(
            *(_fall_silent(world, name, 1.1) for name in names)
        )
        await asyncio.sleep(world.steady + 0.4)
        await _expect_gone(world, 'b-0')
        await world.stop()

    run(play())


def test_leaving_with_no_trouble() -> None:
    """The store is well, and an entry goes without a word before."""

    async def play() -> None:
        world = World()
        await world.start(('node-a',))
        assert world.nodes['node-a'].offers('b-0')
        for _ in range(20):
            await asyncio.sleep(0.37)
            await _expect_gone(world, 'b-0')
            world.register('b-0')
        await world.stop()

    run(play())


@pytest.mark.parametrize('trouble', [Trouble.SILENT, Trouble.BUSY])
def test_entries_that_lapse_in_an_outage_are_kept(trouble: Trouble) -> None:
    """The store is away for five seconds, and every entry lapses meanwhile.

    They are back within 1.7 seconds of its return. Dropped before, nobody
    would be left to serve.
    """

    async def play() -> None:
        world = World()
        await world.start(('node-a',))
        node = world.nodes['node-a']
        world.store.troubles['node-a'] = trouble
        await asyncio.sleep(2)
        for number in range(4):
            world.leave(f'b-{number}')
        await asyncio.sleep(3)
        del world.store.troubles['node-a']
        for number in range(17):
            await asyncio.sleep(0.1)
            assert all(node.offers(f'b-{one}') for one in range(4)), number
        for number in range(4):
            world.register(f'b-{number}')
        await asyncio.sleep(5)
        assert all(node.offers(f'b-{one}') for one in range(4))
        await world.stop()

    run(play())
