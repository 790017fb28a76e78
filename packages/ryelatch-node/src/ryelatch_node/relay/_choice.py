"""Chooses paths for requests, by what this node believes and saw."""

from dataclasses import replace

from ryelatch_core.fleet import (
    NO_LOAD,
    PathQuery,
    Replica,
    Stage,
    choose_path,
    rank_heads,
)
from ryelatch_node.relay._exchange import Exchange, Inquiry
from ryelatch_node.relay._parts import Parts
from ryelatch_node.relay._progress import Progress
from ryelatch_node.relay._query import make_query

MOST_HEADS = 3
"""First replicas from which a path is sought for one that may end them."""


def choose_request_path(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
    progress: Progress,
) -> tuple[Stage, ...]:
    """Choose the path of the next try.

    :returns: its stages; empty if there is none.
    """
    with parts.costs.spend('paths'):
        return _choose(parts, exchange, inquiry, progress)


def _choose(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
    progress: Progress,
) -> tuple[Stage, ...]:
    suspects = parts.replicas.list_suspects()
    query = make_query(parts, inquiry, suspects)
    if query is None:
        return ()
    held = parts.throttle.list_closed()
    full = frozenset() if exchange.started else _list_closed(parts, inquiry)
    query = replace(query, closed=held | full)
    offered = parts.replicas.list_service(inquiry.service)
    # A first replica that failed this request, or let it stand still, would
    # most likely do so again, and others that fail much would too.
    failing = parts.failures.list_failing(parts.clock.monotonic())
    unsound = failing | progress.left
    sound = replace(query, avoid=suspects | unsound, crosses=False)
    path = choose_path(offered, sound) if unsound else ()
    path = path or choose_path(offered, query)
    if path and _may_end_replicas(parts, exchange, inquiry):
        return _choose_apart(offered, sound, inquiry.digest) or path
    if path or not exchange.started:
        return path
    # A stream whose beginning the client has is lost if it goes nowhere;
    # a replica that had no room a moment ago may have some by now.
    bold = replace(query, avoid=parts.replicas.list_unreachable())
    return choose_path(offered, bold)


def _may_end_replicas(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
) -> bool:
    """Whether a replica may have ended under a request.

    A client that goes on with a stream lost it at another node, which may not
    have told yet what ended there.
    """
    resumed = inquiry.terms.last_event is not None and not exchange.sends
    return resumed or parts.quarantine.is_suspect(inquiry.digest)


def _choose_apart(
    offered: list[Replica],
    query: PathQuery,
    digest: str,
) -> tuple[Stage, ...]:
    """Choose a path for a request that may be why a replica has ended.

    :returns: its stages; empty if there is none from the first few replicas.
    """
    ruled_out = query.avoid | query.closed
    heads = rank_heads(
        digest, [one for one in offered if one.name not in ruled_out]
    )
    names = frozenset(head.name for head in heads)
    queries = (
        replace(query, closed=query.closed | names - {head.name})
        for head in heads[:MOST_HEADS]
    )
    paths = (choose_path(offered, one) for one in queries)
    return next(filter(None, paths), ())


def _list_closed(parts: Parts, inquiry: Inquiry) -> frozenset[str]:
    """Name the first replicas that are full for a request.

    A client that was refused and came back has less time left than clients
    of this route mostly have. Its answer will be late, and it leaves a part
    of the places to others, as do accounts beyond their share.
    """
    route = inquiry.route
    patience = inquiry.terms.deadline or route.timeout
    longest = max(patience, parts.patience.get(route.name, 0))
    parts.patience[route.name] = longest
    late = patience < longest - route.objective
    heavy = parts.accounts.is_heavy(inquiry.account)
    return parts.windows.list_closed(yields=late or heavy)


def misses_layers(parts: Parts, inquiry: Inquiry) -> bool:
    """Whether there is no path even without regard to room."""
    query = make_query(parts, inquiry, parts.replicas.list_unreachable())
    if query is None:
        return True
    unloaded = replace(query, own_tokens={}, load=NO_LOAD)
    offered = parts.replicas.list_service(inquiry.service)
    return not choose_path(offered, unloaded)


def list_heads(parts: Parts, inquiry: Inquiry) -> list[Replica]:
    """List the replicas at which a path may begin."""
    lost = parts.replicas.list_unreachable()
    return [
        one
        for one in parts.replicas.list_service(inquiry.service)
        if one.layers and not one.layers.first and one.name not in lost
    ]
