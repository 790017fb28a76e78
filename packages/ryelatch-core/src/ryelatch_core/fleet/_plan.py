"""Decides which replica holds which layers.

Each availability zone holds a whole copy of the model where it can, so that
paths stay inside their zone, and a part of a second one: the layers of the
replica whose loss would hurt most, so that whole paths are left before any
repair. Zones too small for a copy are planned together.

Plans change little: a load takes seconds and has its price, so a replica
that holds layers keeps them unless a gap can be closed in no other way.
"""

import itertools
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ryelatch_core.fleet._coverage import (
    count_holders,
    find_gaps,
    is_redundant,
)
from ryelatch_core.fleet._performance import fit_layers
from ryelatch_core.fleet._types import (
    Accelerator,
    LayerRange,
    ModelProfile,
    Replica,
)

_ROOMS = (200, 160, 130, 110, 95, 80, 70, 60, 50, 40, 30, 20, 12, 8)
"""Requests for which a replica keeps room, tried from the most."""

_LEAST_ROOM = 8
"""Requests that must fit beside the layers that a repair adds.

Below this a replica refuses more than it serves, as sizes differ threefold.
"""


@dataclass(frozen=True, slots=True)
class Move:
    """An order to a replica to hold a range of layers."""

    replica: Replica
    layers: LayerRange


def plan_moves(
    replicas: Iterable[Replica],
    profile: ModelProfile,
) -> tuple[Move, ...]:
    """Plan the orders that complete each zone's copy of the model.

    :param replicas: all replicas of the service that are alive.
    :returns: nothing where each pool of replicas holds all layers.
    """
    usable = [
        replica
        for replica in replicas
        if replica.accelerator in profile.accelerators and not replica.leaving
    ]
    pools = _make_pools(usable, profile)
    return tuple(
        itertools.chain.from_iterable(
            _plan_pool(pool, profile) for pool in pools
        )
    )


def _make_pools(
    usable: list[Replica],
    profile: ModelProfile,
) -> list[list[Replica]]:
    """Group replicas by zone where a zone can hold all layers."""
    zones: dict[str, list[Replica]] = {}
    for replica in sorted(usable, key=lambda one: one.name):
        zones.setdefault(replica.zone, []).append(replica)
    whole = [pool for pool in zones.values() if _count_most(pool, profile)]
    if len(whole) == len(zones):
        return whole
    return [list(itertools.chain.from_iterable(zones.values()))]


def _count_most(pool: list[Replica], profile: ModelProfile) -> bool:
    """Whether a pool can hold all layers with the least room."""
    fitting = _fit_pool(pool, profile, _LEAST_ROOM)
    return sum(fitting.values()) >= profile.layers


def _fit_pool(
    pool: Iterable[Replica],
    profile: ModelProfile,
    room: float,
) -> dict[str, int]:
    return {
        replica.name: fit_layers(profile, _kind_of(replica, profile), room)
        for replica in pool
    }


def _kind_of(replica: Replica, profile: ModelProfile) -> Accelerator:
    return profile.accelerators[replica.accelerator]


def _plan_pool(pool: list[Replica], profile: ModelProfile) -> list[Move]:
    held = [replica.layers for replica in pool if replica.layers]
    if not held:
        return _plan_empty(pool, profile)
    gaps = find_gaps(profile.layers, held)
    return _close_gaps(pool, profile, gaps) if gaps else []


def _plan_empty(pool: list[Replica], profile: ModelProfile) -> list[Move]:
    """Plan a pool that holds nothing.

    The room kept for requests is the largest with which the pool still holds
    all layers and the largest range twice. The fastest replicas make up the
    copy; the slower ones repeat its beginning, which the largest hold.
    """
    fitting = _choose_fit(pool, profile)
    order = sorted(
        (replica for replica in pool if fitting[replica.name]),
        key=lambda one: (_kind_of(one, profile).step_factor, one.name),
    )
    moves: list[Move] = []
    first = 0
    for replica in order:
        if first >= profile.layers:
            first = 0
        end = min(first + fitting[replica.name], profile.layers)
        moves.append(Move(replica, LayerRange(first, end)))
        first = end
    return moves


def _choose_fit(pool: list[Replica], profile: ModelProfile) -> dict[str, int]:
    """Choose how many layers each replica of a pool should hold."""
    fits = [_fit_pool(pool, profile, room) for room in _ROOMS]
    spared = (
        fit
        for fit in fits
        if sum(fit.values()) >= profile.layers + max(fit.values(), default=0)
    )
    whole = (fit for fit in fits if sum(fit.values()) >= profile.layers)
    return next(itertools.chain(spared, whole), fits[-1])


def _close_gaps(
    pool: list[Replica],
    profile: ModelProfile,
    gaps: list[LayerRange],
) -> list[Move]:
    """Close gaps by empty replicas, then by spared ones, then by growth."""
    most = _fit_pool(pool, profile, _LEAST_ROOM)
    taken: dict[str, Move] = {}
    for gap in gaps:
        for part in _cut_gap(gap, pool, most, taken):
            move = _find_move(part, pool, profile, most, taken)
            if move is not None:
                taken[move.replica.name] = move
    return list(taken.values())


def _cut_gap(
    gap: LayerRange,
    pool: list[Replica],
    most: Mapping[str, int],
    taken: Mapping[str, Move],
) -> list[LayerRange]:
    """Cut a gap into parts that one replica each can hold."""
    free = (most[one.name] for one in pool if one.name not in taken)
    largest = max(free, default=0)
    if not largest:
        return []
    parts = -(-len(gap) // largest)
    size = -(-len(gap) // parts)
    return [
        LayerRange(first, min(first + size, gap.end))
        for first in range(gap.first, gap.end, size)
    ]


def _find_move(
    part: LayerRange,
    pool: list[Replica],
    profile: ModelProfile,
    most: Mapping[str, int],
    taken: Mapping[str, Move],
) -> Move | None:
    free = [one for one in pool if one.name not in taken]
    able = [one for one in free if most[one.name] >= len(part)]
    empty = [one for one in able if one.layers is None]
    if empty:
        # The smallest that fits: larger ones may be needed for larger gaps.
        return Move(min(empty, key=lambda one: most[one.name]), part)
    counts = count_holders(
        profile.layers, [one.layers for one in free if one.layers]
    )
    spared = [
        one for one in able if one.layers and is_redundant(counts, one.layers)
    ]
    grown = _grow(part, free, most)
    if grown is not None and (not spared or len(part) <= 2):
        return grown
    if spared:
        return Move(min(spared, key=lambda one: most[one.name]), part)
    return None


def _grow(
    part: LayerRange,
    free: list[Replica],
    most: Mapping[str, int],
) -> Move | None:
    """Let a neighbour of a gap hold its layers as well."""
    grown = (
        Move(one, _span(one.layers, part))
        for one in free
        if one.layers
        and (one.layers.end == part.first or one.layers.first == part.end)
    )
    fitting = [
        move for move in grown if len(move.layers) <= most[move.replica.name]
    ]
    return min(
        fitting,
        key=lambda move: len(move.layers) / most[move.replica.name],
        default=None,
    )


def _span(held: LayerRange, part: LayerRange) -> LayerRange:
    return LayerRange(min(held.first, part.first), max(held.end, part.end))
