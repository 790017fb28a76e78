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
import random

import pytest

from ryelatch_core.membership import CONNECT_TIMEOUT_SECONDS
from virtual.loop import VirtualLoop, run
from virtual.store import Trouble
from virtual.world import World

_OUTAGES = (0.1, 0.5, 0.8, 1.2, 2, 4)
"""Lengths in seconds, around what a watch waits and what a call may take."""


async def _fall_silent(world: World, name: str, seconds: float) -> None:
    world.store.troubles[name] = Trouble.SILENT
    await asyncio.sleep(seconds)
    del world.store.troubles[name]


async def _expect_gone(
    world: World,
    name: str,
    exempt: tuple[str, ...] = (),
) -> None:
    """Let a replica leave, and look at what nodes choose from when it is due.

    A choice made later than this would arrive after the bound.

    :param exempt: nodes that something has been done to.
    """
    world.leave(name)
    await asyncio.sleep(world.drain - CONNECT_TIMEOUT_SECONDS)
    offering = {one.name for one in world.nodes.values() if one.offers(name)}
    assert not offering - set(exempt)


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


@pytest.mark.parametrize('later', [0, 0.01, 0.05, 0.2, 0.5, 0.9])
def test_leaving_as_a_watch_is_cut(later: float) -> None:
    """The store cuts the watches that wait, as it may at any time.

    That is no outage, and what goes at that moment has left.
    """

    async def play() -> None:
        world = World()
        await world.start(('node-a',))
        world.store.cut_watches()
        await asyncio.sleep(later)
        await _expect_gone(world, 'b-0')
        assert not world.nodes['node-a'].count('store-out')
        await world.stop()

    run(play())


def test_paused_process_is_no_outage() -> None:
    """A node gets no processor time for two seconds; the store is well.

    The answer to its watch came in time and was read after the timeout.
    """

    async def play() -> None:
        world = World()
        await world.start(('node-a',))
        node = world.nodes['node-a']
        for _ in itertools.repeat(None, 8):
            await asyncio.sleep(0.31)
            loop = asyncio.get_running_loop()
            assert isinstance(loop, VirtualLoop)
            loop.stand_still(2)
            await asyncio.sleep(0.01)
            await _expect_gone(world, 'b-0')
            world.register('b-0')
        assert not node.count('store-out')
        await world.stop()

    run(play())


def test_leaving_while_connections_are_left() -> None:
    """The store was silent for a moment and is slow after that.

    An overdue watch makes the node leave all of its connections, those of
    calls on their way with them. These fail by the node's own doing, and are
    no sign of an outage that lasts.
    """

    async def play() -> None:
        world = World()
        await world.start(('node-a',))
        store = world.nodes['node-a'].store
        world.register('b-9')
        await asyncio.sleep(0.01)
        await _fall_silent(world, 'node-a', 0.3)
        silent_until = asyncio.get_running_loop().time()
        world.store.delay = 0.4
        calls = []
        for _ in itertools.repeat(None, 10):
            await asyncio.sleep(0.1)
            calls.append(asyncio.create_task(store.list_page('leases')))
        await asyncio.gather(*calls)
        assert world.nodes['node-a'].count('store-out')
        assert world.nodes['node-a'].count('store-call-cut')
        assert store.availability.unanswered < silent_until
        await world.stop()

    run(play())


@pytest.mark.parametrize('later', [0, 0.3, 0.6, 0.9])
def test_leaving_while_watches_get_no_events(later: float) -> None:
    """The store's watches are deaf for a second, then its history is gone.

    A replica says that it leaves meanwhile, and goes.
    """

    async def play() -> None:
        world = World()
        await world.start(('node-a',))
        world.store.troubles['node-a'] = Trouble.DEAF
        loop = asyncio.get_running_loop()
        loop.call_later(1, world.store.troubles.clear)
        loop.call_later(1, world.store.forget_history)
        loop.call_later(1, world.store.cut_watches)
        await asyncio.sleep(later)
        world.register('b-0', 'draining')
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


def test_list_is_never_older_than_it_may_be() -> None:
    """Changes come at all times of a watch's wait, and none is lost.

    The list's age is the first term of the sum; the store answers all along.
    """

    async def play() -> None:
        world = World()
        await world.start(('node-a',))
        known = world.nodes['node-a'].view.freshness
        draw = random.Random(7)
        for _ in itertools.repeat(None, 300):
            await asyncio.sleep(draw.uniform(0, 0.3))
            if draw.randrange(10) < 3:
                world.register(f'b-{draw.randrange(4)}')
            assert known.left >= 0
        await world.stop()

    run(play())


@pytest.mark.parametrize('seed', range(25))
def test_leaving_after_any_outages(seed: int) -> None:
    """Outages of each kind come at random, and replicas leave later."""

    async def play() -> None:
        draw = random.Random(seed)
        drain, steady = draw.choice([(2.0, 3.0), (3.0, 4.0)])
        world = World(drain, steady)
        names = draw.choice([('node-a',), ('node-a', 'node-b', 'node-c')])
        await world.start(names)
        for _ in itertools.repeat(None, 6):
            for _ in range(draw.randrange(1, 4)):
                await _trouble_nodes(world, draw)
            await asyncio.sleep(steady + draw.uniform(0, 2))
            await _expect_gone(world, 'b-0')
            world.register('b-0')
        await world.stop()

    run(play())


async def _trouble_nodes(world: World, draw: random.Random) -> None:
    """Let some nodes meet an outage after a change of the registry."""
    kinds = (Trouble.SILENT, Trouble.BUSY, Trouble.RESET, Trouble.DEAF)
    met = draw.sample(
        list(world.nodes), draw.randrange(1, len(world.nodes) + 1)
    )
    await asyncio.sleep(draw.uniform(0, 1.5))
    if draw.randrange(10) < 7:
        world.register('b-9')
        await asyncio.sleep(draw.uniform(0, 0.3))
    world.store.troubles.update(dict.fromkeys(met, draw.choice(kinds)))
    await asyncio.sleep(draw.choice(_OUTAGES))
    world.store.troubles.clear()
    if draw.randrange(10) < 3:
        world.store.cut_watches()


_FLEET = ('node-a', 'node-b', 'node-c')
_BOUNDS = [(2.0, 3.0), (3.0, 4.0)]


@pytest.fixture
def _sharing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the first node watch for the others, as in a large fleet."""
    monkeypatch.setattr(
        'ryelatch_core.membership._watchers.MIN_SHARING_NODES', 1
    )


@pytest.mark.usefixtures('_sharing')
@pytest.mark.parametrize('bounds', _BOUNDS)
@pytest.mark.parametrize('later', [0, 0.3, 0.7, 1.1, 1.5, 2.5])
def test_leaving_while_the_watcher_is_cut_off(
    bounds: tuple[float, float],
    later: float,
) -> None:
    """The node that watches for others is cut off from the store.

    It answers its followers, and what it tells grows old. Nothing was done to
    them, so they are held to the bound all the while.
    """

    async def play() -> None:
        world = World(*bounds)
        await world.start(_FLEET)
        world.store.troubles['node-a'] = Trouble.SILENT
        await asyncio.sleep(later)
        await _expect_gone(world, 'b-0', ('node-a',))
        await world.stop()

    run(play())


@pytest.mark.usefixtures('_sharing')
@pytest.mark.parametrize('bounds', _BOUNDS)
@pytest.mark.parametrize('before', [step / 10 for step in range(12)])
@pytest.mark.parametrize('later', [0, 0.5, 1])
def test_leaving_after_power_loss_of_the_watcher(
    bounds: tuple[float, float],
    before: float,
    later: float,
) -> None:
    """The node that watches for others loses its power.

    Questions to it are never answered, and no connection ends.
    """

    async def play() -> None:
        world = World(*bounds)
        await world.start(_FLEET)
        await asyncio.sleep(before)
        world.dark.add('node-a')
        await asyncio.sleep(later)
        await _expect_gone(world, 'b-0', ('node-a',))
        await world.stop()

    run(play())


@pytest.mark.usefixtures('_sharing')
@pytest.mark.parametrize('bounds', _BOUNDS)
@pytest.mark.parametrize('seed', range(12))
def test_leaving_in_a_large_fleet_after_outages(
    bounds: tuple[float, float],
    seed: int,
) -> None:
    """Outages as before, where most nodes hear of the registry through one."""

    async def play() -> None:
        draw = random.Random(seed)
        world = World(*bounds)
        await world.start(_FLEET)
        for _ in itertools.repeat(None, 6):
            await _trouble_nodes(world, draw)
            await asyncio.sleep(world.steady + draw.uniform(0, 2))
            await _expect_gone(world, 'b-0')
            world.register('b-0')
        await world.stop()

    run(play())


@pytest.mark.usefixtures('_sharing')
@pytest.mark.parametrize('bounds', _BOUNDS)
@pytest.mark.parametrize('trouble', [Trouble.SILENT, Trouble.BUSY])
def test_followers_keep_lapsed_entries(
    bounds: tuple[float, float],
    trouble: Trouble,
) -> None:
    """The store is away for all until entries lapse.

    A follower's list grows old, so it asks the store itself and meets the
    outage. A peer's word for it would not do: see the next test.
    """

    async def play() -> None:
        world = World(*bounds)
        await world.start(_FLEET)
        world.store.troubles.update(dict.fromkeys(_FLEET, trouble))
        await asyncio.sleep(2.4)
        for number in range(4):
            world.leave(f'b-{number}')
        await asyncio.sleep(0.6)
        world.store.troubles.clear()
        for step in range(17):
            await asyncio.sleep(0.1)
            for node in world.nodes.values():
                assert all(node.offers(f'b-{one}') for one in range(4)), step
        await asyncio.sleep(2)
        assert not any(node.offers('b-0') for node in world.nodes.values())
        await world.stop()

    run(play())


@pytest.mark.usefixtures('_sharing')
@pytest.mark.parametrize('bounds', _BOUNDS)
@pytest.mark.parametrize('later', [0.2, 0.9, 1.6])
def test_fault_of_the_watcher_keeps_no_entries(
    bounds: tuple[float, float],
    later: float,
) -> None:
    """The node that watches for others is turned away for two seconds.

    A replica leaves meanwhile. The watcher may take its entry for one that
    lapsed; its followers have met no outage.
    """

    async def play() -> None:
        world = World(*bounds)
        await world.start(_FLEET)
        world.store.troubles['node-a'] = Trouble.BUSY
        asyncio.get_running_loop().call_later(2, world.store.troubles.clear)
        await asyncio.sleep(later)
        await _expect_gone(world, 'b-0', ('node-a',))
        await world.stop()

    run(play())
