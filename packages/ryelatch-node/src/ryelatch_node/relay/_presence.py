"""Asks a replica whether it is still running."""

import asyncio

from ryelatch_core.fleet import Replica
from ryelatch_node.ports import Presence, ReplicaCommands
from ryelatch_node.throttle import Throttle
from ryelatch_node.views import ConfigurationView

HOLD_SECONDS = 0.1
"""Time for which a connection is held; a reset arrives within a round trip."""


async def ask_presence(
    commands: ReplicaCommands,
    configuration: ConfigurationView,
    throttle: Throttle,
    replica: Replica,
) -> Presence:
    """Ask a replica, without a request if it limits those that it takes."""
    if throttle.is_throttled(replica.name):
        return await _hold_connection(commands, replica)
    table = configuration.table
    service = table and table.configuration.services.get(replica.service)
    health_path = service.health_path if service else '/'
    return await commands.confirm(replica, health_path)


async def _hold_connection(
    commands: ReplicaCommands, replica: Replica
) -> Presence:
    async def hold() -> None:
        await asyncio.sleep(HOLD_SECONDS)

    is_open = await commands.hold_connection(replica, hold)
    return Presence.SILENT if is_open else Presence.UNKNOWN
