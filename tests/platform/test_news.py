"""Nodes that announce the store's changes to each other."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

import pytest
from result import Err

from fleet.running import (
    RunningNode,
    make_configuration,
    make_non_model_replicas,
    run_node,
    wait_until,
)
from ryelatch_core.events import LineLog
from ryelatch_core.kernel import App, BootClock
from ryelatch_core.membership import NodeEntry
from ryelatch_node.peer_sync import PeerSync
from ryelatch_node.views import ConfigurationView, ReplicaView
from ryelatch_platform._main import build_app
from ryelatch_platform._store import StoreFailure
from virtual.loop import run
from virtual.world import World


@contextlib.asynccontextmanager
async def _run_second(
    node: RunningNode,
) -> AsyncIterator[tuple[App, list[dict[str, Any]]]]:
    """Start a second node that follows the first one.

    :returns: its application and its log lines.
    """
    lines: list[dict[str, Any]] = []

    def write(line: bytes) -> int:
        lines.append(json.loads(line))
        return len(line)

    clock = BootClock()
    log = LineLog('node-b', clock, write)
    app = build_app(node.startup._replace(name='node-b'), log, clock)
    await app.start()
    try:
        await wait_until(
            lambda: app.find('configuration', ConfigurationView).version
        )
        _announce_first(node, app)
        yield app, lines
    finally:
        await app.stop()


def _announce_first(node: RunningNode, app: App) -> None:
    """Make the first node, which watches for others, known to both."""
    address = node.app.find('news', PeerSync).address
    first = NodeEntry(
        'node-a', 'zone-a', f'{address.host}:{address.port}', 1000
    )
    for each in (node.app, app):
        each.find('news', PeerSync).update_nodes([first])


def _count_watches(node: RunningNode, kind: str) -> int:
    return sum(f'/{kind}?watch' in call for call in node.store.calls)


@pytest.fixture(autouse=True)
def _share(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        'ryelatch_core.membership._watchers.MIN_SHARING_NODES', 1
    )
    # Keeps the first watch short, which is sent before the peer is known.
    monkeypatch.setattr('ryelatch_platform._kinds.REGISTRY_WAIT', 0.5)


async def test_followers_make_no_calls() -> None:
    """A node calls the store although another one watches for both."""
    async with run_node(make_non_model_replicas(2)) as node, _run_second(node) as (app, _):
        await asyncio.sleep(2.5)
        before = _count_watches(node, 'servers')
        await asyncio.sleep(3)
        # One watch of 0.5 s at a time; two nodes would make twice as many.
        assert _count_watches(node, 'servers') - before <= 8
        assert app.find('configuration', ConfigurationView).age <= 2


async def test_changes_reach_followers() -> None:
    """A follower misses a revoked key or a replica that left."""
    async with run_node(make_non_model_replicas(2)) as node, _run_second(node) as (app, _):
        await asyncio.sleep(2.5)
        node.store.put('config', 'main', make_configuration(7, tenants=[]))
        node.store.drop('servers', 'b-0')
        configuration = app.find('configuration', ConfigurationView)
        replicas = app.find('replicas', ReplicaView)
        await wait_until(lambda: configuration.version == 7, 2)
        await wait_until(lambda: len(replicas.replicas) == 1, 2)


async def test_lost_watcher_is_abandoned() -> None:
    """A follower waits for a watcher that was killed.

    It has to watch the store itself.
    """
    async with (
        run_node(make_non_model_replicas(2)) as node,
        _run_second(node) as (app, lines),
    ):
        await asyncio.sleep(2.5)
        await node.app.find('news', PeerSync).stop()
        node.store.drop('servers', 'b-0')
        replicas = app.find('replicas', ReplicaView)
        await wait_until(lambda: len(replicas.replicas) == 1, 3)
        assert any(line['name'] == 'watcher-left' for line in lines)


async def test_watcher_without_the_store_is_abandoned(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Followers rely on a watcher that is cut off from the store.

    The watcher still responds. Its followers would send requests to a replica
    that has left, and accept a revoked key.
    """
    async with (
        run_node(make_non_model_replicas(2)) as node,
        _run_second(node) as (app, lines),
    ):
        await asyncio.sleep(2.5)
        store = node.app.find('store', object)

        async def hang(*_: Any, **options: Any) -> None:
            await asyncio.Event().wait()

        monkeypatch.setattr(store, '_call', hang)
        await asyncio.sleep(0.9)
        node.store.drop('servers', 'b-0')
        replicas = app.find('replicas', ReplicaView)
        await wait_until(lambda: len(replicas.replicas) == 1, 3)
        # By now the follower's list is so old that it has called the store
        # itself; it abandons the peer at its next request.
        await wait_until(
            lambda: any(
                line['name'] == 'watcher-left' and line['reason'] == 'behind'
                for line in lines
            ),
            3,
        )


async def test_node_cut_off_asks_its_peers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A node that the store rejects refuses clients although a peer could help.

    It refused them after 3.7 s, as their keys were unconfirmed. Peers must also
    pass on a changed configuration that is so large that they don't send it
    to nodes that can read it themselves.
    """
    async with run_node(make_non_model_replicas(2)) as node, _run_second(node) as (app, _):
        monkeypatch.setattr(
            'ryelatch_core.membership._watchers.MIN_SHARING_NODES', 20
        )
        store = app.find('store', object)

        async def fail(*_: Any, **options: Any) -> Any:
            store.availability.record_unavailable('cut off', 0)  # type: ignore[attr-defined]
            return Err(StoreFailure.UNAVAILABLE)

        monkeypatch.setattr(store, '_call', fail)
        configuration = app.find('configuration', ConfigurationView)
        accounts = [
            {'name': f'ward-{number}', 'apiKeys': [f'key-{number}']}
            for number in range(200)
        ]
        for step in range(18):
            await asyncio.sleep(0.5)
            assert configuration.allows_keys()
            if step == 6:
                node.store.put(
                    'config', 'main', make_configuration(9, tenants=accounts)
                )
        assert configuration.version == 9


async def test_bad_frames_end_a_connection_only() -> None:
    """Malformed frames on one connection disturb the node beyond it."""
    async with run_node(make_non_model_replicas(1)) as node, _run_second(node) as (app, _):
        address = node.app.find('news', PeerSync).address
        for junk in (b'GET / HTTP/1.1\r\n\r\n', b'\0\0\0\1x', b'\xff' * 9):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(junk)
            assert await reader.read() == b''
            writer.close()
        await asyncio.sleep(1)
        assert app.find('configuration', ConfigurationView).age <= 3


def test_node_that_is_asked_watches() -> None:
    """All followers call the store every two seconds, at the same moment.

    Nodes start together, and the first one doesn't have the others in its
    list, so it watches only for itself. The others follow it. They abandoned
    it each time, as its responses were too old for them.
    """

    async def play() -> None:
        world = World(4.0, 5.0)
        await world.start([f'node-{number}' for number in range(4)])
        world.nodes['node-0'].peer_sync.update_nodes([])
        await asyncio.sleep(2)
        before = len(world.store.calls)
        await asyncio.sleep(20)
        abandoned = [
            node.count('watcher-left') for node in world.nodes.values()
        ]
        assert abandoned == [0, 0, 0, 0]
        # Two kinds of object with watches of one second, and a tenth more.
        assert len(world.store.calls) - before <= 2 * 20 * 1.1
        await world.stop()

    run(play())
