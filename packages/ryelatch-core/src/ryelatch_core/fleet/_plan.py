"""Decides which replica holds which layers.

Each availability zone holds complete copies of the model if it can, so that
paths stay within a zone. A request may go to any zone as a whole, but a change
of zone in the middle of a path moves all its activations. Zones that are too
small for a copy are planned together.

Weights and KV caches share the memory of a replica, and the memory left for
caches limits the requests in progress. The headroom of a replica is the number
of typical requests whose KV caches fit beside its weights. The cost of a plan
is lower the more tokens fit at each layer; a layer that no replica holds
outweighs all else. Starting from the current plan, the step with the largest
benefit is taken repeatedly, as long as the benefit justifies a load of
weights.
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
"""Headrooms that a repair leaves to the changed replicas, best first.

Two neighbours that each take half of a gap keep more headroom than one that
takes all of it. A zone has 40 requests in progress at the peak, and 75 during
an outage of another zone.
"""

_SCARCE_HEADROOMS = (30, 20, MIN_HEADROOM)
"""Headrooms that are tried when no ample headroom is possible."""

_RANGE_HEADROOMS = (150, 110, 80, 60, 44, 30, 20, 8)
"""Headrooms for which candidate ranges are sized.

More values find little more.
"""

_MIN_BENEFIT = 0.045
"""Fraction of a plan's cost that a step must save.

If all layers of a single copy have about equal headroom, one more replica
saves 4 in 100. With three copies, the loss of a replica of four layers raises
the cost by 6 in 100.
"""

_MIN_SPARE_BENEFIT = 0.1
"""Fraction of the cost that a step with a last empty replica must save.

These are kept for later losses. If neighbours have closed a gap, or a replica
has restarted without layers, such a step saves 15 in 100 and more.
"""

_SPARE_FRACTION = 0.066
"""Fraction of a pool that counts as its last empty replicas, at least one.

Mostly one replica in fifteen is lost at a time, and the smallest pools have
about fifteen.
"""

_MAX_MOVES = 8
"""Number of commands after which no further step is planned for a pool.

More than six loads at a time slow each other down. A step of three commands
may begin below this limit and exceed it.
"""


def plan_moves(
    replicas: Iterable[Replica],
    profile: ModelProfile,
    *,
    allow_relayout: bool = False,
) -> tuple[Move, ...]:
    """Plan the commands that complete and improve the copies of each zone.

    :param replicas: all replicas of the service that are alive.
    :param allow_relayout: whether to assign all layers of a pool anew if single
        steps can't close its gaps.
    :returns: the commands; empty if no step has enough benefit.
    """
    return tuple(
        itertools.chain.from_iterable(
            _plan_pool(pool, profile, allow_relayout=allow_relayout)
            for pool in make_pools(replicas, profile)
        )
    )


def lacks_layers(
    replicas: Iterable[Replica],
    profile: ModelProfile,
) -> bool:
    """Return whether any pool of replicas lacks layers."""
    return any(
        PoolPlan(pool, profile).find_gap() is not None
        for pool in make_pools(replicas, profile)
    )


def _plan_pool(
    pool: list[Replica],
    profile: ModelProfile,
    *,
    allow_relayout: bool,
) -> list[Move]:
    if not any(replica.layers for replica in pool):
        return place_copies(pool, profile)
    return _improve(pool, profile, allow_relayout=allow_relayout)


def _improve(
    pool: list[Replica],
    profile: ModelProfile,
    *,
    allow_relayout: bool,
) -> list[Move]:
    """Close the gaps with the largest headroom possible, then improve the plan.

    Redundant replicas move only if no plan without them leaves ample headroom.
    Before they give up their layers, they wait for the streams that pass
    through them to end, which takes up to ten seconds.
    """
    moves: list[Move] = []
    for headroom, moves_redundant in (
        *itertools.product(_AMPLE_HEADROOMS, (False,)),
        *itertools.product(_AMPLE_HEADROOMS + _SCARCE_HEADROOMS, (True,)),
    ):
        plan = PoolPlan(pool, profile)
        options = _StepOptions(headroom, allow_relayout, moves_redundant)
        moves = _take_steps(pool, plan, options)
        if plan.find_gap() is None:
            return moves
    return relayout_pool(pool, profile) if allow_relayout else moves


@dataclass(frozen=True, slots=True)
class _StepOptions:
    """Limits of the steps of a plan.

    :param headroom: typical requests for which a changed replica keeps memory.
    :param allow_relayout: whether gaps have persisted.
    :param moves_redundant: whether replicas may move whose layers are held by
        others as well.
    """

    headroom: int
    allow_relayout: bool
    moves_redundant: bool


def _take_steps(
    pool: list[Replica],
    plan: PoolPlan,
    options: _StepOptions,
) -> list[Move]:
    """Take the steps with the largest benefit, at most one for each replica."""
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
    """Choose the fraction of the cost that the next step must save."""
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
    """List the ranges that a replica may be commanded to hold next.

    A serving replica keeps its layers and may extend into a gap, since it
    would have to wait for the requests that pass through any layers that it
    gave up. It moves elsewhere only if a gap persists and others hold all its
    layers.
    """
    layers = plan.held[replica.name]
    gap = plan.find_gap()
    if layers is None:
        yield from _list_ranges(replica, plan, options.headroom, gap)
    elif gap is not None:
        max_layers = fit_replica(replica, plan.profile, options.headroom)
        yield from _list_extensions(replica, layers, max_layers, gap)
        moves = options.allow_relayout and options.moves_redundant
        if moves and plan.is_redundant(replica):
            yield from _list_ranges(replica, plan, options.headroom, gap)


def _list_ranges(
    replica: Replica,
    plan: PoolPlan,
    headroom: float,
    gap: LayerRange | None,
) -> Iterator[Move]:
    """List ranges for a replica that keep at least the given headroom.

    A path holds only as many requests as its fullest replica. A replica that
    closes half of a gap and then has memory for fourteen requests limits the
    whole zone.
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
