"""Notes under which requests replicas end."""

from ryelatch_core.fleet import Replica
from ryelatch_core.quarantine import RequestPhase
from ryelatch_node.relay._errors import SendError, SendErrorKind
from ryelatch_node.relay._exchange import Exchange, AdmittedRequest
from ryelatch_node.relay._parts import RelayContext
from ryelatch_node.relay._stream import FIRST_REPLICA_LOST, LiveStream

SILENT = 'silent'
"""Why a run was given up whose replica said nothing; nothing has ended."""


async def record_stream_crash(
    context: RelayContext,
    stream: LiveStream,
    error: SendError,
) -> bool:
    """Note it if the first replica of a stream has ended.

    One that this node cut off because its replica is lost counts too: another
    stream may have found that out a moment before its own connection broke.

    :returns: whether it did just as the stream began there.
    """
    if not _was_cut(error) or stream.reason not in {'', FIRST_REPLICA_LOST}:
        return False
    ran = stream.ran(context.now())
    if not await _has_ended(context, stream.head) or ran:
        return False
    manner = RequestPhase.BEGUN if stream.answered else RequestPhase.WAITING
    context.quarantine.record_crash(
        stream.request.digest,
        stream.head.name,
        manner,
        stream.exchange.identity,
    )
    return True


async def note_plain_end(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    replica: Replica,
    error: SendError,
) -> None:
    """Note it if a replica of a plain service has ended under a request.

    Nothing of its answer comes before the whole, so it may have begun.
    """
    if _was_cut(error) and await _has_ended(context, replica):
        context.quarantine.record_crash(
            request.digest, replica.name, RequestPhase.BEGUN, exchange.identity
        )


def _was_cut(error: SendError) -> bool:
    return error.kind is SendErrorKind.LOST and error.reason != SILENT


async def _has_ended(context: RelayContext, replica: Replica) -> bool:
    """Tell whether a replica has ended, and keep away from it if so.

    Its entry lapses seconds later. Sent there meanwhile, each request costs
    a retry, and those without one left are refused.
    """
    if not await context.ends.has_crashed(replica):
        return False
    context.replicas.suspect(replica, 'ended', full=False)
    return True
