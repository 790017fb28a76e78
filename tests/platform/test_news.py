"""Nodes that learn from each other what the store says."""

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
from ryelatch_node.views import ConfigurationView, ReplicaView
from ryelatch_node.peer_sync import PeerSync
from ryelatch_platform._main import build_app
from ryelatch_platform._store import StoreFailure
from virtual.loop import run
from virtual.world import World


@contextlib.asynccontextmanager
async def _run_second(
    node: RunningNode,
) -> AsyncIterator[tuple[App, list[dict[str, Any]]]]:
    """Start a second node that learns from the first one."""
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
        _introduce(node, app)
        yield app, lines
    finally:
        await app.stop()


def _introduce(node: RunningNode, app: App) -> None:
    """Let both know the first one, which watches for others."""
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
    # The first watch, before the peer is known, is not to last for long.
    monkeypatch.setattr('ryelatch_platform._kinds.REGISTRY_WAIT', 0.5)


async def test_followers_make_no_calls() -> None:
    """Two nodes, one of which watches for both."""
    async with run_node(make_non_model_replicas(2)) as node, _run_second(node) as (app, _):
        await asyncio.sleep(2.5)
        before = _count_watches(node, 'servers')
        await asyncio.sleep(3)
        # One watch of 0.5 s at a time; two nodes would make twice as many.
        assert _count_watches(node, 'servers') - before <= 8
        assert app.find('configuration', ConfigurationView).age <= 2


async def test_changes_reach_followers() -> None:
    """A key goes and a replica leaves; the follower hears of both."""
    async with run_node(make_non_model_replicas(2)) as node, _run_second(node) as (app, _):
        await asyncio.sleep(2.5)
        node.store.put('config', 'main', make_configuration(7, tenants=[]))
        node.store.drop('servers', 'b-0')
        configuration = app.find('configuration', ConfigurationView)
        replicas = app.find('replicas', ReplicaView)
        await wait_until(lambda: configuration.version == 7, 2)
        await wait_until(lambda: len(replicas.replicas) == 1, 2)


async def test_lost_watcher_is_abandoned() -> None:
    """The node that watches for others is killed; the follower watches."""
    async with (
        run_node(make_non_model_replicas(2)) as node,
        _run_second(node) as (app, found),
    ):
        await asyncio.sleep(2.5)
        await node.app.find('news', PeerSync).stop()
        node.store.drop('servers', 'b-0')
        replicas = app.find('replicas', ReplicaView)
        await wait_until(lambda: len(replicas.replicas) == 1, 3)
        assert any(line['name'] == 'watcher-left' for line in found)


async def test_watcher_without_the_store_is_abandoned(monkeypatch: pytest.MonkeyPatch) -> None:
    """The watcher is cut off from the store and goes on to answer.

    A replica that left would get work from its followers, and a key that was
    taken away be accepted.
    """
    async with (
        run_node(make_non_model_replicas(2)) as node,
        _run_second(node) as (app, found),
    ):
        await asyncio.sleep(2.5)
        store = node.app.find('store', object)

        async def hang(*_: Any, **given: Any) -> None:
            await asyncio.Event().wait()

        monkeypatch.setattr(store, '_call', hang)
        await asyncio.sleep(0.9)
        node.store.drop('servers', 'b-0')
        replicas = app.find('replicas', ReplicaView)
        await wait_until(lambda: len(replicas.replicas) == 1, 3)
        # The follower has asked the store itself by now, as the age of its
        # list demands, and leaves the peer at the next question.
        await wait_until(
            lambda: any(
                line['name'] == 'watcher-left' and line['reason'] == 'behind'
                for line in found
            ),
            3,
        )


async def test_node_cut_off_asks_its_peers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store turns one node away, and serves the other.

    Its callers were refused after 3.7 s, as their keys were unconfirmed, and
    also where a configuration changed meanwhile that is too large to be
    passed on to those who can read it themselves.
    """
    async with run_node(make_non_model_replicas(2)) as node, _run_second(node) as (app, _):
        monkeypatch.setattr(
            'ryelatch_core.membership._watchers.MIN_SHARING_NODES', 20
        )
        store = app.find('store', object)

        async def fail(*_: Any, **given: Any) -> Any:
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
    """Something that is no peer connects."""
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
    """Nodes start together, and the first one's count misses the others.

    It watches as for itself alone. The others know it for the one that
    watches for them; they took what it told for too old, left it every two
    seconds and asked the store, all of them at the same moment.
    """

    async def play() -> None:
        world = World(4.0, 5.0)
        await world.start([f'node-{number}' for number in range(4)])
        world.nodes['node-0'].peer_sync.update_nodes([])
        await asyncio.sleep(2)
        before = len(world.store.calls)
        await asyncio.sleep(20)
        left = [node.count('watcher-left') for node in world.nodes.values()]
        assert left == [0, 0, 0, 0]
        # Two kinds of object, a watch of one second each, and one to spare.
        assert len(world.store.calls) - before <= 2 * 20 * 1.1
        await world.stop()

    run(play())
