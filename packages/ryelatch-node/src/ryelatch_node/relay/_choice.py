"""Chooses paths for requests, by what this node believes and saw."""

from dataclasses import replace

from ryelatch_core.fleet import (
    NO_LOAD,
    PathQuery,
    Replica,
    Stage,
    choose_path,
    rank_first_replicas,
)
from ryelatch_node.relay._exchange import Exchange, AdmittedRequest
from ryelatch_node.relay._parts import RelayContext
from ryelatch_node.relay._progress import Progress
from ryelatch_node.relay._query import make_path_query

MOST_HEADS = 3
"""First replicas from which a path is sought for one that may end them."""


def choose_request_path(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    progress: Progress,
) -> tuple[Stage, ...]:
    """Choose the path of the next try.

    :returns: its stages; empty if there is none.
    """
    with context.costs.measure_time('paths'):
        return _choose(context, exchange, request, progress)


def _choose(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    progress: Progress,
) -> tuple[Stage, ...]:
    suspects = context.replicas.list_suspects()
    query = make_path_query(context, request, suspects)
    if query is None:
        return ()
    held = context.throttle.list_closed()
    full = frozenset() if exchange.started else _list_closed(context, request)
    query = replace(query, closed=held | full)
    offered = context.replicas.list_service(request.service)
    # A first replica that failed this request, or let it stand still, would
    # most likely do so again, and others that fail much would too.
    failing = context.failures.list_failing(context.clock.monotonic())
    unsound = failing | progress.excluded
    sound = replace(query, avoid=suspects | unsound, crosses=False)
    path = choose_path(offered, sound) if unsound else ()
    path = path or choose_path(offered, query)
    if path and _may_end_replicas(context, exchange, request):
        return _choose_apart(offered, sound, request.digest) or path
    if path or not exchange.started:
        return path
    # A stream whose beginning the client has is lost if it goes nowhere;
    # a replica that had no room a moment ago may have some by now.
    bold = replace(query, avoid=context.replicas.list_unreachable())
    return choose_path(offered, bold)


def _may_end_replicas(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
) -> bool:
    """Whether a replica may have ended under a request.

    A client that goes on with a stream lost it at another node, which may not
    have told yet what ended there.
    """
    resumed = request.terms.last_event is not None and not exchange.sends
    return resumed or context.quarantine.is_suspect(request.digest)


def _choose_apart(
    offered: list[Replica],
    query: PathQuery,
    digest: str,
) -> tuple[Stage, ...]:
    """Choose a path for a request that may be why a replica has ended.

    :returns: its stages; empty if there is none from the first few replicas.
    """
    ruled_out = query.avoid | query.closed
    heads = rank_first_replicas(
        digest, [one for one in offered if one.name not in ruled_out]
    )
    names = frozenset(head.name for head in heads)
    queries = (
        replace(query, closed=query.closed | names - {head.name})
        for head in heads[:MOST_HEADS]
    )
    paths = (choose_path(offered, one) for one in queries)
    return next(filter(None, paths), ())


def _list_closed(context: RelayContext, request: AdmittedRequest) -> frozenset[str]:
    """Name the first replicas that are full for a request.

    A client that was refused and came back has less time left than clients
    of this route mostly have. Its answer will be late, and it leaves a part
    of the places to others, as do accounts beyond their share.
    """
    route = request.route
    patience = request.terms.deadline or route.timeout
    longest = max(patience, context.patience.get(route.name, 0))
    context.patience[route.name] = longest
    late = patience < longest - route.objective
    heavy = context.accounts.exceeds_share(request.account)
    return context.windows.list_closed(yields=late or heavy)


def misses_layers(context: RelayContext, request: AdmittedRequest) -> bool:
    """Whether there is no path even without regard to room."""
    query = make_path_query(context, request, context.replicas.list_unreachable())
    if query is None:
        return True
    unloaded = replace(query, local_tokens={}, load=NO_LOAD)
    offered = context.replicas.list_service(request.service)
    return not choose_path(offered, unloaded)


def list_first_replicas(context: RelayContext, request: AdmittedRequest) -> list[Replica]:
    """List the replicas at which a path may begin."""
    lost = context.replicas.list_unreachable()
    return [
        one
        for one in context.replicas.list_service(request.service)
        if one.layers and not one.layers.first and one.name not in lost
    ]
