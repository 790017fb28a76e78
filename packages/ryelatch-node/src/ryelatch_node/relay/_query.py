"""Says what a path is wanted for."""

from ryelatch_core.fleet import ModelProfile, PathQuery
from ryelatch_node.relay._exchange import Inquiry
from ryelatch_node.relay._parts import Parts


def find_profile(parts: Parts, service: str) -> ModelProfile | None:
    """Find the model of a service; nothing if it has none."""
    table = parts.configuration.table
    terms = table and table.configuration.services.get(service)
    return terms.model if terms else None


def make_query(
    parts: Parts,
    inquiry: Inquiry,
    avoid: frozenset[str],
) -> PathQuery | None:
    """Say what a path is wanted for.

    :returns: nothing if the service has no model.
    """
    profile = find_profile(parts, inquiry.service)
    if profile is None:
        return None
    now = parts.clock.monotonic()
    return PathQuery(
        profile=profile,
        zone=parts.startup.zone,
        prompt=inquiry.terms.prompt,
        answer=expect_answer(inquiry, profile.usual_answer),
        draw=parts.draw,
        avoid=avoid,
        own_tokens=parts.load.tokens,
        load=parts.load.estimate(now),
        excess=parts.load.list_excess(now),
        paces=parts.paces.book.list_slow(now),
    )


def expect_answer(inquiry: Inquiry, usual: float) -> int:
    """Estimate the tokens of an answer.

    The client's guess is right at the median and often far off, so it is
    taken half and half with the usual length.
    """
    most = inquiry.terms.answer or int(usual)
    hint = inquiry.terms.hint
    guess = usual if hint is None else (hint + usual) / 2
    return max(1, min(most, int(guess)))
