"""Says what a path is wanted for."""

from ryelatch_core.fleet import ModelProfile, PathQuery
from ryelatch_node.relay._exchange import AdmittedRequest
from ryelatch_node.relay._parts import RelayContext


def find_profile(context: RelayContext, service: str) -> ModelProfile | None:
    """Find the model of a service; nothing if it has none."""
    table = context.configuration.table
    terms = table and table.configuration.services.get(service)
    return terms.model if terms else None


def make_path_query(
    context: RelayContext,
    request: AdmittedRequest,
    avoid: frozenset[str],
) -> PathQuery | None:
    """Say what a path is wanted for.

    :returns: nothing if the service has no model.
    """
    profile = find_profile(context, request.service)
    if profile is None:
        return None
    now = context.clock.monotonic()
    return PathQuery(
        profile=profile,
        zone=context.startup.zone,
        prompt=request.terms.prompt,
        answer=expect_answer(request, profile.typical_answer),
        draw=context.draw,
        avoid=avoid,
        local_tokens=context.load.tokens,
        load=context.load.estimate(now),
        excess=context.load.list_excess(now),
        paces=context.paces.book.list_slow(now),
    )


def expect_answer(request: AdmittedRequest, usual: float) -> int:
    """Estimate the tokens of an answer.

    The client's guess is right at the median and often far off, so it is
    taken half and half with the usual length.
    """
    most = request.terms.answer or int(usual)
    hint = request.terms.hint
    guess = usual if hint is None else (hint + usual) / 2
    return max(1, min(most, int(guess)))
