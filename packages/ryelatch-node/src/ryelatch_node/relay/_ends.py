"""Notes under which requests replicas end."""

from ryelatch_core.fleet import Replica
from ryelatch_core.quarantine import Manner
from ryelatch_node.relay._errors import SendError, SendErrorKind
from ryelatch_node.relay._exchange import Exchange, Inquiry
from ryelatch_node.relay._parts import Parts
from ryelatch_node.relay._stream import HEAD_LOST, LiveStream

SILENT = 'silent'
"""Why a run was given up whose replica said nothing; nothing has ended."""


async def note_stream_end(
    parts: Parts,
    stream: LiveStream,
    error: SendError,
) -> bool:
    """Note it if the first replica of a stream ended as the stream began.

    One that this node cut off because its replica is lost counts too: another
    stream may have found that out a moment before its own connection broke.

    :returns: whether it did.
    """
    if not _was_cut(error) or stream.reason not in {'', HEAD_LOST}:
        return False
    if stream.ran(parts.now()) or not await parts.ends.has_ended(stream.head):
        return False
    manner = Manner.WAITING if stream.answered is None else Manner.BEGUN
    parts.quarantine.note_end(
        stream.inquiry.digest,
        stream.head.name,
        manner,
        stream.exchange.identity,
    )
    return True


async def note_plain_end(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
    replica: Replica,
    error: SendError,
) -> None:
    """Note it if a replica of a plain service has ended under a request.

    Nothing of its answer comes before the whole, so it may have begun. Its
    entry lapses seconds later; sent there meanwhile, each request of others
    would cost a retry, and those without one left were refused.
    """
    if _was_cut(error) and await parts.ends.has_ended(replica):
        parts.replicas.suspect(replica, 'ended', full=False)
        parts.quarantine.note_end(
            inquiry.digest, replica.name, Manner.BEGUN, exchange.identity
        )


def _was_cut(error: SendError) -> bool:
    return error.kind is SendErrorKind.LOST and error.reason != SILENT
