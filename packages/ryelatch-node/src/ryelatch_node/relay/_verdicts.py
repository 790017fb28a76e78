"""Holds requests until it is known whether they are refused."""

from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._exchange import (
    AdmittedRequest,
    Exchange,
    round_seconds,
)


async def wait_for_verdict(
    context: RelayContext, exchange: Exchange, request: AdmittedRequest
) -> None:
    """Wait while reports may show that a request crashes replicas.

    It takes a second at most, and no time unless three replicas crashed under
    the request.
    """
    started = context.now()
    if await context.quarantine.wait_until_settled(request.fingerprint):
        exchange.detail['held'] = round_seconds(context.now() - started)


async def is_allowed(
    context: RelayContext, exchange: Exchange, request: AdmittedRequest
) -> bool:
    """Whether a request may be sent, as far as crashes of replicas tell.

    A trial reaches one replica: it must not crash a second one.
    """
    if context.quarantine.find_refused(request.fingerprint) is None:
        return True
    if not request.trial or exchange.has_sent():
        return False
    if not exchange.on_trial:
        exchange.on_trial = await context.quarantine.claim_trial(
            request.fingerprint
        )
    return exchange.on_trial
