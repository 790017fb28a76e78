"""Acquires permits for requests to replicas that limit their rate."""

from collections.abc import Iterable

from ryelatch_core.events import catalogue
from ryelatch_core.fleet import Replica
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._exchange import Exchange

RETRY_JITTER = 0.3
"""Maximum jitter of a retry delay, as a fraction of the delay."""


async def acquire_permit(
    context: RelayContext,
    exchange: Exchange,
    replica: Replica,
) -> bool:
    """Acquire a permit to send a request to a replica, if it needs one.

    :returns: whether the request may be sent; otherwise the caller chooses
        another replica.
    """
    if not context.throttle.is_throttled(replica.name):
        return True
    if await context.throttle.acquire_permit(replica):
        # The replica may have left while the permit was requested.
        return context.replicas.is_available(replica)
    exchange.record(catalogue.PERMIT_DENIED, replica=replica.name)
    return False


def compute_retry_after(
    context: RelayContext, replicas: Iterable[Replica]
) -> float:
    """Compute the delay after which a refused client should retry.

    After it, at least one of the replicas accepts requests again. Jitter is
    added, because all clients refused until then would otherwise retry at the
    same moment.

    :param replicas: replicas that can serve the request.
    :returns: seconds; 0 if a replica accepts requests now.
    """
    wait_seconds = context.throttle.find_wait(
        replica.name for replica in replicas
    )
    return wait_seconds * (1 + RETRY_JITTER * context.draw())
