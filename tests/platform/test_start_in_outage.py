"""Nodes that start while the store is out learn from those that live."""

import asyncio
from collections.abc import Iterable

import pytest

from ryelatch_core.quarantine import RequestPhase
from ryelatch_node.peer_sync import StoreUpdate
from ryelatch_node.peer_sync._bootstrap_client import BootstrapClient
from ryelatch_platform._kinds import Kind
from ryelatch_platform._quarantine import QUARANTINE_KIND
from virtual.loop import run
from virtual.store import Trouble
from virtual.world import World

_DIGEST = '0123456789abcdef'

_UNTOLD = 'untold'

_LEARN_SECONDS = 0.6
"""How long a node that starts may know nothing."""


def _name_nodes(count: int) -> tuple[str, ...]:
    return tuple(f'node-{number:02}' for number in range(count))


async def _start(names: Iterable[str], trouble: Trouble) -> World:
    """Start nodes, let a replica leave, and let the store go out."""
    world = World(4.0, 5.0, refuses=True)
    await world.start(names)
    world.leave('b-0')
    await asyncio.sleep(3)
    world.store.troubles.update(dict.fromkeys(names, trouble))
    await asyncio.sleep(0.5)
    return world


def _serves(world: World, name: str) -> bool:
    """Whether a node knows what it needs, as old as all that is known."""
    node = world.nodes[name]
    offered = [one for one in ('b-0', 'b-1') if node.offers(one)]
    return node.configuration.version == 1 and offered == ['b-1']


@pytest.mark.parametrize(
    'trouble', [Trouble.SILENT, Trouble.BUSY, Trouble.RESET]
)
@pytest.mark.parametrize('count', [2, 7, 24, 67])
def test_node_that_starts_in_an_outage_serves(
    count: int, trouble: Trouble
) -> None:
    """One node is killed and back while the store is out for all."""

    async def play() -> None:
        names = _name_nodes(count)
        world = await _start(names, trouble)
        await world.restart(names[:1])
        await asyncio.sleep(_LEARN_SECONDS)
        assert _serves(world, names[0])
        assert world.nodes[names[0]].configuration.allows_keys()
        assert len(world.nodes[names[0]].peer_sync.nodes) == count
        await world.stop()

    run(play())


@pytest.mark.parametrize('count', [7, 24])
def test_most_nodes_start_in_an_outage(count: int) -> None:
    """All nodes but one are killed at once; each that learns tells the next."""

    async def play() -> None:
        names = _name_nodes(count)
        world = await _start(names, Trouble.SILENT)
        await world.restart(names[1:])
        await asyncio.sleep(_LEARN_SECONDS + count * 0.5)
        assert all(_serves(world, name) for name in names)
        await world.stop()

    run(play())


def _delay_refused(bootstrap_client: BootstrapClient) -> None:
    """Let the word of what is refused come late."""
    ask = bootstrap_client.request_list

    async def ask_late(kind: str) -> StoreUpdate | None:
        if kind == QUARANTINE_KIND:
            await asyncio.sleep(0.4)
        return await ask(kind)

    bootstrap_client.request_list = ask_late  # type: ignore[method-assign]


def test_quarantine_is_synced_first() -> None:
    """A request has ended three replicas, and a node starts in an outage."""

    async def play() -> None:
        names = _name_nodes(7)
        world = World(4.0, 5.0, refuses=True)
        await world.start(names)
        for life in ('r-1', 'r-2', 'r-3'):
            world.nodes[names[1]].quarantine.record_crash(
                _DIGEST, life, RequestPhase.BEGUN, 'c-1'
            )
        await asyncio.sleep(3)
        assert world.nodes[names[0]].quarantine.find_refused(_DIGEST)
        world.store.troubles.update(dict.fromkeys(names, Trouble.SILENT))
        await world.restart(names[:1])
        node = world.nodes[names[0]]
        _delay_refused(node.peer_sync.bootstrap_client)
        for _ in range(100):
            await asyncio.sleep(0.05)
            refused = node.quarantine.find_refused(_DIGEST)
            assert refused or not node.offers('b-1')
        assert node.offers('b-1')
        await world.stop()

    run(play())


@pytest.mark.parametrize('count', [2, 24])
def test_store_that_refuses_at_once(count: int) -> None:
    """Nothing listens at the store; it refuses sooner than a peer tells."""

    async def play() -> None:
        names = _name_nodes(count)
        world = await _start(names, Trouble.RESET)
        world.store.delay = 0.0001
        await world.restart(names[:1])
        await asyncio.sleep(_LEARN_SECONDS)
        assert _serves(world, names[0])
        await world.stop()

    run(play())


def _make_untold() -> Kind:
    """Make a kind that a node does not need."""
    return Kind(
        _UNTOLD,
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
    """The store refuses at once; what no peer tells is asked for in vain."""

    async def play() -> None:
        names = _name_nodes(7)
        world = await _start(names, Trouble.RESET)
        world.untold = _make_untold
        await world.restart(names[:1])
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(10)
        calls = [at for at, _, path in world.store.calls if _UNTOLD in path]
        assert 0 < sum(at > began for at in calls) < 20
        await world.stop()

    run(play())


def test_node_back_in_an_outage_drops_leavers() -> None:
    """The store comes back, and has lost a replica meanwhile."""

    async def play() -> None:
        names = _name_nodes(7)
        world = await _start(names, Trouble.SILENT)
        await world.restart(names[:1])
        await asyncio.sleep(_LEARN_SECONDS)
        world.store.troubles.clear()
        await asyncio.sleep(1)
        world.leave('b-1')
        await asyncio.sleep(world.drain)
        assert not world.nodes[names[0]].offers('b-1')
        await world.stop()

    run(play())


def test_no_bootstrap_without_an_outage() -> None:
    """A calm fleet starts and runs; nothing is asked beyond its watches."""

    async def play() -> None:
        names = _name_nodes(7)
        world = World(4.0, 5.0, refuses=True)
        await world.start(names)
        await world.restart(names[:2])
        await asyncio.sleep(3)
        assert not sum(
            node.count('node-greeted') for node in world.nodes.values()
        )
        await world.stop()

    run(play())
