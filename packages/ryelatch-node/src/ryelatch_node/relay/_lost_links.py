"""Handles streams whose first replica this node can't reach any more."""

from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._stream import LiveStream

LINKS_LOST = 'links lost'
"""Reason of an interruption because the links of this node are lost."""

LEAVE_SECONDS = 0.2
"""Pause after which a stream leaves its connection.

Where only new connections are refused, streams on open ones go on, with pauses
that are shorter than that.
"""


def leave_lost_links(
    context: RelayContext, stream: LiveStream, pause: float
) -> bool:
    """Interrupt a stream that pauses, if it came over links that are lost.

    It is resumed through another node. Its replicas can't be asked what it
    waits for.

    :param pause: seconds since its last event.
    :returns: whether its links are lost.
    """
    if not context.links.is_lost(stream.first_replica):
        return False
    if pause > LEAVE_SECONDS and _may_resume(context, stream):
        stream.interrupt(LINKS_LOST)
    return True


def _may_resume(context: RelayContext, stream: LiveStream) -> bool:
    ran = stream.exchange.ran + int(not stream.begun)
    return (
        stream.request.repeatable
        and context.budget.left >= 1
        and ran < stream.request.route.max_attempts
    )
