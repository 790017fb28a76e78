"""Takes leave to send requests to replicas that named a limit."""

from ryelatch_core.events import catalogue
from ryelatch_core.fleet import Replica
from ryelatch_node.relay._exchange import Exchange
from ryelatch_node.relay._parts import Parts


async def take_permit(
    parts: Parts,
    exchange: Exchange,
    replica: Replica,
) -> bool:
    """Take leave to send a request; without it another replica is chosen."""
    if not parts.throttle.is_limited(replica.name):
        return True
    if await parts.throttle.take(replica):
        # The answer may have taken a while, and the replica may have left.
        return parts.replicas.offers(replica)
    exchange.record(catalogue.PERMIT_DENIED, replica=replica.name)
    return False
