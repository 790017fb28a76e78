"""Refuses requests that were not run."""

from ryelatch_core.quarantine import Cause, is_part
from ryelatch_node.relay._choice import list_first_replicas, misses_layers
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._exchange import (
    AdmittedRequest,
    Exchange,
    round_seconds,
)
from ryelatch_node.relay._permits import compute_retry_after
from ryelatch_node.relay._places import Place

REPAIR_SECONDS = 2.5
"""Retry-After for requests that are refused because layers are missing.

The loss of a replica is detected after 0.5 s, and eight layers load in 1.4 s.
"""

QUARANTINE_RETRY_SECONDS = 60.0
"""Retry-After of a request that is quarantined, as replicas crashed under it.

It is refused for minutes, or until an operator releases it.
"""

QUARANTINE_REASON = 'replicas ended under this request'
PART_REASON = 'replicas ended under a part of this prompt'

_UNAVAILABLE = 503


async def refuse_quarantined(
    context: RelayContext, exchange: Exchange, request: AdmittedRequest
) -> bool:
    """Refuse a request that did not run, if it is quarantined.

    :returns: whether it is.
    """
    cause = context.quarantine.find_refused(request.fingerprint)
    if cause is None:
        return False
    await exchange.refuse(
        _UNAVAILABLE,
        describe_cause(cause),
        retry_after=QUARANTINE_RETRY_SECONDS,
        digest=request.digest,
        **list_evidence(cause),
    )
    return True


def describe_cause(cause: Cause) -> str:
    """Describe for the client why a request is quarantined."""
    return PART_REASON if is_part(cause.key) else QUARANTINE_REASON


def list_evidence(cause: Cause) -> dict[str, list[str]]:
    """List for the log what a request is quarantined for."""
    return {
        'causes': sorted(cause.keys),
        'ended': sorted(cause.crashes.incarnations),
    }


async def refuse_unserved(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    place: Place,
) -> None:
    """Refuse a request to a model that did not run, with a time to retry."""
    if await refuse_quarantined(context, exchange, request):
        return
    if place.retry_after is not None:
        await exchange.refuse(
            _UNAVAILABLE,
            'no place in time',
            retry_after=place.retry_after,
            priority=list(request.priority),
            account=request.account,
            zone=place.zone,
            waited=round_seconds(place.waited),
        )
        return
    missing = misses_layers(context, request)
    retry_after = (
        REPAIR_SECONDS if missing else _estimate_retry_after(context, request)
    )
    await exchange.refuse(
        _UNAVAILABLE,
        'layers are missing' if missing else 'all paths are full',
        retry_after=retry_after,
        open=len(context.windows.requests),
        full=len(context.windows.list_closed()),
    )


def _estimate_retry_after(
    context: RelayContext, request: AdmittedRequest
) -> float:
    """Estimate after how many seconds a refused client should retry."""
    now = context.clock.monotonic()
    delay = context.returns.assign_delay(
        now, request.deadline - now, context.draw()
    )
    return max(
        delay,
        compute_retry_after(context, list_first_replicas(context, request)),
    )
