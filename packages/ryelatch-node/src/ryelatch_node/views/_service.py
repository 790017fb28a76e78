"""The views as services of a node."""

from ryelatch_core.events import LineLog
from ryelatch_core.kernel import App, Service
from ryelatch_core.membership import compute_departure_bounds
from ryelatch_node.views._configuration import ConfigurationView
from ryelatch_node.views._replicas import ReplicaView
from ryelatch_node.ports import RelayStartup


def setup(app: App) -> None:
    """Add the services ``configuration`` and ``replicas``."""
    startup = app.find('startup', RelayStartup)
    log = app.find('log', LineLog)
    configuration = ConfigurationView(log, app.clock, startup.revoke_seconds)
    app.add(Service('configuration', configuration))
    bounds = compute_departure_bounds(
        startup.drain_seconds, startup.steady_seconds
    )
    replicas = ReplicaView(log, app.clock, app.hub, bounds)
    app.add(Service('replicas', replicas))
