"""Chooses paths for requests from this node's view of the replicas."""

from dataclasses import replace

from ryelatch_core.admission import LATE_FRACTION
from ryelatch_core.fleet import (
    NO_LOAD,
    PathQuery,
    Replica,
    Stage,
    choose_path,
    rank_first_replicas,
)
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._exchange import AdmittedRequest, Exchange
from ryelatch_node.relay._progress import Progress
from ryelatch_node.relay._query import count_tokens, make_path_query

MAX_RETRIED_PATIENCE_SECONDS = 1.0
"""Longest time to the first event of a request that will be late anyway.

Its client leaves after two seconds without an event.
"""

MAX_FIRST_REPLICAS = 3
"""First replicas tried for a request that may crash the replica it runs on."""


def choose_request_path(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    progress: Progress,
    granted_zone: str | None = None,
) -> tuple[Stage, ...]:
    """Choose the path for the next attempt of a request.

    :param granted_zone: the availability zone in which a place was granted to
        it; there it finds room however full the replicas were before. ``None``
        if it may use any zone.
    :returns: its stages; empty if there is no path.
    """
    with context.usage.measure_time('paths'):
        return _choose(context, exchange, request, progress, granted_zone)


def _choose(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    progress: Progress,
    granted_zone: str | None,
) -> tuple[Stage, ...]:
    limited = granted_zone is None and not exchange.started
    query = _make_query(context, request, limited=limited)
    if query is None:
        return ()
    offered = [
        replica
        for replica in context.replicas.list_service(request.service)
        if granted_zone is None or replica.zone == granted_zone
    ]
    if progress.kept_to:
        names = frozenset(replica.name for replica in offered)
        query = replace(query, closed=query.closed | names - progress.kept_to)
    # A first replica that failed or stalled this request would most likely do
    # so again, and so would replicas that fail many requests.
    failing = context.failures.list_failing(context.clock.monotonic())
    unreliable = failing | progress.excluded
    strict = replace(query, avoid=query.avoid | unreliable, crosses=False)
    path = choose_path(offered, strict) if unreliable else ()
    path = path or _choose_widely(
        offered, query, context.replicas.list_suspects()
    )
    suspect = _find_suspect(context, exchange, request)
    if path and suspect:
        return _choose_isolated(offered, strict, suspect) or path
    if path or not exchange.started:
        return path
    # A stream that the client has received in part is lost without a path,
    # and a replica that had no free memory a moment ago may have some now.
    lost = _list_out_of_reach(context) | context.crash_checks.pending
    lenient = replace(query, avoid=lost)
    return choose_path(offered, lenient)


def _make_query(
    context: RelayContext, request: AdmittedRequest, *, limited: bool
) -> PathQuery | None:
    """Make the query for a path without replicas that are suspected.

    :param limited: whether it keeps to replicas with room.
    :returns: ``None`` if the service has no model.
    """
    avoided = context.replicas.list_suspects()
    if limited:
        avoided |= _list_without_memory(context, request)
    query = make_path_query(context, request, avoided)
    if query is None:
        return None
    closed = context.throttle.list_closed()
    if limited:
        closed |= _list_closed(context, request)
    return replace(query, closed=closed)


def _choose_widely(
    offered: list[Replica], query: PathQuery, suspects: frozenset[str]
) -> tuple[Stage, ...]:
    """Choose a path that changes zones only if no zone holds all layers.

    Requests that changed zones because their own was full would fill the links
    between zones, and hold up the streams of all others.

    :param suspects: names of the replicas not to use however full others are.
    """
    if query.avoid <= suspects:
        return choose_path(offered, query)
    path = choose_path(offered, replace(query, crosses=False))
    if path:
        return path
    idle = replace(query, avoid=suspects, closed=frozenset(), crosses=False)
    return () if choose_path(offered, idle) else choose_path(offered, query)


def _find_suspect(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
) -> str | None:
    """Find the key by which a request may crash replicas, if any.

    A client that resumes a stream lost it at another node, which may not have
    reported the crash of a replica yet.
    """
    suspect = context.quarantine.find_suspect(request.fingerprint)
    if suspect:
        return suspect
    resumed = request.terms.last_event is not None and not exchange.sends
    return request.digest if resumed else None


def _choose_isolated(
    offered: list[Replica],
    query: PathQuery,
    key: str,
) -> tuple[Stage, ...]:
    """Choose a path for a request that may be the cause of a crash.

    All nodes try the first replicas in the same order, so that requests with
    one key meet at one replica and crash few others.

    :param key: by which it may be the cause.
    :returns: its stages; empty if none of the first ``MAX_FIRST_REPLICAS``
        has a path.
    """
    excluded = query.avoid | query.closed
    ranked = rank_first_replicas(
        key,
        [replica for replica in offered if replica.name not in excluded],
    )
    names = frozenset(first.name for first in ranked)
    queries = (
        replace(query, closed=query.closed | names - {first.name})
        for first in ranked[:MAX_FIRST_REPLICAS]
    )
    paths = (choose_path(offered, variant) for variant in queries)
    return next(filter(None, paths), ())


def _list_without_memory(
    context: RelayContext, request: AdmittedRequest
) -> frozenset[str]:
    """List the replicas that the requests of all nodes have filled.

    None are listed where the load of all nodes isn't known.
    """
    load = context.reservations.find_load(request.service)
    if load is None:
        return frozenset()
    return load.list_full(request.service, count_tokens(context, request))


def _list_closed(
    context: RelayContext, request: AdmittedRequest
) -> frozenset[str]:
    """List the first replicas that are full for a request.

    Where the load of all nodes is known, they are those without a free slot.
    Otherwise they are those whose concurrency window is full. Requests whose
    clients retry will be answered late, so they leave a part of each window to
    others, as do those of accounts beyond their fair share, and those that
    other nodes forward: each node keeps room for its own clients.
    """
    retried = is_retried(context, request)
    load = context.reservations.find_load(request.service)
    if load is not None:
        return load.list_closed(request.service)
    heavy = context.accounts.exceeds_share(request.account)
    yields = retried or heavy or bool(request.origin)
    return context.windows.list_closed(yields=yields)


def get_patience(context: RelayContext, request: AdmittedRequest) -> float:
    """Return the longest acceptable time to the first event, in seconds.

    A request whose client was refused before is late anyway.
    """
    if is_retried(context, request):
        return MAX_RETRIED_PATIENCE_SECONDS
    return request.route.objective * LATE_FRACTION


def is_retried(context: RelayContext, request: AdmittedRequest) -> bool:
    """Whether the client of a request seems to have been refused before.

    It then has less time left than most clients of its route.
    """
    route = request.route
    timeout = request.terms.deadline or route.timeout
    longest = max(timeout, context.longest_timeouts.get(route.name, 0))
    context.longest_timeouts[route.name] = longest
    return timeout < longest - route.objective


def misses_layers(
    context: RelayContext, request: AdmittedRequest, zone: str | None = None
) -> bool:
    """Whether a request has no path even when load is disregarded.

    :param zone: the availability zone that the path must not leave; ``None``
        if it may use any, and several.
    """
    query = make_path_query(context, request, _list_out_of_reach(context))
    if query is None:
        return True
    unloaded = replace(
        query, local_tokens={}, load=NO_LOAD, crosses=zone is None
    )
    offered = [
        replica
        for replica in context.replicas.list_service(request.service)
        if zone is None or replica.zone == zone
    ]
    return not choose_path(offered, unloaded)


def list_first_replicas(
    context: RelayContext, request: AdmittedRequest
) -> list[Replica]:
    """List the reachable replicas that hold the first layers of a model."""
    lost = _list_out_of_reach(context)
    return [
        replica
        for replica in context.replicas.list_service(request.service)
        if replica.layers
        and not replica.layers.first
        and replica.name not in lost
    ]


def _list_out_of_reach(context: RelayContext) -> frozenset[str]:
    """List the replicas that are lost, or that this node alone can't reach."""
    view = context.replicas
    return view.list_unreachable() | view.cut.list_names()
