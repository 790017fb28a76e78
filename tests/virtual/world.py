"""A simulated fleet whose nodes follow a stand-in store, in virtual time."""

import asyncio
import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

from fleet.running import NON_MODEL_SERVICE, make_configuration, make_startup
from ryelatch_core.events import LineLog
from ryelatch_core.kernel import Hub
from ryelatch_core.membership import NodeEntry, compute_departure_bounds
from ryelatch_core.quarantine import CrashTracker
from ryelatch_node.peer_sync import PeerSync
from ryelatch_node.ports import Address
from ryelatch_node.quarantine import Quarantine
from ryelatch_node.views import ConfigurationView, ReplicaView
from ryelatch_platform._follow import Follower
from ryelatch_platform._kinds import (
    Kind,
    follow_configuration,
    follow_quarantine,
    follow_registry,
)
from ryelatch_platform._quarantine import make_quarantine_store
from ryelatch_platform._store import StoreClient
from ryelatch_platform._watch_timing import FLEET_START_SECONDS
from virtual.links import LINK_SECONDS, open_pair
from virtual.loop import VirtualClock
from virtual.store import VirtualStore

HOUSEKEEPING_SECONDS = 0.5
"""How often a node drops expired entries, as the relay's housekeeper does."""


@dataclass(eq=False)
class VirtualNode:
    """The parts of a node that follow the store.

    :param lines: log lines of the node.
    """

    name: str
    view: ReplicaView
    configuration: ConfigurationView
    peer_sync: PeerSync
    store: StoreClient
    follower: Follower
    quarantine: Quarantine
    lines: list[dict[str, Any]]
    tasks: list['asyncio.Task[None]'] = field(default_factory=list)

    async def start(self) -> None:
        """Start following the store and dropping expired entries."""
        await self.store.start()
        await self.quarantine.start()
        self.peer_sync.start_bootstrapper()
        await self.follower.start()
        self.tasks.append(asyncio.create_task(self._housekeep()))

    async def stop(self) -> None:
        """Stop the node."""
        await self.follower.stop()
        await self.quarantine.stop()
        await self.peer_sync.stop()
        for task in self.tasks:
            task.cancel()
        await self.store.stop()

    def offers(self, name: str) -> bool:
        """Return whether the node may send a request to a replica now."""
        return any(
            replica.name == name
            for replica in self.view.list_service(NON_MODEL_SERVICE)
        )

    def count(self, event: str) -> int:
        """Count the log lines of an event kind."""
        return sum(line['name'] == event for line in self.lines)

    async def _housekeep(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_SECONDS)
            self.view.drop_expired()
            self.quarantine.evaluate()


@dataclass(eq=False)
class World:
    """A simulated fleet: a store and the nodes that follow it.

    :param drain: seconds for which a replica that has left may get requests.
    :param steady: seconds without faults after which nodes must meet
        ``drain``.
    :param unreachable: nodes whose links to other nodes transmit nothing.
    :param zones: zones of the nodes that are not in ``zone-a``.
    :param links: bandwidth of nodes' links, in Mbit/s; about the same for all
        others.
    :param follows_quarantine: whether the nodes follow the quarantine, too.
    :param make_unshared_kind: creates another kind of object that the nodes
        follow, and that no peer announces.
    """

    drain: float = 2.0
    steady: float = 3.0
    store: VirtualStore = field(default_factory=VirtualStore)
    nodes: dict[str, VirtualNode] = field(default_factory=dict)
    unreachable: set[str] = field(default_factory=set)
    zones: dict[str, str] = field(default_factory=dict)
    links: dict[str, float] = field(default_factory=dict)
    follows_quarantine: bool = False
    make_unshared_kind: Callable[[], Kind] | None = None

    async def start(self, names: Iterable[str], replicas: int = 4) -> None:
        """Start nodes that have each other in their lists of nodes.

        Returns when their first watches are established.
        """
        self.store.put('config', 'main', make_configuration())
        for number in range(replicas):
            self.register(f'b-{number}')
        for name in names:
            self.nodes[name] = self._make(name)
        entries = self._list_entries()
        for node in self.nodes.values():
            node.peer_sync.update_nodes(entries)
            await node.start()
        await asyncio.sleep(FLEET_START_SECONDS + 1)

    async def stop(self) -> None:
        """Stop all nodes."""
        for node in self.nodes.values():
            await node.stop()

    async def restart(
        self, names: Iterable[str], *, counted: bool = False
    ) -> None:
        """Stop nodes and start all of them again with an empty state.

        :param counted: whether they know the other nodes from the start.
        """
        for name in names:
            await self.nodes[name].stop()
            self.nodes[name] = self._make(name)
        for name in names:
            if counted:
                self.nodes[name].peer_sync.update_nodes(self._list_entries())
            await self.nodes[name].start()

    def register(self, name: str, state: str = 'ready') -> None:
        """Write the entry of a replica into the registry."""
        self.store.put('servers', name, make_entry(name, state))

    def deregister(self, name: str) -> None:
        """Delete the entry of a replica that has left."""
        self.store.drop('servers', name)

    def _list_entries(self) -> list[NodeEntry]:
        return [
            NodeEntry(
                name,
                self._find_zone(name),
                f'{name}:1',
                self.links.get(name, 1000 - order),
            )
            for order, name in enumerate(self.nodes)
        ]

    def _find_zone(self, name: str) -> str:
        return self.zones.get(name, 'zone-a')

    def _make(self, name: str) -> VirtualNode:
        clock = VirtualClock()
        lines: list[dict[str, Any]] = []

        def write(line: bytes) -> int:
            lines.append(json.loads(line))
            return len(line)

        log = LineLog(name, clock, write)
        startup = make_startup(1)._replace(
            name=name,
            zone=self._find_zone(name),
            link_mbps=self.links.get(name, 1000),
        )
        bounds = compute_departure_bounds(self.drain, self.steady)
        view = ReplicaView(log, clock, Hub(), bounds)
        configuration = ConfigurationView(log, clock, startup.revoke_seconds)
        store = StoreClient(
            startup.store,
            log,
            clock.monotonic,
            lambda: self.store.open_session(name),  # type: ignore
        )
        peer_sync = PeerSync(log, clock, startup, self._dial(name))
        peer_sync.address = Address(name, 1)
        jitter = crc32(name.encode()) % 100 / 100
        quarantine = Quarantine(
            log, clock, make_quarantine_store(store, log), CrashTracker(jitter)
        )
        kinds = [
            follow_configuration(log, configuration),
            follow_registry(log, view),
        ]
        if self.follows_quarantine:
            kinds.append(follow_quarantine(log, quarantine))
        if self.make_unshared_kind:
            kinds.append(self.make_unshared_kind())
        follower = Follower(store, peer_sync, log, clock, tuple(kinds))
        return VirtualNode(
            name,
            view,
            configuration,
            peer_sync,
            store,
            follower,
            quarantine,
            lines,
        )

    def _dial(self, caller: str) -> Any:
        async def dial(host: str, port: int) -> Any:
            peer = self.nodes[host]
            if self.unreachable & {caller, host}:
                await asyncio.Event().wait()
            await asyncio.sleep(LINK_SECONDS)
            near, far = open_pair(lambda: not self.unreachable & {caller, host})
            serving = peer.peer_sync.server.serve(*far)
            peer.tasks.append(asyncio.create_task(serving))
            return near

        return dial


def make_entry(name: str, state: str = 'ready') -> dict[str, Any]:
    """Make the content of a replica's entry in the registry."""
    return {
        'service': NON_MODEL_SERVICE,
        'addr': f'10.0.0.{1 + crc32(name.encode()) % 200}:8000',
        'zone': 'zone-a',
        'version': '1',
        'slots': 6,
        'state': state,
        'coldRemainingMs': 0,
        'seq': 1,
    }
