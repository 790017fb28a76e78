"""Notes under which requests replicas end."""

from ryelatch_core.fleet import Replica
from ryelatch_core.quarantine import Manner
from ryelatch_node.relay._errors import SendError, SendErrorKind
from ryelatch_node.relay._exchange import Exchange, Inquiry
from ryelatch_node.relay._parts import Parts
from ryelatch_node.relay._stream import LiveStream

SILENT = 'silent'
"""Why a run was given up whose replica said nothing; nothing has ended."""


async def note_stream_end(
    parts: Parts,
    stream: LiveStream,
    error: SendError,
) -> bool:
    """Note it if the first replica of a stream ended as the stream began.

    :returns: whether it did.
    """
    if not _was_cut(error) or stream.reason or stream.ran(parts.now()):
        return False
    manner = Manner.WAITING if stream.answered is None else Manner.BEGUN
    return await _note_end(
        parts, stream.exchange, stream.inquiry, stream.head, manner
    )


async def note_plain_end(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
    replica: Replica,
    error: SendError,
) -> None:
    """Note it if a replica of a plain service ended under a request.

    Nothing of its answer comes before the whole, so it may have begun.
    """
    if _was_cut(error):
        await _note_end(parts, exchange, inquiry, replica, Manner.BEGUN)


def _was_cut(error: SendError) -> bool:
    return error.kind is SendErrorKind.LOST and error.reason != SILENT


async def _note_end(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
    replica: Replica,
    manner: Manner,
) -> bool:
    if not await parts.ends.has_ended(replica):
        return False
    parts.quarantine.note_end(
        inquiry.digest, replica.name, manner, exchange.identity
    )
    return True
