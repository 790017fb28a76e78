"""Plans which engine should change its layers so that none is missing."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Holding:
    """The layers that an engine holds.

    :param first: first layer of the range.
    :param last: layer after the last one; equal to ``first`` if it holds none.
    :param rate: positions per second for its range.
    """

    name: str
    first: int
    last: int
    rate: float = 1


@dataclass(frozen=True)
class Move:
    """A command for an engine to hold other layers.

    :param reason: why, for the event that records the command.
    """

    name: str
    first: int
    last: int
    reason: str


def find_gaps(
    holdings: Iterable[Holding], layers: int
) -> list[tuple[int, int]]:
    """List the ranges of layers that no engine holds."""
    holders = _count_holders(holdings)
    missing = [layer for layer in range(layers) if not holders[layer]]
    starts = [layer for layer in missing if layer - 1 not in missing]
    ends = [layer + 1 for layer in missing if layer + 1 not in missing]
    return list(zip(starts, ends, strict=True))


def plan_repair(holdings: Sequence[Holding], layers: int) -> Move | None:
    """Plan the next move.

    Layers that no engine holds go to an engine without layers, else to one
    whose layers are all held by others as well, preferably by many others.
    An engine without layers goes to the range with the lowest total rate if
    there is no gap to fill.

    :returns: the move, or ``None`` if no move is needed or possible.
    """
    gaps = find_gaps(holdings, layers)
    spares = [holding for holding in holdings if holding.first == holding.last]
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


def _count_holders(holdings: Iterable[Holding]) -> Counter[int]:
    return Counter(
        layer
        for holding in holdings
        for layer in range(holding.first, holding.last)
    )


def _find_donor(holdings: Sequence[Holding]) -> Holding | None:
    holders = _count_holders(holdings)
    redundancy = {
        holding.name: min(
            holders[layer] for layer in range(holding.first, holding.last)
        )
        for holding in holdings
    }
    donors = [holding for holding in holdings if redundancy[holding.name] > 1]
    return max(
        donors,
        key=lambda holding: (redundancy[holding.name], -holding.rate),
        default=None,
    )


def _find_weakest(holdings: Sequence[Holding]) -> tuple[int, int]:
    """Find the range whose engines have the lowest total rate."""
    ranges = {(holding.first, holding.last) for holding in holdings} - {(0, 0)}
    held = {pair for pair in ranges if pair[0] < pair[1]}
    return min(
        held,
        key=lambda pair: sum(
            holding.rate
            for holding in holdings
            if (holding.first, holding.last) == pair
        ),
    )
