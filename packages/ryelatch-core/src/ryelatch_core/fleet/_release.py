"""Frees a replica in the middle of a pool, so that it can close a gap.

When a replica that held a quarter of the model is lost, its neighbours can
reach only a few layers into the gap. Laying the whole zone out anew makes
nearly every replica give up what it holds, wait for the requests that pass
through it and load most of a model: measured, 11 s without a path in the zone.
Here two neighbours grow over what one replica holds, and that one alone
moves into the gap: three loads of a few layers instead of thirteen.
"""

import itertools
from collections.abc import Iterable, Iterator

from ryelatch_core.fleet._pool import Move, PoolPlan, Step, fit_replica
from ryelatch_core.fleet._types import LayerRange, Replica


def list_releases(
    free: Iterable[Replica],
    plan: PoolPlan,
    room: float,
    *,
    moves_spared: bool,
) -> Iterator[Step]:
    """List the steps that move a replica into a gap and cover what it held.

    :param free: replicas that may be given orders.
    :param room: usual requests for which a changed replica keeps room.
    :param moves_spared: whether replicas may move that stand in for others.
    """
    gap = plan.find_gap()
    if gap is None:
        return
    holders = [one for one in free if plan.held[one.name]]
    for replica in holders:
        if plan.is_spared(replica) and not moves_spared:
            continue
        windows = list(_list_windows(replica, plan, room, gap))
        covers = _list_covers(replica, holders, plan, room) if windows else ()
        for cover, window in itertools.product(covers, windows):
            yield (*cover, Move(replica, window))


def _list_windows(
    replica: Replica,
    plan: PoolPlan,
    room: float,
    gap: LayerRange,
) -> Iterator[LayerRange]:
    """List the ranges at both ends of the gap."""
    size = min(fit_replica(replica, plan.profile, room), len(gap))
    if size:
        yield LayerRange(gap.first, gap.first + size)
        yield LayerRange(gap.end - size, gap.end)


def _list_covers(
    replica: Replica,
    holders: Iterable[Replica],
    plan: PoolPlan,
    room: float,
) -> Iterator[Step]:
    """List the growths of neighbours over what a replica holds."""
    layers = plan.held[replica.name]
    assert layers is not None
    others = [one for one in holders if one.name != replica.name]
    befores = [one for one in others if _reaches(plan, one, layers.first)]
    afters = [one for one in others if _reaches(plan, one, layers.end)]
    splits = range(layers.first, layers.end + 1)
    for before, after, split in itertools.product(befores, afters, splits):
        grown = (
            _grow(before, plan, LayerRange(layers.first, split)),
            _grow(after, plan, LayerRange(split, layers.end)),
        )
        cover = tuple(filter(None, grown))
        if all(_fits(move, plan, room) for move in cover):
            yield cover


def _reaches(plan: PoolPlan, replica: Replica, layer: int) -> bool:
    """Whether a replica holds layers on at least one side of a cut."""
    held = plan.held[replica.name]
    return held is not None and held.first <= layer <= held.end


def _grow(replica: Replica, plan: PoolPlan, part: LayerRange) -> Move | None:
    """Grow a replica over a part beside it; nothing if it holds all of it."""
    held = plan.held[replica.name]
    assert held is not None
    grown = LayerRange(min(held.first, part.first), max(held.end, part.end))
    if not len(part) or grown == held:
        return None
    return Move(replica, grown)


def _fits(move: Move, plan: PoolPlan, room: float) -> bool:
    return len(move.layers) <= fit_replica(move.replica, plan.profile, room)
