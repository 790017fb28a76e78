"""Chooses paths for requests from this node's view of the replicas."""

from dataclasses import replace

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
from ryelatch_node.relay._query import make_path_query

MAX_FIRST_REPLICAS = 3
"""First replicas tried for a request that may crash the replica it runs on."""


def choose_request_path(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    progress: Progress,
) -> tuple[Stage, ...]:
    """Choose the path for the next attempt of a request.

    :returns: its stages; empty if there is no path.
    """
    with context.usage.measure_time('paths'):
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
    throttled = context.throttle.list_closed()
    full = frozenset() if exchange.started else _list_closed(context, request)
    query = replace(query, closed=throttled | full)
    offered = context.replicas.list_service(request.service)
    # A first replica that failed or stalled this request would most likely do
    # so again, and so would replicas that fail many requests.
    failing = context.failures.list_failing(context.clock.monotonic())
    unreliable = failing | progress.excluded
    strict = replace(query, avoid=suspects | unreliable, crosses=False)
    path = choose_path(offered, strict) if unreliable else ()
    path = path or choose_path(offered, query)
    if path and _may_crash_replicas(context, exchange, request):
        return _choose_isolated(offered, strict, request.digest) or path
    if path or not exchange.started:
        return path
    # A stream that the client has received in part is lost without a path,
    # and a replica that had no free memory a moment ago may have some now.
    lost = context.replicas.list_unreachable() | context.crash_checks.pending
    lenient = replace(query, avoid=lost)
    return choose_path(offered, lenient)


def _may_crash_replicas(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
) -> bool:
    """Whether a replica may have crashed under a request.

    A client that resumes a stream lost it at another node, which may not have
    reported the crash of a replica yet.
    """
    resumed = request.terms.last_event is not None and not exchange.sends
    return resumed or context.quarantine.is_suspect(request.digest)


def _choose_isolated(
    offered: list[Replica],
    query: PathQuery,
    digest: str,
) -> tuple[Stage, ...]:
    """Choose a path for a request that may be the cause of a crash.

    All nodes try the first replicas in the same order, so that copies of the
    request meet at one replica and crash few others.

    :returns: its stages; empty if none of the first ``MAX_FIRST_REPLICAS``
        has a path.
    """
    excluded = query.avoid | query.closed
    ranked = rank_first_replicas(
        digest,
        [replica for replica in offered if replica.name not in excluded],
    )
    names = frozenset(first.name for first in ranked)
    queries = (
        replace(query, closed=query.closed | names - {first.name})
        for first in ranked[:MAX_FIRST_REPLICAS]
    )
    paths = (choose_path(offered, variant) for variant in queries)
    return next(filter(None, paths), ())


def _list_closed(
    context: RelayContext, request: AdmittedRequest
) -> frozenset[str]:
    """List the first replicas whose concurrency window is full for a request.

    A client that retries after a refusal has less time left than most clients
    of its route, and its answer will be late. Such requests, and those of
    accounts beyond their fair share, leave a part of each window to others.
    """
    route = request.route
    timeout = request.terms.deadline or route.timeout
    longest = max(timeout, context.longest_timeouts.get(route.name, 0))
    context.longest_timeouts[route.name] = longest
    late = timeout < longest - route.objective
    heavy = context.accounts.exceeds_share(request.account)
    return context.windows.list_closed(yields=late or heavy)


def misses_layers(context: RelayContext, request: AdmittedRequest) -> bool:
    """Whether a request has no path even when load is disregarded."""
    query = make_path_query(
        context, request, context.replicas.list_unreachable()
    )
    if query is None:
        return True
    unloaded = replace(query, local_tokens={}, load=NO_LOAD)
    offered = context.replicas.list_service(request.service)
    return not choose_path(offered, unloaded)


def list_first_replicas(
    context: RelayContext, request: AdmittedRequest
) -> list[Replica]:
    """List the reachable replicas that hold the first layers of a model."""
    lost = context.replicas.list_unreachable()
    return [
        replica
        for replica in context.replicas.list_service(request.service)
        if replica.layers
        and not replica.layers.first
        and replica.name not in lost
    ]
