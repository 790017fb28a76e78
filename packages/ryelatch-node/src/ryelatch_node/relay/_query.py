"""Builds the queries with which paths for a request are chosen."""

from ryelatch_core.fleet import LoadEstimate, ModelProfile, PathQuery
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._exchange import AdmittedRequest


def get_profile(context: RelayContext, service: str) -> ModelProfile | None:
    """Return the profile of a service's model.

    :returns: ``None`` if the service is unknown or has no model.
    """
    table = context.configuration.table
    configured = table and table.configuration.services.get(service)
    return configured.model if configured else None


def make_path_query(
    context: RelayContext,
    request: AdmittedRequest,
    avoid: frozenset[str],
) -> PathQuery | None:
    """Build the query for a path that runs a request.

    :param avoid: names of replicas that the path must not use.
    :returns: ``None`` if the service is unknown or has no model.
    """
    profile = get_profile(context, request.service)
    if profile is None:
        return None
    now = context.clock.monotonic()
    return PathQuery(
        profile=profile,
        zone=context.startup.zone,
        prompt=request.terms.prompt,
        answer=estimate_answer(request, profile.typical_answer),
        sample=context.draw,
        avoid=avoid,
        local_tokens=context.load.tokens,
        load=_estimate_load(context, request.service, now),
        excess=context.load.list_excess(now),
        step_factors=context.slow_replicas.tracker.list_slow(now),
    )


def _estimate_load(
    context: RelayContext, service: str, now: float
) -> LoadEstimate:
    """Estimate the load of all nodes, or read it where it is known."""
    estimate = context.load.estimate(now)
    load = context.reservations.find_load(service)
    return estimate if load is None else load.merge(service, estimate)


def count_tokens(context: RelayContext, request: AdmittedRequest) -> int:
    """Count the tokens of a request's prompt and expected answer."""
    profile = get_profile(context, request.service)
    typical = profile.typical_answer if profile else 0
    return request.terms.prompt + estimate_answer(request, typical)


def estimate_answer(request: AdmittedRequest, typical: float) -> int:
    """Estimate the number of tokens of an answer.

    The client's hint is right at the median but often far off, so the mean of
    the hint and the typical length is used.
    """
    limit = request.terms.answer or int(typical)
    hint = request.terms.hint
    guess = typical if hint is None else (hint + typical) / 2
    return max(1, min(limit, int(guess)))
