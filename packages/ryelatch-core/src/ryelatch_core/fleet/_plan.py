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

from ryelatch_core.fleet._copies import lay_anew, lay_copies
from ryelatch_core.fleet._pool import (
    Move,
    PoolPlan,
    Step,
    fit_replica,
)
from ryelatch_core.fleet._release import list_releases
from ryelatch_core.fleet._types import LayerRange, ModelProfile, Replica
from ryelatch_core.fleet._zones import LEAST_ROOM, make_pools

_AMPLE_ROOMS = (110, 80, 60, 44)
"""Rooms that a repair leaves to the replicas that it changes, best first.

Two neighbours that take a half of a gap each keep more room than one that
takes all of it. A zone has 40 requests in progress at the peak, 75 while
another zone is out.
"""

_SCARCE_ROOMS = (30, 20, LEAST_ROOM)
"""The same where no ample room can be left."""

_WINDOW_ROOMS = (150, 110, 80, 60, 44, 30, 20, 8)
"""Rooms for which ranges are tried in a step; more finds little more."""

_WORTH = 0.045
"""Share of a plan's weight that a step must save.

Where all layers of one copy have about the same room, one more replica saves
4 in 100. Of three copies one that lost a replica of four layers weighs 6 in
100 more.
"""

_SPARE_WORTH = 0.1
"""The same for a step that uses one of the last empty replicas.

These are for losses to come: where neighbours have closed a gap, or one has
come back empty, it saves 15 in 100 and more.
"""

_SPARED_SHARE = 0.066
"""Share of a pool whose replicas are the last empty ones, one at least.

A replica in fifteen is lost at a time, mostly; the smallest pools are as
large.
"""

_MOST_MOVES = 8
"""Orders after which no further step is planned at once for a pool.

More than six loads at a time make each of them slower; a step of three
orders may begin below this and go beyond it.
"""


def plan_moves(
    replicas: Iterable[Replica],
    profile: ModelProfile,
    *,
    allow_relayout: bool = False,
) -> tuple[Move, ...]:
    """Plan the orders that complete and improve each zone's copies.

    :param replicas: all replicas of the service that are alive.
    :param allow_relayout: whether pools may be laid out anew whose gaps no single
        steps can close.
    :returns: nothing where no step helps enough.
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
    """Whether any pool of replicas lacks layers."""
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
        return lay_copies(pool, profile)
    return _improve(pool, profile, allow_relayout=allow_relayout)


def _improve(
    pool: list[Replica],
    profile: ModelProfile,
    *,
    allow_relayout: bool,
) -> list[Move]:
    """Close the gaps with the most room left, and improve what is whole.

    Replicas that stand in for others move only where all others together
    can't leave ample room: they give up their layers when the streams that
    pass have ended, ten seconds later at most.
    """
    moves: list[Move] = []
    for room, moves_spared in (
        *itertools.product(_AMPLE_ROOMS, (False,)),
        *itertools.product(_AMPLE_ROOMS + _SCARCE_ROOMS, (True,)),
    ):
        plan = PoolPlan(pool, profile)
        terms = _Terms(room, allow_relayout, moves_spared)
        moves = _take_steps(pool, plan, terms)
        if plan.find_gap() is None:
            return moves
    return lay_anew(pool, profile) if allow_relayout else moves


@dataclass(frozen=True, slots=True)
class _Terms:
    """What the steps of a plan may do.

    :param room: usual requests for which a changed replica keeps room.
    :param allow_relayout: whether gaps have lasted.
    :param moves_spared: whether replicas may move that stand in for others.
    """

    room: int
    allow_relayout: bool
    moves_spared: bool


def _take_steps(
    pool: list[Replica],
    plan: PoolPlan,
    terms: _Terms,
) -> list[Move]:
    """Take the steps that help most, one a replica."""
    moves: dict[str, Move] = {}
    while len(moves) < _MOST_MOVES:
        weight = plan.weigh()
        free = [one for one in pool if one.name not in moves]
        steps = itertools.chain(
            _list_single_steps(free, plan, terms),
            list_releases(
                free, plan, terms.room, moves_spared=terms.moves_spared
            ),
        )
        options = [(plan.rate(step), step) for step in steps]
        best = max(options, key=lambda pair: pair[0], default=None)
        if best is None or best[0] < weight * _find_worth(plan):
            break
        plan.apply(best[1])
        moves.update((move.replica.name, move) for move in best[1])
    return list(moves.values())


def _find_worth(plan: PoolPlan) -> float:
    """Find the share of the weight that the next step must save."""
    empty = sum(layers is None for layers in plan.held.values())
    few = empty <= max(1, int(len(plan.held) * _SPARED_SHARE))
    return _SPARE_WORTH if few else _WORTH


def _list_single_steps(
    free: Iterable[Replica],
    plan: PoolPlan,
    terms: _Terms,
) -> Iterator[Step]:
    for replica in free:
        for move in _list_steps(replica, plan, terms):
            yield (move,)


def _list_steps(
    replica: Replica,
    plan: PoolPlan,
    terms: _Terms,
) -> Iterator[Move]:
    """List the ranges that a replica may be ordered to hold next.

    One that serves keeps what it holds and may reach into a gap; what it gave
    up would wait for the requests that pass through it. It moves away only
    where a gap lasts and others hold all that it holds.
    """
    layers = plan.held[replica.name]
    gap = plan.find_gap()
    if layers is None:
        yield from _list_windows(replica, plan, terms.room, gap)
    elif gap is not None:
        most = fit_replica(replica, plan.profile, terms.room)
        yield from _list_growths(replica, layers, most, gap)
        moves = terms.allow_relayout and terms.moves_spared
        if moves and plan.is_spared(replica):
            yield from _list_windows(replica, plan, terms.room, gap)


def _list_windows(
    replica: Replica,
    plan: PoolPlan,
    room: float,
    gap: LayerRange | None,
) -> Iterator[Move]:
    """List ranges for an empty replica that keep at least some room.

    A path holds as many requests as its fullest replica, so a replica that
    closes half of a gap and then fits fourteen requests holds up the zone.
    """
    profile = plan.profile
    rooms = [one for one in _WINDOW_ROOMS if one >= room]
    sizes = {fit_replica(replica, profile, one) for one in rooms}
    for size in sorted(sizes - {0}):
        last = profile.layers - size
        for first in range(max(0, last) + 1):
            window = LayerRange(first, min(first + size, profile.layers))
            if gap is None or _touches(window, gap):
                yield Move(replica, window)


def _touches(window: LayerRange, gap: LayerRange) -> bool:
    return window.first < gap.end and gap.first < window.end


def _list_growths(
    replica: Replica,
    layers: LayerRange,
    most: int,
    gap: LayerRange,
) -> Iterator[Move]:
    for size in range(len(layers) + 1, most + 1):
        added = size - len(layers)
        if layers.end == gap.first and added <= len(gap):
            yield Move(replica, LayerRange(layers.first, layers.end + added))
        if layers.first == gap.end and added <= len(gap):
            yield Move(replica, LayerRange(layers.first - added, layers.end))
