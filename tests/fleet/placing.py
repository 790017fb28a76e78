"""Runs placement controllers of nodes over a stand-in for the platform."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import msgspec

from fleet.running import make_configuration
from ryelatch_core.eras import StoreRevision
from ryelatch_core.events import LineLog
from ryelatch_core.fleet import LayerRange, Replica
from ryelatch_core.kernel import BootClock, Hub
from ryelatch_core.membership import NEVER, Lease, compute_departure_bounds
from ryelatch_node.placement import LeaseManager, PlacementController
from ryelatch_node.ports import (
    CommandResult,
    LeaseRecord,
    LeaseStore,
    ReplicaCommands,
    Report,
)
from ryelatch_node.views import ConfigurationView, ReplicaView
from ryelatch_platform._responses import Metadata, StoredObject
from ryelatch_platform._translate import translate_configuration

_MODEL = 'model'


@dataclasses.dataclass
class FakePlatform:
    """The platform that all nodes of a test share.

    :param load_seconds: time until a replica has loaded its layers.
    :param result: the result that replicas return for commands.
    :param record: the placement lease.
    :param commands: node, replica and fencing number of each command.
    :param lose_writes: whether writes of the lease get no response.
    """

    load_seconds: float = 0.5
    result: CommandResult = CommandResult.BEGUN
    record: LeaseRecord = dataclasses.field(
        default_factory=lambda: LeaseRecord(None, StoreRevision(1, 0))
    )
    commands: list[tuple[str, str, int]] = dataclasses.field(
        default_factory=list
    )
    controllers: list[PlacementController] = dataclasses.field(
        default_factory=list
    )
    lose_writes: bool = False

    async def write(
        self, lease: Lease, revision: StoreRevision | None
    ) -> LeaseRecord | None:
        """Write the lease if its revision matches, and notify all nodes.

        :returns: the stored lease; ``None`` if the write is lost.
        """
        if self.lose_writes:
            return None
        if revision != self.record.expected:
            return self.record
        at = self.record.revision
        self.record = LeaseRecord(
            lease, StoreRevision(at.era, at.number + 1), revision
        )
        for controller in self.controllers:
            controller.lease.apply_record(self.record)
        return self.record

    def add_node(self, name: str, base_jitter: float) -> PlacementController:
        """Add the placement controller of one more node.

        :param base_jitter: seconds by which the node delays taking the lease
            from another.
        """
        clock = BootClock()
        log = LineLog(name, clock, len)
        configuration = ConfigurationView(log, clock, 5)
        raw = _encode(make_configuration())
        configuration.offer(translate_configuration(raw), clock.monotonic())
        view = ReplicaView(log, clock, Hub(), compute_departure_bounds(2, 3))
        commands = ReplicaCommands(
            place=self._make_place(name),
            move=_fail,
            read_report=_read_report,
            reach=_fail,
            hold_connection=_fail,
            confirm=_fail,
        )
        controller = PlacementController(
            log=log,
            clock=clock,
            configuration=configuration,
            replicas=view,
            commands=commands,
            lease=LeaseManager(
                log, clock, LeaseStore(self.write), base_jitter, name
            ),
        )
        controller.lease.apply_record(self.record)
        self.controllers.append(controller)
        return controller

    def list_replicas(self, replicas: list[Replica]) -> None:
        """Send the complete list of replicas to all nodes."""
        for controller in self.controllers:
            controller.replicas.replace(replicas, unanswered=NEVER)
            controller.wake(None)  # type: ignore[arg-type]

    def _make_place(self, name: str) -> Callable[..., Any]:
        async def place(
            replica: Replica, layers: LayerRange, fence: int, sequence: int
        ) -> CommandResult:
            self.commands.append((name, replica.name, fence))
            if self.result is CommandResult.BEGUN:
                loaded = dataclasses.replace(replica, layers=layers)
                loop = asyncio.get_running_loop()
                loop.call_later(self.load_seconds, self._update, loaded)
            return self.result

        return place

    def _update(self, replica: Replica) -> None:
        for controller in self.controllers:
            controller.replicas.put(replica)


def _encode(configuration: dict[str, Any]) -> StoredObject:
    raw = msgspec.Raw(msgspec.json.encode(configuration))
    return StoredObject(Metadata('main', 1), raw)


async def _fail(*_: object) -> Any:
    raise NotImplementedError


async def _read_report(_: Replica) -> Report:
    return Report(sequence=3, busy=True, used=0, stalled={})


def make_replica(name: str, layers: LayerRange | None) -> Replica:
    return Replica(name, _MODEL, f'{name}:80', 'zone-a', 'big', layers, 1)


@asynccontextmanager
async def run_nodes(platform: FakePlatform, count: int) -> AsyncIterator[None]:
    """Run the placement controllers of nodes, each with its own jitter."""
    for number in range(count):
        platform.add_node(f'node-{number}', base_jitter=0.1 + number * 0.1)
    for controller in platform.controllers:
        await controller.start()
    try:
        yield
    finally:
        for controller in platform.controllers:
            await controller.stop()
