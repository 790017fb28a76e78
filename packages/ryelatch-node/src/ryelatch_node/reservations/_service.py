"""Reserves places at the replicas of services with ranked requests."""

import bisect
from collections.abc import Mapping
from dataclasses import dataclass, field

from ryelatch_core.admission import Priority, rank_priorities
from ryelatch_core.events import LineLog, UsageTracker
from ryelatch_core.kernel import App, Service
from ryelatch_core.routing import RoutingTable
from ryelatch_node.peer_sync import PeerSync
from ryelatch_node.ports import RelayStartup
from ryelatch_node.reservations._client import ReservationClient
from ryelatch_node.reservations._controllers import ZoneControllers
from ryelatch_node.reservations._load import FleetLoad
from ryelatch_node.tasks import Tasks
from ryelatch_node.views import ConfigurationView, ReplicaView


@dataclass(eq=False)
class Reservations:
    """Places at the replicas, reserved over all nodes.

    Only the requests of services whose configuration ranks them by priority
    need a place; all others are served as each node decides by itself.

    :param enabled: whether the settings of this node call for places at all.
    """

    configuration: ConfigurationView
    client: ReservationClient
    controllers: ZoneControllers
    load: FleetLoad
    tasks: Tasks
    enabled: bool = True
    _table: RoutingTable | None = None
    _ranks: Mapping[str, tuple[Priority, ...]] = field(default_factory=dict)

    def is_ranked(self, service: str) -> bool:
        """Whether the requests of a service differ in priority."""
        table = self.configuration.table
        if table is not self._table:
            self._table = table
            self._ranks = rank_priorities(table.configuration) if table else {}
        return self.enabled and service in self._ranks

    def find_rank(self, service: str, priority: Priority) -> int | None:
        """Find the rank of a priority among those of a service, from 0.

        :returns: ``None`` if the requests of the service don't differ.
        """
        if not self.is_ranked(service):
            return None
        # A priority from an earlier configuration takes the next rank.
        return bisect.bisect_left(self._ranks[service], priority)

    def find_load(self, service: str) -> FleetLoad | None:
        """Find the load of all nodes at the replicas of a service.

        :returns: ``None`` if its requests aren't ranked, or if no controller
            has reported of late.
        """
        if self.is_ranked(service) and self.load.is_known(service):
            return self.load
        return None

    async def stop(self) -> None:
        """Release all places, and stop controlling zones."""
        await self.client.stop()
        await self.tasks.stop()


def setup(app: App) -> None:
    """Add the service ``reservations``."""
    log = app.find('log', LineLog)
    startup = app.find('startup', RelayStartup)
    configuration = app.find('configuration', ConfigurationView)
    peer_sync = app.find('news', PeerSync)
    tasks = Tasks(log, 'reservations')
    controllers = ZoneControllers(
        log,
        app.clock,
        app.find('costs', UsageTracker),
        configuration,
        app.find('replicas', ReplicaView),
        app.random_source.random,
        tasks,
    )
    peer_sync.server.serve_session = controllers.serve
    load = FleetLoad(app.clock)
    client = ReservationClient(
        startup.name,
        log,
        app.clock,
        peer_sync,
        controllers,
        load,
        tasks,
    )
    reservations = Reservations(
        configuration,
        client,
        controllers,
        load,
        tasks,
        startup.fleet_admission,
    )
    app.add(
        Service('reservations', reservations, ('news',), stop=reservations.stop)
    )
