"""The placement lease while the store comes back from an older copy."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from fleet.running import make_startup
from ryelatch_core.eras import StoreRevision
from ryelatch_core.events import LineLog
from ryelatch_core.membership import Lease
from ryelatch_node.peer_sync import PeerSync
from ryelatch_node.placement._lease import (
    CLAIM_COOLDOWN_SECONDS,
    RENEWED_TAKEOVER_SECONDS,
    LeaseManager,
)
from ryelatch_node.ports import Address, LeaseRecord
from ryelatch_platform._follow import Follower
from ryelatch_platform._kinds import follow_leases
from ryelatch_platform._leases import LEASE_KIND, LEASE_NAME, make_leases
from ryelatch_platform._store import StoreClient
from virtual.loop import VirtualClock, run
from virtual.store import VirtualStore

_PASSED_SECONDS = 60.0
"""Age of a need for work, for which each node's turn has come."""


@dataclass
class _Node:
    """What a node needs to take the lease.

    :param store: the store that it shares with others.
    """

    name: str
    store: VirtualStore
    manager: LeaseManager = field(init=False)
    client: StoreClient = field(init=False)
    follower: Follower = field(init=False)

    def __post_init__(self) -> None:
        clock = VirtualClock()
        log = LineLog(self.name, clock, len)
        startup = make_startup(1)._replace(name=self.name)
        self.client = StoreClient(
            Address('store', 1),
            log,
            clock.monotonic,
            lambda: self.store.open_session(self.name),  # type: ignore
        )
        self.manager = LeaseManager(
            log, clock, make_leases(self.client), 0, self.name
        )
        self.follower = Follower(
            self.client,
            PeerSync(log, clock, startup),
            log,
            clock,
            (follow_leases(log, self.manager),),
        )

    async def start(self) -> None:
        """Follow the lease."""
        await self.client.start()
        await self.follower.start()

    async def stop(self) -> None:
        """Stop following."""
        await self.follower.stop()
        await self.client.stop()

    async def acquire(self) -> bool:
        """Take or renew the lease for work that has been due for long."""
        now = asyncio.get_running_loop().time()
        return await self.manager.acquire(now, now - _PASSED_SECONDS)


def _play(
    check: Callable[[VirtualStore, list[_Node]], Awaitable[None]],
) -> None:
    """Run two nodes that follow the lease, in virtual time."""

    async def play() -> None:
        store = VirtualStore()
        nodes = [_Node('node-a', store), _Node('node-b', store)]
        for node in nodes:
            await node.start()
        await asyncio.sleep(1)
        try:
            await check(store, nodes)
        finally:
            for node in nodes:
                await node.stop()

    run(play())


def test_lease_that_is_gone_is_created_again() -> None:
    """No node can take the lease once its object is gone.

    Each claim replaces an object that the store doesn't have.
    """

    async def check(store: VirtualStore, nodes: list[_Node]) -> None:
        assert await nodes[0].acquire()
        await asyncio.sleep(1)
        store.drop(LEASE_KIND, LEASE_NAME)
        await asyncio.sleep(RENEWED_TAKEOVER_SECONDS + 1)
        await nodes[1].acquire()
        await asyncio.sleep(CLAIM_COOLDOWN_SECONDS + 0.1)
        assert await nodes[1].acquire()
        fence = nodes[1].manager.fence
        assert fence is not None
        assert fence > 1

    _play(check)


def test_number_is_not_given_out_twice() -> None:
    """Two nodes send commands under the same fencing number.

    The lease of the first one was lost with the copy, and the second one had
    not heard of it.
    """

    async def check(store: VirtualStore, nodes: list[_Node]) -> None:
        await asyncio.sleep(5)
        late = _Node('node-c', store)
        assert await nodes[0].acquire()
        first = nodes[0].manager.fence
        assert first is not None
        store.restore(4, 0.6)
        await late.start()
        await asyncio.sleep(1)
        assert await late.acquire()
        second = late.manager.fence
        assert second is not None
        assert second > first
        await asyncio.sleep(1)
        assert not nodes[0].manager.held
        await late.stop()

    _play(check)


def test_holder_renews_under_a_new_number() -> None:
    """A holder goes on under a number of the era before.

    The number may have been given to another node in the seconds that the
    store has lost.
    """

    async def check(store: VirtualStore, nodes: list[_Node]) -> None:
        assert await nodes[0].acquire()
        first = nodes[0].manager.fence
        assert first is not None
        await asyncio.sleep(5)
        store.restore(4, 0.6)
        # Any call shows the new era; the watch of leases waits for long.
        await nodes[0].client.list_page('config')
        await asyncio.sleep(0.5)
        assert not nodes[0].manager.held
        assert await nodes[0].acquire()
        second = nodes[0].manager.fence
        assert second is not None
        assert second > first

    _play(check)


def test_lost_renewals_delay_no_takeover() -> None:
    """A new era is taken for a renewal, and a lost holder is not replaced."""

    async def check(store: VirtualStore, nodes: list[_Node]) -> None:
        assert await nodes[0].acquire()
        await nodes[0].stop()
        await asyncio.sleep(5)
        store.restore(4, 0.6)
        await nodes[1].client.list_page('config')
        await asyncio.sleep(0.5)
        now = asyncio.get_running_loop().time()
        assert await nodes[1].manager.acquire(now, now - 1)

    _play(check)


def test_record_of_the_era_before_is_ignored() -> None:
    """A late record of the era before replaces that of the new one."""

    async def check(_: VirtualStore, nodes: list[_Node]) -> None:
        manager = nodes[0].manager
        manager.apply_record(
            LeaseRecord(Lease('node-b', 1_000_001), StoreRevision(2, 3))
        )
        manager.apply_record(
            LeaseRecord(Lease('node-a', 7), StoreRevision(1, 900))
        )
        assert not manager.held

    _play(check)
