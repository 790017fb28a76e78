"""Serves the sessions of nodes with the zones that this node controls."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from ryelatch_core.admission import AdmissionController, measure_capacities
from ryelatch_core.events import LineLog, UsageTracker, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_node.peer_sync import SessionRequest, encode
from ryelatch_node.reservations._frames import AnyFrame, AnyReply
from ryelatch_node.reservations._heartbeats import read_message
from ryelatch_node.reservations._zone import (
    ZoneAdmission,
    ZoneCapacity,
    ZoneSession,
)
from ryelatch_node.tasks import Tasks
from ryelatch_node.views import ConfigurationView, ReplicaView


class ZoneKey(NamedTuple):
    """A service and an availability zone of its replicas."""

    service: str
    zone: str


@dataclass(eq=False)
class ZoneControllers:
    """The zones that this node controls, whoever chose it for them.

    Nodes choose the controller of a zone by their list of nodes. This node
    serves whoever asks, so lists that differ for a while do no harm.

    :param sample: returns random numbers from 0 to 1.
    """

    log: LineLog
    clock: Clock
    usage: UsageTracker
    configuration: ConfigurationView
    replicas: ReplicaView
    sample: Callable[[], float]
    tasks: Tasks
    _zones: dict[ZoneKey, ZoneAdmission] = field(default_factory=dict)

    def find_zone(self, key: ZoneKey) -> ZoneAdmission:
        """Find the admission of a zone, or create it."""
        if key not in self._zones:
            self._zones[key] = ZoneAdmission(
                self.clock,
                self.usage,
                AdmissionController(self.sample),
                lambda: self._measure(key),
                self.tasks,
            )
        return self._zones[key]

    def close(self, key: ZoneKey, session: ZoneSession) -> None:
        """End a session, and forget a zone without sessions."""
        zone = self._zones.get(key)
        if zone is None:
            return
        zone.close(session)
        if zone.idle:
            del self._zones[key]

    async def serve(
        self,
        request: SessionRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve the session of another node until its connection ends.

        :raises OSError: if the connection is lost, or the node holds places and
            is silent for several heartbeats.
        :raises EOFError: if the node closes it.
        :raises ValueError: if what it sends is not a message.
        """
        key = ZoneKey(request.service, request.zone)

        def reply(message: AnyReply) -> None:
            writer.write(encode(message))

        session = self.find_zone(key).open(reply)

        def holds_places() -> bool:
            return bool(session.identities)

        try:
            while True:
                body = await read_message(
                    self.clock, reader, request.heartbeat, holds_places
                )
                frame = msgspec.msgpack.decode(body, type=AnyFrame)
                self.find_zone(key).handle(session, frame)
        except TimeoutError:
            self.log.record(
                catalogue.SESSION_LOST,
                service=key.service,
                zone=key.zone,
                places=len(session.identities),
            )
            raise
        finally:
            self.close(key, session)

    def count_waiting(self) -> int:
        """Count the requests that wait at this node for a place."""
        return sum(len(zone.controller.queue) for zone in self._zones.values())

    def count_reserved(self) -> int:
        """Count the reservations at this node."""
        return sum(len(zone.controller.ledger) for zone in self._zones.values())

    def _measure(self, key: ZoneKey) -> ZoneCapacity:
        """Compute what the replicas of a zone hold that can be reached.

        Before the list of replicas was read, no layers are known either, so
        that no request is refused for being too large.
        """
        table = self.configuration.table
        service = table and table.configuration.services.get(key.service)
        if not service or service.model is None or not self.replicas.listed:
            return ZoneCapacity({}, 0)
        reachable = self.replicas.list_reachable(key.service)
        members = (replica for replica in reachable if replica.zone == key.zone)
        capacities = measure_capacities(members, service.model)
        return ZoneCapacity(capacities, service.model.layers)
