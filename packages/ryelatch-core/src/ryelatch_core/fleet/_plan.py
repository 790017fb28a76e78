"""Decides which replica holds which layers.

Each availability zone holds whole copies of the model where it can, so that
paths stay inside a zone: a request may go to any zone whole, but a change of
zone in the middle of a path moves all its activations. Zones too small for a
copy are planned together.

Weights and caches share the memory of a replica, and what is left for caches
bounds the requests in progress. A plan is the better the more tokens fit at
each layer; a layer that nobody holds weighs more than all else. From a plan
in force the step that helps most is taken, again and again, while it helps
enough to be worth a load of weights.
"""

import itertools
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from ryelatch_core.fleet._copies import place_copies, relayout_pool
from ryelatch_core.fleet._pool import (
    Move,
    PoolPlan,
    Step,
    fit_replica,
)
from ryelatch_core.fleet._release import list_releases
from ryelatch_core.fleet._types import LayerRange, ModelProfile, Replica
from ryelatch_core.fleet._zones import MIN_HEADROOM, make_pools

_AMPLE_HEADROOMS = (110, 80, 60, 44)
"""Rooms that a repair leaves to the replicas that it changes, best first.

Two neighbours that take a half of a gap each keep more room than one that
takes all of it. A zone has 40 requests in progress at the peak, 75 while
another zone is out.
"""

_SCARCE_HEADROOMS = (30, 20, MIN_HEADROOM)
"""The same where no ample room can be left."""

_RANGE_HEADROOMS = (150, 110, 80, 60, 44, 30, 20, 8)
"""Rooms for which ranges are tried in a step; more finds little more."""

_MIN_BENEFIT = 0.045
"""Share of a plan's weight that a step must save.

Where all layers of one copy have about the same room, one more replica saves
4 in 100. Of three copies one that lost a replica of four layers weighs 6 in
100 more.
"""

_MIN_SPARE_BENEFIT = 0.1
"""The same for a step that uses one of the last empty replicas.

These are for losses to come: where neighbours have closed a gap, or one has
come back empty, it saves 15 in 100 and more.
"""

_SPARE_FRACTION = 0.066
"""Share of a pool whose replicas are the last empty ones, one at least.

A replica in fifteen is lost at a time, mostly; the smallest pools are as
large.
"""

_MAX_MOVES = 8
"""Orders after which no further step is planned at once for a pool.

More than six loads at a time make each of them slower; a step of three
orders may begin below this and go beyond it.
"""


def plan_moves(
    replicas: Iterable[Replica],
    profile: ModelProfile,
    *,
    thorough: bool = False,
) -> tuple[Move, ...]:
    """Plan the orders that complete and improve each zone's copies.

    :param replicas: all replicas of the service that are alive.
    :param thorough: whether pools may be laid out anew whose gaps no single
        steps can close.
    :returns: nothing where no step helps enough.
    """
    return tuple(
        itertools.chain.from_iterable(
            _plan_pool(pool, profile, thorough=thorough)
            for pool in make_pools(replicas, profile)
        )
    )


def misses_layers(
    replicas: Iterable[Replica],
    profile: ModelProfile,
) -> bool:
    """Whether any pool of replicas lacks layers."""
    return any(
        PoolPlan(pool, profile).find_gap() is not None
        for pool in make_pools(replicas, profile)
    )


def _plan_pool(
    pool: list[Replica],
    profile: ModelProfile,
    *,
    thorough: bool,
) -> list[Move]:
    if not any(replica.layers for replica in pool):
        return place_copies(pool, profile)
    return _improve(pool, profile, thorough=thorough)


def _improve(
    pool: list[Replica],
    profile: ModelProfile,
    *,
    thorough: bool,
) -> list[Move]:
    """Close the gaps with the most room left, and improve what is whole.

    Replicas that stand in for others move only where all others together
    can't leave ample room: they give up their layers when the streams that
    pass have ended, ten seconds later at most.
    """
    moves: list[Move] = []
    for headroom, moves_redundant in (
        *itertools.product(_AMPLE_HEADROOMS, (False,)),
        *itertools.product(_AMPLE_HEADROOMS + _SCARCE_HEADROOMS, (True,)),
    ):
        plan = PoolPlan(pool, profile)
        options = _StepOptions(headroom, thorough, moves_redundant)
        moves = _take_steps(pool, plan, options)
        if plan.find_gap() is None:
            return moves
    return relayout_pool(pool, profile) if thorough else moves


@dataclass(frozen=True, slots=True)
class _StepOptions:
    """What the steps of a plan may do.

    :param headroom: usual requests for which a changed replica keeps room.
    :param thorough: whether gaps have lasted.
    :param moves_redundant: whether replicas may move that stand in for others.
    """

    headroom: int
    thorough: bool
    moves_redundant: bool


def _take_steps(
    pool: list[Replica],
    plan: PoolPlan,
    options: _StepOptions,
) -> list[Move]:
    """Take the steps that help most, one a replica."""
    moves: dict[str, Move] = {}
    while len(moves) < _MAX_MOVES:
        cost = plan.compute_cost()
        free = [replica for replica in pool if replica.name not in moves]
        steps = itertools.chain(
            _list_single_steps(free, plan, options),
            list_releases(
                free,
                plan,
                options.headroom,
                moves_redundant=options.moves_redundant,
            ),
        )
        savings = [(plan.compute_saving(step), step) for step in steps]
        best = max(savings, key=lambda pair: pair[0], default=None)
        if best is None or best[0] < cost * _choose_min_benefit(plan):
            break
        plan.apply(best[1])
        moves.update((move.replica.name, move) for move in best[1])
    return list(moves.values())


def _choose_min_benefit(plan: PoolPlan) -> float:
    """Find the share of the weight that the next step must save."""
    empty = sum(layers is None for layers in plan.held.values())
    few_spares = empty <= max(1, int(len(plan.held) * _SPARE_FRACTION))
    return _MIN_SPARE_BENEFIT if few_spares else _MIN_BENEFIT


def _list_single_steps(
    free: Iterable[Replica],
    plan: PoolPlan,
    options: _StepOptions,
) -> Iterator[Step]:
    for replica in free:
        for move in _list_steps(replica, plan, options):
            yield (move,)


def _list_steps(
    replica: Replica,
    plan: PoolPlan,
    options: _StepOptions,
) -> Iterator[Move]:
    """List the ranges that a replica may be ordered to hold next.

    One that serves keeps what it holds and may reach into a gap; what it gave
    up would wait for the requests that pass through it. It moves away only
    where a gap lasts and others hold all that it holds.
    """
    layers = plan.held[replica.name]
    gap = plan.find_gap()
    if layers is None:
        yield from _list_ranges(replica, plan, options.headroom, gap)
    elif gap is not None:
        max_layers = fit_replica(replica, plan.profile, options.headroom)
        yield from _list_extensions(replica, layers, max_layers, gap)
        moves = options.thorough and options.moves_redundant
        if moves and plan.is_redundant(replica):
            yield from _list_ranges(replica, plan, options.headroom, gap)


def _list_ranges(
    replica: Replica,
    plan: PoolPlan,
    headroom: float,
    gap: LayerRange | None,
) -> Iterator[Move]:
    """List ranges for an empty replica that keep at least some room.

    A path holds as many requests as its fullest replica, so a replica that
    closes half of a gap and then fits fourteen requests holds up the zone.
    """
    profile = plan.profile
    headrooms = [tried for tried in _RANGE_HEADROOMS if tried >= headroom]
    sizes = {fit_replica(replica, profile, tried) for tried in headrooms}
    for size in sorted(sizes - {0}):
        last = profile.layers - size
        for first in range(max(0, last) + 1):
            layers = LayerRange(first, min(first + size, profile.layers))
            if gap is None or _overlaps(layers, gap):
                yield Move(replica, layers)


def _overlaps(layers: LayerRange, gap: LayerRange) -> bool:
    return layers.first < gap.end and gap.first < layers.end


def _list_extensions(
    replica: Replica,
    layers: LayerRange,
    max_layers: int,
    gap: LayerRange,
) -> Iterator[Move]:
    for size in range(len(layers) + 1, max_layers + 1):
        added = size - len(layers)
        if layers.end == gap.first and added <= len(gap):
            yield Move(replica, LayerRange(layers.first, layers.end + added))
        if layers.first == gap.end and added <= len(gap):
            yield Move(replica, LayerRange(layers.first - added, layers.end))
