"""Which engine should hold other layers, and why."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Holding:
    """The layers that an engine holds; none if first and last are equal."""

    name: str
    first: int
    last: int
    rate: float = 1


@dataclass(frozen=True)
class Move:
    """An order to hold other layers.

    :param reason: for the event that tells of it.
    """

    name: str
    first: int
    last: int
    reason: str


def find_gaps(
    holdings: Iterable[Holding], layers: int
) -> list[tuple[int, int]]:
    """List the ranges of layers that no engine holds."""
    covered = _count_cover(holdings)
    missing = [layer for layer in range(layers) if not covered[layer]]
    starts = [layer for layer in missing if layer - 1 not in missing]
    ends = [layer + 1 for layer in missing if layer + 1 not in missing]
    return list(zip(starts, ends, strict=True))


def plan_repair(holdings: Sequence[Holding], layers: int) -> Move | None:
    """Plan the next order, or none if the engines stand well.

    A range that nobody holds goes to an engine that holds nothing, else to
    one whose every layer is held by another too: of those, one out of the
    range held by most. An engine without layers and without a gap to fill
    goes where the least work can be done.
    """
    gaps = find_gaps(holdings, layers)
    spares = [one for one in holdings if one.first == one.last]
    if gaps:
        first, last = gaps[0]
        donor = spares[0] if spares else _find_donor(holdings)
        if donor is None:
            return None
        return Move(donor.name, first, last, 'layers without an engine')
    if spares:
        first, last = _find_weakest(holdings)
        return Move(spares[0].name, first, last, 'an engine without layers')
    return None


def _count_cover(holdings: Iterable[Holding]) -> Counter[int]:
    return Counter(
        layer
        for holding in holdings
        for layer in range(holding.first, holding.last)
    )


def _find_donor(holdings: Sequence[Holding]) -> Holding | None:
    covered = _count_cover(holdings)
    spread = {
        one.name: min(covered[layer] for layer in range(one.first, one.last))
        for one in holdings
    }
    donors = [one for one in holdings if spread[one.name] > 1]
    return max(
        donors, key=lambda one: (spread[one.name], -one.rate), default=None
    )


def _find_weakest(holdings: Sequence[Holding]) -> tuple[int, int]:
    """Find the range whose engines together do the least work."""
    ranges = {(one.first, one.last) for one in holdings} - {(0, 0)}
    busy = {pair for pair in ranges if pair[0] < pair[1]}
    return min(
        busy,
        key=lambda pair: sum(
            one.rate for one in holdings if (one.first, one.last) == pair
        ),
    )
