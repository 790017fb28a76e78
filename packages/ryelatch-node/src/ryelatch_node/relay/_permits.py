"""Takes leave to send requests to replicas that take little or nothing."""

from collections.abc import Iterable

from ryelatch_core.events import catalogue
from ryelatch_core.fleet import Replica
from ryelatch_node.relay._exchange import Exchange
from ryelatch_node.relay._parts import RelayContext

RETURN_SPREAD = 0.3
"""Share of a wait by which returns are spread."""


async def acquire_permit(
    context: RelayContext,
    exchange: Exchange,
    replica: Replica,
) -> bool:
    """Take leave to send a request; without it another replica is chosen."""
    if not context.throttle.is_throttled(replica.name):
        return True
    if await context.throttle.acquire_permit(replica):
        # The answer may have taken a while, and the replica may have left.
        return context.replicas.is_available(replica)
    exchange.record(catalogue.PERMIT_DENIED, replica=replica.name)
    return False


def find_retry_after(context: RelayContext, replicas: Iterable[Replica]) -> float:
    """Tell a refused client when the first of some replicas takes more.

    Those who are refused meanwhile would all come back in one moment, so
    their times are spread.

    :returns: seconds; 0 if a replica takes more now.
    """
    wait = context.throttle.find_wait(one.name for one in replicas)
    return wait * (1 + RETURN_SPREAD * context.draw())
