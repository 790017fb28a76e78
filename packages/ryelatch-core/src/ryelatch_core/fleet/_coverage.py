"""Which layers are held, how often, and where none are."""

import itertools
from collections.abc import Iterable

from ryelatch_core.fleet._types import LayerRange


def count_holders(layers: int, held: Iterable[LayerRange]) -> list[int]:
    """Count the holders of each layer."""
    counts = list(itertools.repeat(0, layers))
    for held_range in held:
        for layer in range(held_range.first, min(held_range.end, layers)):
            counts[layer] += 1
    return counts


def find_gaps(layers: int, held: Iterable[LayerRange]) -> list[LayerRange]:
    """Find the ranges of layers that nobody holds, in order."""
    gaps: list[LayerRange] = []
    first = 0
    counts = count_holders(layers, held)
    for layer, count in enumerate([*counts, 1]):
        if count:
            if layer > first:
                gaps.append(LayerRange(first, layer))
            first = layer + 1
    return gaps


def is_redundant(counts: list[int], held: LayerRange) -> bool:
    """Whether others hold each layer of a range as well."""
    return all(count > 1 for count in counts[held.first : held.end])
