"""Chains of engines whose layer ranges cover a model exactly once."""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass

from result import Err, Ok, Result

from ryelatch_core.pipeline._frames import Hello, Receipt, Step


@dataclass(frozen=True)
class Candidate:
    """An engine that can serve as a stage of a chain.

    :param first: first layer that it holds.
    :param last: layer after the last one that it holds.
    :param cost: expected duration of a step at present, in seconds.
    """

    name: str
    zone: str
    first: int
    last: int
    version: str
    cost: float = 0


@dataclass(frozen=True)
class ChainError:
    """Why no chain exists, or why a chain is rejected.

    :param reason: machine-readable, such as ``gap``.
    :param layer: layer at which the problem was found, where known.
    """

    reason: str
    layer: int = 0


Chain = tuple[Candidate, ...]


def check_chain(
    chain: Chain,
    layers: int,
    version: str,
) -> Result[None, ChainError]:
    """Reject a chain that would skip or repeat layers or mix versions.

    Engines change their ranges and versions at any time, so a chain built
    from reports of different moments may have a gap or an overlap, and the
    client would receive plausible but wrong text. The chain is checked before
    the first token, and each receipt is compared with its step as well.
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
    candidates: Iterable[Candidate],
    layers: int,
    version: str,
    hop_cost: dict[tuple[str, str], float],
) -> Result[Chain, ChainError]:
    """Find the chain with the lowest total cost.

    Computes a shortest path over layer boundaries: visits the engines in the
    order of their first layer, and keeps only the cheapest partial chain for
    each boundary and availability zone. Processor time grows with engines
    times zones.

    :param hop_cost: seconds between two zones; 0 for pairs not listed.
    """
    best: dict[tuple[int, str], tuple[float, Chain]] = {}
    matching = sorted(
        (candidate for candidate in candidates if candidate.version == version),
        key=lambda candidate: (candidate.first, candidate.last),
    )
    for candidate in matching:
        if candidate.first == 0:
            prefix: tuple[float, Chain] | None = (0, ())
        else:
            prefix = _find_cheapest_prefix(best, candidate, hop_cost)
        if prefix is None:
            continue
        total = prefix[0] + candidate.cost
        cheapest = best.get((candidate.last, candidate.zone))
        if cheapest is None or total < cheapest[0]:
            best[candidate.last, candidate.zone] = (
                total,
                (*prefix[1], candidate),
            )
    complete = [entry for (last, _), entry in best.items() if last == layers]
    if not complete:
        covered = max((last for last, _ in best), default=0)
        return Err(ChainError('no-chain', covered))
    return Ok(min(complete, key=lambda entry: entry[0])[1])


def _find_cheapest_prefix(
    best: dict[tuple[int, str], tuple[float, Chain]],
    candidate: Candidate,
    hop_cost: dict[tuple[str, str], float],
) -> tuple[float, Chain] | None:
    options = [
        (entry[0] + hop_cost.get((zone, candidate.zone), 0), entry[1])
        for (last, zone), entry in best.items()
        if last == candidate.first
    ]
    return min(options, key=lambda option: option[0], default=None)


def make_candidate(hello: Hello, zone: str, cost: float) -> Candidate:
    """Make a candidate from the description that an engine sent."""
    return Candidate(
        hello.name, zone, hello.first, hello.last, hello.version, cost
    )


def matches_step(step: Step, receipt: Receipt) -> bool:
    """Return whether a receipt covers exactly what a step asked for.

    Compares the layers, the number of positions and the version.
    """
    return (
        step.first == receipt.first
        and step.last == receipt.last
        and step.count == receipt.count
        and step.version == receipt.version
    )


def split_prompt(length: int, chunk: int) -> list[tuple[int, int]]:
    """Split the positions of a prompt into chunks of one step each.

    :returns: pairs of first position and position after the last.
    """
    starts = range(0, length, chunk)
    return list(
        itertools.zip_longest(starts, starts[1:], fillvalue=length),
    )
