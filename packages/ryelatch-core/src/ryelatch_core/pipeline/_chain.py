"""Chains of engines whose layer ranges tile a model."""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass

from result import Err, Ok, Result

from ryelatch_core.pipeline._frames import Hello, Receipt, Step


@dataclass(frozen=True)
class Candidate:
    """An engine that may take part in a chain.

    :param cost: seconds that a step is expected to take there now.
    """

    name: str
    zone: str
    first: int
    last: int
    version: str
    cost: float = 0


@dataclass(frozen=True)
class ChainError:
    """Why no chain can be had, or why one is refused.

    :param reason: machine-readable, such as ``gap``.
    """

    reason: str
    layer: int = 0


Chain = tuple[Candidate, ...]


def check_chain(
    chain: Chain,
    layers: int,
    version: str,
) -> Result[None, ChainError]:
    """Refuse a chain that would skip, double or mix layers.

    Engines change ranges and versions on their own time, so a chain built
    from two views a moment apart may have a gap or an overlap; the caller
    would see a plausible and wrong text. Checked before the first token, and
    each receipt is held against its step again.
    """
    expected = 0
    for stage in chain:
        if stage.version != version:
            return Err(ChainError('version', stage.first))
        if stage.first != expected:
            reason = 'gap' if stage.first > expected else 'overlap'
            return Err(ChainError(reason, expected))
        if stage.last <= stage.first:
            return Err(ChainError('empty', stage.first))
        expected = stage.last
    if expected != layers:
        return Err(ChainError('gap' if expected < layers else 'overlap'))
    return Ok(None)


def choose_chain(
    offers: Iterable[Candidate],
    layers: int,
    version: str,
    hop_cost: dict[tuple[str, str], float],
) -> Result[Chain, ChainError]:
    """Find the chain that costs least.

    A shortest path over layer boundaries: engines in order of their first
    layer, and for each boundary and availability zone only the best way to
    get there. Processor time grows with engines times zones.

    :param hop_cost: seconds between two zones; pairs not named cost nothing.
    """
    best: dict[tuple[int, str], tuple[float, Chain]] = {}
    fitting = sorted(
        (offer for offer in offers if offer.version == version),
        key=lambda offer: (offer.first, offer.last),
    )
    for offer in fitting:
        if offer.first == 0:
            reached: tuple[float, Chain] | None = (0, ())
        else:
            reached = _arrive(best, offer, hop_cost)
        if reached is None:
            continue
        total = reached[0] + offer.cost
        known = best.get((offer.last, offer.zone))
        if known is None or total < known[0]:
            best[offer.last, offer.zone] = (total, (*reached[1], offer))
    ends = [entry for (last, _), entry in best.items() if last == layers]
    if not ends:
        covered = max((last for last, _ in best), default=0)
        return Err(ChainError('no-chain', covered))
    return Ok(min(ends, key=lambda entry: entry[0])[1])


def _arrive(
    best: dict[tuple[int, str], tuple[float, Chain]],
    offer: Candidate,
    hop_cost: dict[tuple[str, str], float],
) -> tuple[float, Chain] | None:
    ways = [
        (entry[0] + hop_cost.get((zone, offer.zone), 0), entry[1])
        for (last, zone), entry in best.items()
        if last == offer.first
    ]
    return min(ways, key=lambda way: way[0], default=None)


def make_candidate(hello: Hello, zone: str, cost: float) -> Candidate:
    """Make an offer of what an engine says of itself."""
    return Candidate(hello.name, zone, hello.first, hello.last, hello.version, cost)


def matches_step(step: Step, receipt: Receipt) -> bool:
    """Tell whether an engine ran just the layers and positions asked for."""
    return (
        step.first == receipt.first
        and step.last == receipt.last
        and step.count == receipt.count
        and step.version == receipt.version
    )


def split_prompt(length: int, chunk: int) -> list[tuple[int, int]]:
    """Cut positions into chunks of a step each, as (start, end) pairs."""
    starts = range(0, length, chunk)
    return list(
        itertools.zip_longest(starts, starts[1:], fillvalue=length),
    )
