"""Nodes that follow the registry of a stand-in store, in virtual time."""

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
from ryelatch_node.views import ConfigurationView, ReplicaView
from ryelatch_node.peer_sync import PeerSync
from ryelatch_node.ports import Address
from ryelatch_node.quarantine import Quarantine
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
"""How often a node drops what is due; see the relay's housekeeper."""


@dataclass(eq=False)
class VirtualNode:
    """A node, as far as it follows the store."""

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
        """Start to follow, and to drop what is due."""
        await self.store.start()
        await self.quarantine.start()
        self.peer_sync.start_bootstrapper()
        await self.follower.start()
        self.tasks.append(asyncio.create_task(self._keep_house()))

    async def stop(self) -> None:
        """Stop all."""
        await self.follower.stop()
        await self.quarantine.stop()
        await self.peer_sync.stop()
        for task in self.tasks:
            task.cancel()
        await self.store.stop()

    def offers(self, name: str) -> bool:
        """Whether a replica may get a request now."""
        return any(
            one.name == name for one in self.view.list_service(NON_MODEL_SERVICE)
        )

    def count(self, event: str) -> int:
        """Count the lines of an event."""
        return sum(line['name'] == event for line in self.lines)

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_SECONDS)
            self.view.drop_expired()
            self.quarantine.evaluate()


@dataclass(eq=False)
class World:
    """A store and the nodes that follow it.

    :param drain: seconds for which a replica that has left may get requests.
    :param steady: seconds without trouble after which nodes are held to it.
    :param dark: nodes whose links to other nodes carry nothing.
    :param zones: of nodes that are not in ``zone-a``.
    :param refuses: whether the nodes follow what is refused, too.
    :param untold: makes a kind that they follow, and that no peer tells.
    """

    drain: float = 2.0
    steady: float = 3.0
    store: VirtualStore = field(default_factory=VirtualStore)
    nodes: dict[str, VirtualNode] = field(default_factory=dict)
    dark: set[str] = field(default_factory=set)
    zones: dict[str, str] = field(default_factory=dict)
    refuses: bool = False
    untold: Callable[[], Kind] | None = None

    async def start(self, names: Iterable[str], replicas: int = 4) -> None:
        """Start nodes that know each other, and let them settle."""
        self.store.put('config', 'main', make_configuration())
        for number in range(replicas):
            self.register(f'b-{number}')
        for name in names:
            self.nodes[name] = self._make(name)
        entries = [
            NodeEntry(name, self._find_zone(name), f'{name}:1', 1000 - order)
            for order, name in enumerate(self.nodes)
        ]
        for node in self.nodes.values():
            node.peer_sync.update_nodes(entries)
            await node.start()
        await asyncio.sleep(FLEET_START_SECONDS + 1)

    async def stop(self) -> None:
        """Stop all nodes."""
        for node in self.nodes.values():
            await node.stop()

    async def restart(self, names: Iterable[str]) -> None:
        """Let nodes end, and start again knowing nothing, all at once."""
        for name in names:
            await self.nodes[name].stop()
            self.nodes[name] = self._make(name)
        for name in names:
            await self.nodes[name].start()

    def register(self, name: str, state: str = 'ready') -> None:
        """Write a replica's entry."""
        spec = {
            'service': NON_MODEL_SERVICE,
            'addr': f'10.0.0.{1 + crc32(name.encode()) % 200}:8000',
            'zone': 'zone-a',
            'version': '1',
            'slots': 6,
            'state': state,
            'coldRemainingMs': 0,
            'seq': 1,
        }
        self.store.put('servers', name, spec)

    def leave(self, name: str) -> None:
        """Let the store accept that a replica is gone."""
        self.store.drop('servers', name)

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
            name=name, zone=self._find_zone(name)
        )
        terms = compute_departure_bounds(self.drain, self.steady)
        view = ReplicaView(log, clock, Hub(), terms)
        configuration = ConfigurationView(log, clock, startup.revoke_seconds)
        store = StoreClient(
            startup.store,
            log,
            clock.monotonic,
            lambda: self.store.open_session(name),  # type: ignore
        )
        peer_sync = PeerSync(log, clock, startup, self._dial(name))
        peer_sync.address = Address(name, 1)
        patience = crc32(name.encode()) % 100 / 100
        quarantine = Quarantine(
            log, clock, make_quarantine_store(store), CrashTracker(patience)
        )
        kinds = [
            follow_configuration(log, configuration),
            follow_registry(log, view),
        ]
        if self.refuses:
            kinds.append(follow_quarantine(log, quarantine))
        if self.untold:
            kinds.append(self.untold())
        follower = Follower(store, peer_sync, log, clock, tuple(kinds))
        return VirtualNode(
            name, view, configuration, peer_sync, store, follower, quarantine, lines
        )

    def _dial(self, caller: str) -> Any:
        async def dial(host: str, port: int) -> Any:
            peer = self.nodes[host]
            if self.dark & {caller, host}:
                await asyncio.Event().wait()
            await asyncio.sleep(LINK_SECONDS)
            near, far = open_pair(lambda: not self.dark & {caller, host})
            serving = peer.peer_sync.server.serve(*far)
            peer.tasks.append(asyncio.create_task(serving))
            return near

        return dial
