"""Records the requests under which replicas crashed, for the quarantine."""

from ryelatch_core.fleet import Replica
from ryelatch_core.quarantine import RequestPhase
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._errors import SendError, SendErrorKind
from ryelatch_node.relay._exchange import AdmittedRequest, Exchange
from ryelatch_node.relay._stream import FIRST_REPLICA_LOST, LiveStream

UNRESPONSIVE = 'silent'
"""Reason of a run that was given up because its replica sent nothing.

The replica has not crashed.
"""


async def record_stream_crash(
    context: RelayContext,
    stream: LiveStream,
    error: SendError,
) -> bool:
    """Record a crash if the first replica of a stream has crashed.

    This includes streams that this node interrupted because their first
    replica is lost: the loss may have been detected by another stream a moment
    before the connection of this stream broke.

    :returns: whether the replica crashed just as the stream began there.
    """
    if not _is_connection_lost(error) or stream.reason not in {
        '',
        FIRST_REPLICA_LOST,
    }:
        return False
    if stream.has_run_long(context.now()):
        # It isn't the cause, whatever the check finds. Waiting would only
        # delay its resumption: an unresponsive VM takes the check's timeout.
        context.crash_checks.start(stream.first_replica)
        return False
    if not await context.crash_checks.has_crashed(stream.first_replica):
        return False
    phase = RequestPhase.BEGUN if stream.answered else RequestPhase.WAITING
    context.quarantine.record_crash(
        stream.request.fingerprint,
        stream.first_replica.name,
        phase,
        stream.exchange.identity,
        events=stream.delivered,
    )
    return True


async def record_non_model_crash(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    replica: Replica,
    error: SendError,
) -> None:
    """Record a crash if a replica of a service without a model has crashed.

    Unlike a stream, the request has no events that show whether it had begun,
    so it counts as begun.
    """
    if not _is_connection_lost(error):
        return
    if await context.crash_checks.has_crashed(replica):
        context.quarantine.record_crash(
            request.fingerprint,
            replica.name,
            RequestPhase.BEGUN,
            exchange.identity,
        )


def _is_connection_lost(error: SendError) -> bool:
    return error.kind is SendErrorKind.LOST and error.reason != UNRESPONSIVE
