"""Frees a replica in the middle of a pool, so that it can close a gap.

When a replica that held a quarter of the model is lost, its neighbours can
extend only a few layers into the gap. If the layers of the whole zone are
assigned anew, nearly every replica gives up its layers, waits for the requests
that pass through it and loads a large part of the model; a zone had no path
for 11 s. Instead, two neighbours extend over the layers of one replica, and
only that replica moves into the gap. This takes three loads of a few layers
instead of thirteen.
"""

import itertools
from collections.abc import Iterable, Iterator

from ryelatch_core.fleet._pool import Move, PoolPlan, Step, fit_replica
from ryelatch_core.fleet._types import LayerRange, Replica


def list_releases(
    free: Iterable[Replica],
    plan: PoolPlan,
    headroom: float,
    *,
    moves_redundant: bool,
) -> Iterator[Step]:
    """List steps that move a replica into a gap and cover its former layers.

    :param free: replicas that may be given commands.
    :param headroom: typical requests for which a changed replica keeps memory.
    :param moves_redundant: whether replicas may move whose layers are held by
        others as well.
    """
    gap = plan.find_gap()
    if gap is None:
        return
    holders = [holder for holder in free if plan.held[holder.name]]
    for replica in holders:
        if plan.is_redundant(replica) and not moves_redundant:
            continue
        ranges = list(_list_ranges(replica, plan, headroom, gap))
        covers = (
            _list_covers(replica, holders, plan, headroom) if ranges else ()
        )
        for cover, window in itertools.product(covers, ranges):
            yield (*cover, Move(replica, window))


def _list_ranges(
    replica: Replica,
    plan: PoolPlan,
    headroom: float,
    gap: LayerRange,
) -> Iterator[LayerRange]:
    """List the ranges at both ends of the gap."""
    size = min(fit_replica(replica, plan.profile, headroom), len(gap))
    if size:
        yield LayerRange(gap.first, gap.first + size)
        yield LayerRange(gap.end - size, gap.end)


def _list_covers(
    replica: Replica,
    holders: Iterable[Replica],
    plan: PoolPlan,
    headroom: float,
) -> Iterator[Step]:
    """List the extensions of neighbours that cover the layers of a replica."""
    layers = plan.held[replica.name]
    assert layers is not None
    others = [other for other in holders if other.name != replica.name]
    predecessors = [
        other for other in others if _reaches(plan, other, layers.first)
    ]
    successors = [
        other for other in others if _reaches(plan, other, layers.end)
    ]
    splits = range(layers.first, layers.end + 1)
    for predecessor, successor, split in itertools.product(
        predecessors, successors, splits
    ):
        grown = (
            _grow(predecessor, plan, LayerRange(layers.first, split)),
            _grow(successor, plan, LayerRange(split, layers.end)),
        )
        cover = tuple(filter(None, grown))
        if all(_fits(move, plan, headroom) for move in cover):
            yield cover


def _reaches(plan: PoolPlan, replica: Replica, layer: int) -> bool:
    """Return whether a replica's layers include or touch a boundary."""
    held = plan.held[replica.name]
    return held is not None and held.first <= layer <= held.end


def _grow(replica: Replica, plan: PoolPlan, part: LayerRange) -> Move | None:
    """Extend a replica over an adjacent part; None if it holds all of that."""
    held = plan.held[replica.name]
    assert held is not None
    grown = LayerRange(min(held.first, part.first), max(held.end, part.end))
    if not len(part) or grown == held:
        return None
    return Move(replica, grown)


def _fits(move: Move, plan: PoolPlan, headroom: float) -> bool:
    return len(move.layers) <= fit_replica(move.replica, plan.profile, headroom)
