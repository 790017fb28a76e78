"""Lays whole copies of a model over the replicas of a pool.

A stream that loses another replica of its path is moved; one that loses its
first replica is cut off, and so are all that began there. So the first layers
are held by the smallest replicas, which others can stand in for soonest, and
twice where a pool has one copy: no single loss leaves it without a beginning.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from ryelatch_core.fleet._pool import Move, fit_pool
from ryelatch_core.fleet._rows import choose_rows
from ryelatch_core.fleet._types import LayerRange, ModelProfile, Replica
from ryelatch_core.fleet._zones import LEAST_ROOM

_MOST_ROOM = 200
"""Most usual requests for which a replica keeps room; slots end at 192."""

_ROOMS = range(_MOST_ROOM, LEAST_ROOM - 1, -4)
"""Usual requests for which a replica keeps room, tried from the most."""

_RESERVE_RATIO = 0.65
"""Share of a copy's room that must be left beside what is held in reserve.

Below that callers wait for places on a calm day.
"""

_SPARES = 1
"""Replicas of a pool that a first plan leaves empty.

An empty replica takes over a lost one's layers in the time of one load. One
that serves must first wait for the requests that pass through what it gives
up, and these last up to ten seconds.
"""


@dataclass(frozen=True, slots=True)
class _Roles:
    """What each replica of a row is for.

    :param holders: hold the layers, one after the other; some of the last
        may be left empty.
    :param standby: holds the first layers a second time.
    """

    holders: Sequence[Replica]
    standby: Replica | None


def lay_copies(pool: Sequence[Replica], profile: ModelProfile) -> list[Move]:
    """Plan a pool that holds nothing: the copies that serve the most.

    What is left over when they are whole is for steps that improve them.
    """
    rows = choose_rows(pool, profile, _ROOMS, _find_room)
    copies = [
        _assign_roles(
            _put_smallest_first(row, profile), profile, alone=len(rows) == 1
        )
        for row in rows
    ]
    return [
        Move(replica, layers)
        for roles in copies
        for replica, layers in _lay_copy(roles, profile)
    ]


def lay_anew(pool: Sequence[Replica], profile: ModelProfile) -> list[Move]:
    """Spread the layers anew over a pool whose gaps no steps can close.

    Such a pool has lost a replica that held much; its paths go through other
    pools until all of it is done. Replicas keep their order, so that most of
    them keep some of what they hold.
    """
    last = profile.layers
    ordered = sorted(
        pool,
        key=lambda one: (one.layers.first if one.layers else last, one.name),
    )
    roles = _assign_roles(ordered, profile, alone=_begin_alike(ordered[:2]))
    return [
        Move(replica, layers)
        for replica, layers in _lay_copy(roles, profile)
        if layers != replica.layers
    ]


def _begin_alike(replicas: Sequence[Replica]) -> bool:
    return all(one.layers and not one.layers.first for one in replicas)


def _put_smallest_first(
    row: Sequence[Replica],
    profile: ModelProfile,
) -> list[Replica]:
    """Put the two smallest replicas before the others of a row."""
    smallest = sorted(
        row,
        key=lambda one: profile.accelerators[one.accelerator].memory_mb,
    )[:2]
    names = {one.name for one in smallest}
    return [*smallest, *(one for one in row if one.name not in names)]


def _assign_roles(
    ordered: Sequence[Replica],
    profile: ModelProfile,
    *,
    alone: bool,
) -> _Roles:
    """Choose who holds the first layers twice, if the row has room for it.

    :param ordered: the second one is the one to do it.
    :param alone: whether no other row of the pool begins a copy.
    """
    whole = _Roles(ordered, None)
    if not alone or len(ordered) < 2:
        return whole
    first, standby, *others = ordered
    holders = [first, *others]
    least = _find_room(ordered, profile) * _RESERVE_RATIO
    if _find_room(holders, profile) < max(least, LEAST_ROOM):
        return whole
    return _Roles(holders, standby)


def _lay_copy(
    roles: _Roles,
    profile: ModelProfile,
) -> Iterator[tuple[Replica, LayerRange]]:
    sizes = _choose_sizes(roles.holders, profile)
    if roles.standby and sizes[0]:
        yield roles.standby, LayerRange(0, sizes[0])
    yield from _lay_row(roles.holders, sizes, profile.layers)


def _lay_row(
    ordered: Sequence[Replica],
    sizes: Sequence[int],
    layers: int,
) -> Iterator[tuple[Replica, LayerRange]]:
    """Lay ranges of some sizes one after the other over all layers."""
    first = 0
    for replica, size in zip(ordered, sizes, strict=True):
        if size and first < layers:
            end = min(first + size, layers)
            # The last range reaches back to its full size: held twice is
            # better than memory that lies idle.
            yield replica, LayerRange(max(0, end - size), end)
            first = end


def _choose_sizes(
    ordered: Sequence[Replica],
    profile: ModelProfile,
) -> list[int]:
    """Choose the ranges' sizes that leave the most room in a whole copy.

    A spare is kept unless it would cost too much of that room.
    """
    most = _find_room(ordered, profile)
    spared = _find_room(ordered[:-_SPARES], profile)
    if spared >= most * _RESERVE_RATIO:
        most = spared
    return fit_pool(ordered, profile, most or LEAST_ROOM)


def _find_room(ordered: Sequence[Replica], profile: ModelProfile) -> int:
    """Find the most room that a whole copy leaves; 0 if there is none."""
    return next(
        (
            room
            for room in _ROOMS
            if sum(fit_pool(ordered, profile, room)) >= profile.layers
        ),
        0,
    )
