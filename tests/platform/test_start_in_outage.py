"""Nodes that start during an outage of the store, bootstrapped by peers."""

import asyncio
from collections.abc import Iterable

import pytest

from ryelatch_core.quarantine import Fingerprint, RequestPhase
from ryelatch_node.peer_sync import StoreUpdate
from ryelatch_node.peer_sync._bootstrap_client import BootstrapClient
from ryelatch_platform._kinds import Kind
from ryelatch_platform._quarantine import QUARANTINE_KIND
from virtual.loop import run
from virtual.store import Trouble
from virtual.world import World

_REQUEST = Fingerprint('0123456789abcdef')

_UNSHARED = 'untold'

_BOOTSTRAP_SECONDS = 0.6
"""How long a starting node may be without a view of the store."""


def _name_nodes(count: int) -> tuple[str, ...]:
    return tuple(f'node-{number:02}' for number in range(count))


async def _start(names: Iterable[str], trouble: Trouble) -> World:
    """Start nodes, delete a replica's entry, and begin an outage."""
    world = World(4.0, 5.0, follows_quarantine=True)
    await world.start(names)
    world.deregister('b-0')
    await asyncio.sleep(3)
    world.store.troubles.update(dict.fromkeys(names, trouble))
    await asyncio.sleep(0.5)
    return world


def _has_current_view(world: World, name: str) -> bool:
    """Return whether a node has the same view as all others."""
    node = world.nodes[name]
    offered = [replica for replica in ('b-0', 'b-1') if node.offers(replica)]
    return node.configuration.version == 1 and offered == ['b-1']


@pytest.mark.parametrize(
    'trouble', [Trouble.SILENT, Trouble.BUSY, Trouble.RESET]
)
@pytest.mark.parametrize('count', [2, 7, 24, 67])
def test_node_that_starts_in_an_outage_serves(
    count: int, trouble: Trouble
) -> None:
    """A node that restarts during an outage of the store can't serve."""

    async def play() -> None:
        names = _name_nodes(count)
        world = await _start(names, trouble)
        await world.restart(names[:1])
        await asyncio.sleep(_BOOTSTRAP_SECONDS)
        assert _has_current_view(world, names[0])
        assert world.nodes[names[0]].configuration.allows_keys()
        assert len(world.nodes[names[0]].peer_sync.nodes) == count
        await world.stop()

    run(play())


@pytest.mark.parametrize('count', [7, 24])
def test_most_nodes_start_in_an_outage(count: int) -> None:
    """Nodes stay without a view as all but one restart in an outage.

    Each node that is bootstrapped has to bootstrap others.
    """

    async def play() -> None:
        names = _name_nodes(count)
        world = await _start(names, Trouble.SILENT)
        await world.restart(names[1:])
        await asyncio.sleep(_BOOTSTRAP_SECONDS + count * 0.5)
        assert all(_has_current_view(world, name) for name in names)
        await world.stop()

    run(play())


def _delay_quarantine(bootstrap_client: BootstrapClient) -> None:
    """Delay the response with the quarantine."""
    request = bootstrap_client.request_list

    async def request_late(kind: str) -> StoreUpdate | None:
        if kind == QUARANTINE_KIND:
            await asyncio.sleep(0.4)
        return await request(kind)

    bootstrap_client.request_list = request_late  # type: ignore[method-assign]


def test_quarantine_is_synced_first() -> None:
    """A starting node sends a request that has crashed three replicas.

    During an outage the quarantine arrives later than the registry.
    """

    async def play() -> None:
        names = _name_nodes(7)
        world = World(4.0, 5.0, follows_quarantine=True)
        await world.start(names)
        for incarnation in ('r-1', 'r-2', 'r-3'):
            world.nodes[names[1]].quarantine.record_crash(
                _REQUEST, incarnation, RequestPhase.BEGUN, 'c-1'
            )
        await asyncio.sleep(3)
        assert world.nodes[names[0]].quarantine.find_refused(_REQUEST)
        world.store.troubles.update(dict.fromkeys(names, Trouble.SILENT))
        await world.restart(names[:1])
        node = world.nodes[names[0]]
        _delay_quarantine(node.peer_sync.bootstrap_client)
        for _ in range(100):
            await asyncio.sleep(0.05)
            refused = node.quarantine.find_refused(_REQUEST)
            assert refused or not node.offers('b-1')
        assert node.offers('b-1')
        await world.stop()

    run(play())


@pytest.mark.parametrize('count', [2, 24])
def test_store_that_refuses_at_once(count: int) -> None:
    """A node isn't bootstrapped if the store refuses connections at once.

    The refusal arrives sooner than the response of a peer.
    """

    async def play() -> None:
        names = _name_nodes(count)
        world = await _start(names, Trouble.RESET)
        world.store.delay = 0.0001
        await world.restart(names[:1])
        await asyncio.sleep(_BOOTSTRAP_SECONDS)
        assert _has_current_view(world, names[0])
        await world.stop()

    run(play())


def _make_unshared() -> Kind:
    """Create a kind of object that a node doesn't require."""
    return Kind(
        _UNSHARED,
        20,
        0,
        shared_wait_seconds=10,
        replace=lambda listed, known, unanswered: None,
        put=lambda found, known: None,
        remove=lambda name, unanswered: None,
        confirm=lambda known: None,
        required=False,
    )


def test_bootstrapped_node_makes_few_calls() -> None:
    """A bootstrapped node calls a store that refuses it again and again.

    No peer announces one kind of object, so the node needs the store for it.
    """

    async def play() -> None:
        names = _name_nodes(7)
        world = await _start(names, Trouble.RESET)
        world.make_unshared_kind = _make_unshared
        await world.restart(names[:1])
        started = asyncio.get_running_loop().time()
        await asyncio.sleep(10)
        calls = [at for at, _, path in world.store.calls if _UNSHARED in path]
        assert 0 < sum(at > started for at in calls) < 20
        await world.stop()

    run(play())


def test_node_back_in_an_outage_drops_leavers() -> None:
    """A node that started in an outage uses a replica that left after it."""

    async def play() -> None:
        names = _name_nodes(7)
        world = await _start(names, Trouble.SILENT)
        await world.restart(names[:1])
        await asyncio.sleep(_BOOTSTRAP_SECONDS)
        world.store.troubles.clear()
        await asyncio.sleep(1)
        world.deregister('b-1')
        await asyncio.sleep(world.drain)
        assert not world.nodes[names[0]].offers('b-1')
        await world.stop()

    run(play())


def test_no_bootstrap_without_an_outage() -> None:
    """Nodes send bootstrap messages without an outage of the store."""

    async def play() -> None:
        names = _name_nodes(7)
        world = World(4.0, 5.0, follows_quarantine=True)
        await world.start(names)
        await world.restart(names[:2])
        await asyncio.sleep(3)
        assert not sum(
            node.count('node-greeted') for node in world.nodes.values()
        )
        await world.stop()

    run(play())
