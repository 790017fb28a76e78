"""Reports replicas that refused a request for lack of memory."""

from ryelatch_core.fleet import Replica
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.reservations import ZoneKey


def record_shortage(
    context: RelayContext, service: str, replica: Replica
) -> None:
    """Report a replica without memory to the controller of its zone."""
    if context.reservations.is_ranked(service):
        key = ZoneKey(service, replica.zone)
        context.reservations.client.record_shortage(key, replica.name)
