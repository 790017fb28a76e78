"""Handles streams whose first replica this node can't reach any more."""

from ryelatch_core.fleet import choose_path
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._query import make_path_query
from ryelatch_node.relay._stream import LiveStream

LINKS_LOST = 'links lost'
"""Reason of another run because the links of this node are lost."""

LEAVE_SECONDS = 0.2
"""Pause after which a stream gets another run beside its connection.

Where only new connections are refused, streams on open ones go on, with pauses
that are shorter than that.
"""


def leaves_lost_links(
    context: RelayContext, stream: LiveStream, pause: float, reserved: int
) -> bool:
    """Whether a stream that came over lost links gets a run elsewhere.

    Its replicas can't be asked what it waits for, and may go on a moment later,
    so it stays meanwhile. The first run that delivers goes on.

    :param pause: seconds since its last event.
    :param reserved: retries that other streams are about to spend.
    """
    ran = stream.exchange.ran + stream.exchange.unbegun
    return (
        pause > LEAVE_SECONDS
        and stream.request.repeatable
        and ran < stream.request.route.max_attempts
        and context.budgets.get(stream.request.service).left - reserved >= 1
    ) and _may_go_elsewhere(context, stream)


def _may_go_elsewhere(context: RelayContext, stream: LiveStream) -> bool:
    """Whether another node serves a stream, or this one over other links."""
    service = stream.first_replica.service
    if context.links.has_helper(service):
        return True
    view = context.replicas
    lost = view.list_unreachable() | view.cut.list_names()
    query = make_path_query(context, stream.request, lost)
    if query is None:
        return False
    return bool(choose_path(view.list_service(service), query))
