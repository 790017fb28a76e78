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


def leaves_lost_links(
    context: RelayContext, stream: LiveStream, pause: float, reserved: int
) -> bool:
    """Whether a stream that came over lost links is to be resumed elsewhere.

    Its replicas can't be asked what it waits for.

    :param pause: seconds since its last event.
    :param reserved: retries that other streams are about to spend.
    """
    ran = stream.exchange.ran + int(not stream.begun)
    return (
        pause > LEAVE_SECONDS
        and stream.request.repeatable
        and context.budget.left - reserved >= 1
        and ran < stream.request.route.max_attempts
    )
