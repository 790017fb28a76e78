"""Replicas that have left get no requests, whichever faults the store had.

A replica got requests seconds after it had announced its departure. The store
had not responded for a second some time before. A watch sent in that second
was lost, and the node detected the outage only when the watch was overdue,
four seconds after the outage. It then took entries deleted after the outage
for expired ones that may come back, and kept them for two seconds. The log
shows ``store-out`` with ``sent_ago=4.8``, then ``exchange-sent`` with
``missing``.
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
"""Durations in seconds, around the wait of a watch and a call's timeout."""


async def _stop_responding(world: World, name: str, seconds: float) -> None:
    world.store.troubles[name] = Trouble.SILENT
    await asyncio.sleep(seconds)
    del world.store.troubles[name]


async def _expect_gone(
    world: World,
    name: str,
    exempt: tuple[str, ...] = (),
) -> None:
    """Delete a replica's entry and check that no node uses it when it is due.

    The nodes are checked before the bound by the time that a connection may
    take: a request that is sent later would arrive after the bound.

    :param exempt: nodes that met a fault and may still use the replica.
    """
    world.deregister(name)
    await asyncio.sleep(world.drain - CONNECT_TIMEOUT_SECONDS)
    offering = {node.name for node in world.nodes.values() if node.offers(name)}
    assert not offering - set(exempt)


def test_leaving_after_a_silent_outage() -> None:
    """Replicas that leave seconds after an outage still get requests.

    A change of the registry just before the outage makes each node send a
    new watch during the outage, and that watch is lost.
    """

    async def play() -> None:
        world = World()
        await world.start(('node-a',))
        for seconds, later in itertools.product(
            (0.3, 0.7, 1.1, 1.7), (0, 0.4, 0.8, 1.2)
        ):
            world.register('b-9')
            await asyncio.sleep(0.01)
            await _stop_responding(world, 'node-a', seconds)
            await asyncio.sleep(world.steady + later)
            await _expect_gone(world, 'b-0')
            world.register('b-0')
            await asyncio.sleep(5)
        await world.stop()

    run(play())


def test_leaving_while_a_peer_is_asked() -> None:
    """Replicas that leave after an outage get requests in a fleet of nodes.

    A node that detects the outage asks a peer instead, which is cut off as
    well, and goes on asking it although the store is back.
    """

    async def play() -> None:
        world = World()
        names = ('node-a', 'node-b', 'node-c')
        await world.start(names)
        world.register('b-9')
        await asyncio.sleep(0.01)
        await asyncio.gather(
            *(_stop_responding(world, name, 1.1) for name in names)
        )
        await asyncio.sleep(world.steady + 0.4)
        await _expect_gone(world, 'b-0')
        await world.stop()

    run(play())


@pytest.mark.parametrize('later', [0, 0.01, 0.05, 0.2, 0.5, 0.9])
def test_leaving_as_a_watch_is_cut(later: float) -> None:
    """A replica that leaves as the store closes its watches gets requests.

    The store may close watches at any time. That is no outage, so an entry
    deleted at that moment belongs to a replica that has left.
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
    """A node without processor time for two seconds assumes an outage.

    The response to its watch arrived in time, but is read after the timeout.
    """

    async def play() -> None:
        world = World()
        await world.start(('node-a',))
        node = world.nodes['node-a']
        for _ in itertools.repeat(None, 8):
            await asyncio.sleep(0.31)
            loop = asyncio.get_running_loop()
            assert isinstance(loop, VirtualLoop)
            loop.freeze(2)
            await asyncio.sleep(0.01)
            await _expect_gone(world, 'b-0')
            world.register('b-0')
        assert not node.count('store-out')
        await world.stop()

    run(play())


def test_leaving_while_connections_are_left() -> None:
    """Calls that a node aborts itself count as signs of a longer outage.

    The store doesn't respond for a moment and is slow after that. An overdue
    watch makes the node close all of its connections, also those of calls in
    progress.
    """

    async def play() -> None:
        world = World()
        await world.start(('node-a',))
        store = world.nodes['node-a'].store
        world.register('b-9')
        await asyncio.sleep(0.01)
        await _stop_responding(world, 'node-a', 0.3)
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
    """A replica that leaves while watches receive no events gets requests.

    After a second the store drops its history. In between the replica
    announces its departure and leaves.
    """

    async def play() -> None:
        world = World()
        await world.start(('node-a',))
        world.store.troubles['node-a'] = Trouble.WATCHES_UNRESPONSIVE
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
    """A replica whose entry is deleted without announcement gets requests."""

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
    """Entries that expired in an outage are dropped while replicas run.

    All entries expire during an outage of five seconds, and are back 1.7 s
    after it. Dropping them before that would leave no replica to serve.
    """

    async def play() -> None:
        world = World()
        await world.start(('node-a',))
        node = world.nodes['node-a']
        world.store.troubles['node-a'] = trouble
        await asyncio.sleep(2)
        for number in range(4):
            world.deregister(f'b-{number}')
        await asyncio.sleep(3)
        del world.store.troubles['node-a']
        for number in range(17):
            await asyncio.sleep(0.1)
            assert all(node.offers(f'b-{replica}') for replica in range(4)), (
                number
            )
        for number in range(4):
            world.register(f'b-{number}')
        await asyncio.sleep(5)
        assert all(node.offers(f'b-{replica}') for replica in range(4))
        await world.stop()

    run(play())


def test_list_is_never_older_than_it_may_be() -> None:
    """The view of the registry grows too old though the store responds.

    Changes come at all times of a watch's wait. The age of the list is a part
    of the bound on departures.
    """

    async def play() -> None:
        world = World()
        await world.start(('node-a',))
        freshness = world.nodes['node-a'].view.freshness
        random_source = random.Random(7)
        for _ in itertools.repeat(None, 300):
            await asyncio.sleep(random_source.uniform(0, 0.3))
            if random_source.randrange(10) < 3:
                world.register(f'b-{random_source.randrange(4)}')
            assert freshness.left >= 0
        await world.stop()

    run(play())


@pytest.mark.parametrize('seed', range(25))
def test_leaving_after_any_outages(seed: int) -> None:
    """Replicas that leave after random outages still get requests."""

    async def play() -> None:
        random_source = random.Random(seed)
        drain, steady = random_source.choice([(2.0, 3.0), (3.0, 4.0)])
        world = World(drain, steady)
        names = random_source.choice(
            [('node-a',), ('node-a', 'node-b', 'node-c')]
        )
        await world.start(names)
        for _ in itertools.repeat(None, 6):
            for _ in range(random_source.randrange(1, 4)):
                await _affect_nodes(world, random_source)
            await asyncio.sleep(steady + random_source.uniform(0, 2))
            await _expect_gone(world, 'b-0')
            world.register('b-0')
        await world.stop()

    run(play())


async def _affect_nodes(world: World, random_source: random.Random) -> None:
    """Let some nodes meet a fault, often after a change of the registry."""
    kinds = (
        Trouble.SILENT,
        Trouble.BUSY,
        Trouble.RESET,
        Trouble.WATCHES_UNRESPONSIVE,
    )
    affected = random_source.sample(
        list(world.nodes), random_source.randrange(1, len(world.nodes) + 1)
    )
    await asyncio.sleep(random_source.uniform(0, 1.5))
    if random_source.randrange(10) < 7:
        world.register('b-9')
        await asyncio.sleep(random_source.uniform(0, 0.3))
    world.store.troubles.update(
        dict.fromkeys(affected, random_source.choice(kinds))
    )
    await asyncio.sleep(random_source.choice(_OUTAGES))
    world.store.troubles.clear()
    if random_source.randrange(10) < 3:
        world.store.cut_watches()


_FLEET = ('node-a', 'node-b', 'node-c')
_BOUNDS = [(2.0, 3.0), (3.0, 4.0)]


@pytest.fixture
def _sharing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the first node watch the store for the others, as in large fleets."""
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
    """Followers use a replica that left while their watcher is cut off.

    The watcher still responds to them, with a view that grows old. They meet
    no fault themselves, so the bound holds for them all the time.
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
    """Followers use a replica that left after their watcher lost power.

    Requests to the watcher get no response, and no connection is closed.
    """

    async def play() -> None:
        world = World(*bounds)
        await world.start(_FLEET)
        await asyncio.sleep(before)
        world.unreachable.add('node-a')
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
    """Replicas that leave after outages get requests from followers.

    Most nodes receive changes of the registry from one watcher.
    """

    async def play() -> None:
        random_source = random.Random(seed)
        world = World(*bounds)
        await world.start(_FLEET)
        for _ in itertools.repeat(None, 6):
            await _affect_nodes(world, random_source)
            await asyncio.sleep(world.steady + random_source.uniform(0, 2))
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
    """Followers drop entries that expired in an outage.

    A follower's list grows old during the outage, so it calls the store and
    meets the outage itself. A report of a peer is not enough: see
    :func:`test_fault_of_the_watcher_keeps_no_entries`.
    """

    async def play() -> None:
        world = World(*bounds)
        await world.start(_FLEET)
        world.store.troubles.update(dict.fromkeys(_FLEET, trouble))
        await asyncio.sleep(2.4)
        for number in range(4):
            world.deregister(f'b-{number}')
        await asyncio.sleep(0.6)
        world.store.troubles.clear()
        for step in range(17):
            await asyncio.sleep(0.1)
            for node in world.nodes.values():
                assert all(
                    node.offers(f'b-{replica}') for replica in range(4)
                ), step
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
    """Followers keep the entry of a replica that left, as their watcher does.

    The store rejects the watcher for two seconds, so it may take the entry
    for an expired one. Its followers have met no outage.
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


@pytest.mark.usefixtures('_sharing')
@pytest.mark.parametrize('bounds', _BOUNDS)
@pytest.mark.parametrize('later', [0.01, 0.04, 0.08, 0.15, 0.3, 0.45])
def test_outage_ends_first_at_a_follower(
    bounds: tuple[float, float],
    later: float,
) -> None:
    """Followers drop expired entries by an old account of the outage.

    Their own calls show that the store is back. By then, the watcher has told
    them of its calls up to a second before, and not of the last one that the
    store left unanswered.
    """

    async def play() -> None:
        world = World(*bounds)
        await world.start(_FLEET)
        world.store.troubles.update(dict.fromkeys(_FLEET, Trouble.SILENT))
        await asyncio.sleep(2.4)
        for number in range(4):
            world.deregister(f'b-{number}')
        await asyncio.sleep(0.6)
        world.store.troubles.clear()
        ended = asyncio.get_running_loop().time()
        await asyncio.sleep(later)
        for name in _FLEET[1:]:
            await world.nodes[name].store.list_page('leases')
        while asyncio.get_running_loop().time() < ended + 1.7:
            await asyncio.sleep(0.1)
            for node in world.nodes.values():
                assert all(
                    node.offers(f'b-{replica}') for replica in range(4)
                ), (node.name, asyncio.get_running_loop().time() - ended)
        await asyncio.sleep(2)
        assert not any(node.offers('b-0') for node in world.nodes.values())
        await world.stop()

    run(play())


@pytest.mark.usefixtures('_sharing')
@pytest.mark.parametrize('bounds', _BOUNDS)
@pytest.mark.parametrize('later', [0, 0.5, 1, 1.5])
def test_outage_that_lasts_longer_at_the_watcher(
    bounds: tuple[float, float],
    later: float,
) -> None:
    """Followers keep a replica that left, as their watcher's outage goes on.

    It is over at the followers, whose own calls the store answers.
    """

    async def play() -> None:
        world = World(*bounds)
        await world.start(_FLEET)
        world.store.troubles.update(dict.fromkeys(_FLEET, Trouble.SILENT))
        await asyncio.sleep(2.4)
        for name in _FLEET[1:]:
            del world.store.troubles[name]
            await world.nodes[name].store.list_page('leases')
        await asyncio.sleep(world.steady + later)
        await _expect_gone(world, 'b-0', ('node-a',))
        await world.stop()

    run(play())
