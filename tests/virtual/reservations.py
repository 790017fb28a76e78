"""Nodes that reserve places from each other, in virtual time."""

import asyncio
import functools
import json
import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import Any

from core_fleet import TYPICAL_MODEL
from fleet.running import make_startup
from ryelatch_core.admission import ReservationRequest, rank_controllers
from ryelatch_core.events import LineLog, UsageTracker
from ryelatch_core.fleet import LayerRange, Replica
from ryelatch_core.kernel import Hub
from ryelatch_core.membership import NodeEntry, compute_departure_bounds
from ryelatch_core.routing import Configuration, ServiceConfiguration
from ryelatch_node.peer_sync import PeerSync
from ryelatch_node.reservations import (
    FleetLoad,
    ReservationClient,
    ZoneControllers,
    ZoneKey,
)
from ryelatch_node.reservations._zone import ZoneAdmission
from ryelatch_node.tasks import Tasks
from ryelatch_node.views import ReplicaView
from virtual.links import LINK_SECONDS, open_pair
from virtual.loop import VirtualClock

KEY = ZoneKey('model', 'zone-a')
PATH = ('m-0',)
MODEL = replace(TYPICAL_MODEL, layers=20)
"""A model that one replica holds."""


@dataclass(eq=False)
class ReservingNode:
    """A node that asks for places and may control a zone."""

    name: str
    peer_sync: PeerSync
    client: ReservationClient
    controllers: ZoneControllers
    replicas: ReplicaView
    tasks: Tasks

    @property
    def zone(self) -> ZoneAdmission:
        """The admission to the zone, as far as this node controls it."""
        return self.controllers.find_zone(KEY)

    @property
    def reserved(self) -> int:
        """Number of reservations that this node knows as a controller."""
        return self.controllers.count_reserved()

    @property
    def waiting(self) -> int:
        """Number of requests that wait at this node as a controller."""
        return self.controllers.count_waiting()

    async def stop(self) -> None:
        """End all connections and tasks of this node."""
        await self.peer_sync.server.stop()
        await self.client.stop()
        await self.tasks.stop()


@dataclass(eq=False)
class ReservingFleet:
    """Nodes that reserve places at one replica.

    :param slots: of the replica.
    :param killed: nodes that refuse connections.
    :param unreachable: nodes to which no connection is established.
    :param paused: nodes that accept connections and neither read nor write.
    :param silent: nodes of which nothing arrives over connections that they
        opened, as if they had lost power.
    :param dialled: the nodes to which connections were opened, in order.
    :param lines: log lines of all nodes.
    """

    slots: int = 1
    nodes: dict[str, ReservingNode] = field(default_factory=dict)
    killed: set[str] = field(default_factory=set)
    unreachable: set[str] = field(default_factory=set)
    paused: set[str] = field(default_factory=set)
    silent: set[str] = field(default_factory=set)
    dialled: list[str] = field(default_factory=list)
    lines: list[dict[str, Any]] = field(default_factory=list)
    _tasks: list['asyncio.Task[None]'] = field(default_factory=list)

    def start(self, count: int) -> list[ReservingNode]:
        """Start nodes that know each other.

        :returns: the nodes; the preferred controller of the zone is first.
        """
        names = [f'node-{number}' for number in range(count)]
        for name in names:
            self.nodes[name] = self._make(name)
        self.update_nodes(names, names)
        ranked = rank_controllers(*KEY, self._list_entries(names))
        return [self.nodes[entry.name] for entry in ranked]

    def update_nodes(self, names: Iterable[str], peers: Iterable[str]) -> None:
        """Set the list of nodes that some nodes have."""
        entries = self._list_entries(peers)
        for name in names:
            self.nodes[name].peer_sync.update_nodes(entries)

    async def kill(self, node: ReservingNode) -> None:
        """End the process of a node, and with it all its connections."""
        self.killed.add(node.name)
        await node.stop()

    def restart(self, node: ReservingNode) -> ReservingNode:
        """Start a killed node anew, without anything it knew."""
        self.nodes[node.name] = self._make(node.name)
        self.update_nodes([node.name], self.nodes)
        self.killed.discard(node.name)
        return self.nodes[node.name]

    def count_lines(self, name: str) -> int:
        """Count the log lines of an event."""
        return sum(line['name'] == name for line in self.lines)

    async def stop(self) -> None:
        """Stop all nodes."""
        for node in self.nodes.values():
            await node.stop()
        for task in self._tasks:
            task.cancel()

    def _list_entries(self, names: Iterable[str]) -> list[NodeEntry]:
        return [NodeEntry(name, KEY.zone, f'{name}:1') for name in names]

    def _make(self, name: str) -> ReservingNode:
        clock = VirtualClock()
        log = LineLog(name, clock, self._write)
        startup = make_startup(1)._replace(name=name)
        dial = functools.partial(self._dial, name)
        peer_sync = PeerSync(log, clock, startup, dial)
        replicas = ReplicaView(
            log, clock, Hub(), compute_departure_bounds(2, 3)
        )
        replicas.replace([make_replica(self.slots)], unanswered=0)
        tasks = Tasks(log, 'reservations')
        controllers = ZoneControllers(
            log,
            clock,
            UsageTracker(),
            _make_configuration(),
            replicas,
            random.Random(1).random,
            tasks,
        )
        peer_sync.server.serve_session = controllers.serve
        client = ReservationClient(
            name, log, clock, peer_sync, controllers, FleetLoad(clock), tasks
        )
        return ReservingNode(
            name, peer_sync, client, controllers, replicas, tasks
        )

    def _write(self, line: bytes) -> int:
        self.lines.append(json.loads(line))
        return len(line)

    async def _dial(self, name: str, host: str, _: int) -> Any:
        self.dialled.append(host)
        if host in self.unreachable:
            await asyncio.Event().wait()
        await asyncio.sleep(LINK_SECONDS)
        if host in self.killed:
            raise ConnectionRefusedError(host)
        near, far = open_pair(
            lambda: host not in self.paused and name not in self.silent
        )
        serving = self.nodes[host].peer_sync.server.serve(*far)
        self._tasks.append(asyncio.create_task(serving))
        return near


def make_replica(slots: int) -> Replica:
    """Make a replica that holds the whole model."""
    layers = LayerRange(0, MODEL.layers)
    return Replica(
        PATH[0], KEY.service, 'm-0:80', KEY.zone, 'a100', layers, 1, slots
    )


def make_request(identity: str, wait: float = 4) -> ReservationRequest:
    """Make a request that may wait for some seconds."""
    now = asyncio.get_running_loop().time()
    return ReservationRequest(
        identity, 0, 'shop', 10, False, now + wait, now + 20, patience=10
    )


def _make_configuration() -> Any:
    service = ServiceConfiguration(KEY.service, '/', 1, MODEL)
    configuration = Configuration(1, services={KEY.service: service})
    return SimpleNamespace(table=SimpleNamespace(configuration=configuration))
