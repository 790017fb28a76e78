"""Builds the queries with which paths for a request are chosen."""

from ryelatch_core.fleet import ModelProfile, PathQuery
from ryelatch_node.relay._exchange import Inquiry
from ryelatch_node.relay._parts import Parts


def find_profile(parts: Parts, service: str) -> ModelProfile | None:
    """Find the profile of a service's model.

    :returns: ``None`` if the service is unknown or has no model.
    """
    table = parts.configuration.table
    terms = table and table.configuration.services.get(service)
    return terms.model if terms else None


def make_query(
    parts: Parts,
    inquiry: Inquiry,
    avoid: frozenset[str],
) -> PathQuery | None:
    """Build the query for a path that runs a request.

    :param avoid: names of replicas that the path must not use.
    :returns: ``None`` if the service is unknown or has no model.
    """
    profile = find_profile(parts, inquiry.service)
    if profile is None:
        return None
    now = parts.clock.monotonic()
    return PathQuery(
        profile=profile,
        zone=parts.startup.zone,
        prompt=inquiry.terms.prompt,
        answer=estimate_answer(inquiry, profile.usual_answer),
        draw=parts.draw,
        avoid=avoid,
        own_tokens=parts.load.tokens,
        load=parts.load.estimate(now),
        excess=parts.load.list_excess(now),
        paces=parts.paces.book.list_slow(now),
    )


def estimate_answer(inquiry: Inquiry, typical: float) -> int:
    """Estimate the number of tokens of an answer.

    The client's hint is right at the median but often far off, so the mean of
    the hint and the typical length is used.
    """
    limit = inquiry.terms.answer or int(typical)
    hint = inquiry.terms.hint
    guess = typical if hint is None else (hint + typical) / 2
    return max(1, min(limit, int(guess)))
