"""The entry of a node while the store comes back from an older copy."""

import asyncio

from fleet.running import make_startup
from ryelatch_core.events import LineLog
from ryelatch_node.peer_sync import PeerSync
from ryelatch_node.ports import Address
from ryelatch_platform._census import COUNT_SECONDS, NODE_KIND, NodeRegistry
from ryelatch_platform._store import StoreClient
from virtual.loop import VirtualClock, run
from virtual.store import VirtualStore


def test_node_registers_again_after_a_return() -> None:
    """A node is not counted by others any more, and gets no requests of peers.

    Its entry was lost as the store came back from an older copy.
    """

    async def play() -> None:
        store = VirtualStore()
        clock = VirtualClock()
        log = LineLog('node-a', clock, len)
        startup = make_startup(1)._replace(name='node-a')
        client = StoreClient(
            Address('store', 1),
            log,
            clock.monotonic,
            lambda: store.open_session('node-a'),  # type: ignore
        )
        peer_sync = PeerSync(log, clock, startup)
        peer_sync.address = Address('node-a', 1)
        registry = NodeRegistry(client, log, startup, peer_sync, lambda _: None)
        await client.start()
        await registry.start()
        await asyncio.sleep(3)
        store.restore(4, 0.6)
        assert store.get(NODE_KIND, 'node-a') is None
        # Another call of this node shows the new era.
        await asyncio.sleep(0.5)
        await client.list_page('config')
        await asyncio.sleep(1)
        assert store.get(NODE_KIND, 'node-a') is not None
        await asyncio.sleep(COUNT_SECONDS)
        lists = sum(NODE_KIND in path for _, _, path in store.calls)
        assert lists <= 10
        await registry.stop()
        await client.stop()

    run(play())
