"""Lays whole copies of a model over the replicas of a pool.

A stream that loses another replica of its path is moved; one that loses its
first replica is cut off, and so are all that began there. So the first layers
are held by the smallest replicas, which others can stand in for soonest, and
twice where a pool has one copy: no single loss leaves it without a beginning.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from ryelatch_core.fleet._copy_groups import choose_copy_groups
from ryelatch_core.fleet._pool import Move, fit_pool
from ryelatch_core.fleet._types import LayerRange, ModelProfile, Replica
from ryelatch_core.fleet._zones import MIN_HEADROOM

_MAX_HEADROOM = 200
"""Most usual requests for which a replica keeps room; slots end at 192."""

_HEADROOMS = range(_MAX_HEADROOM, MIN_HEADROOM - 1, -4)
"""Usual requests for which a replica keeps room, tried from the most."""

_RESERVE_SHARE = 0.65
"""Share of a copy's room that must be left beside what is held in reserve.

Below that callers wait for places on a calm day.
"""

_SPARE_REPLICAS = 1
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


def place_copies(pool: Sequence[Replica], profile: ModelProfile) -> list[Move]:
    """Plan a pool that holds nothing: the copies that serve the most.

    What is left over when they are whole is for steps that improve them.
    """
    groups = choose_copy_groups(pool, profile, _HEADROOMS, _find_headroom)
    copies = [
        _assign_roles(
            _put_smallest_first(group, profile),
            profile,
            single_copy=len(groups) == 1,
        )
        for group in groups
    ]
    return [
        Move(replica, layers)
        for roles in copies
        for replica, layers in _assign_layers(roles, profile)
    ]


def relayout_pool(pool: Sequence[Replica], profile: ModelProfile) -> list[Move]:
    """Spread the layers anew over a pool whose gaps no steps can close.

    Such a pool has lost a replica that held much; its paths go through other
    pools until all of it is done. Replicas keep their order, so that most of
    them keep some of what they hold.
    """
    last = profile.layers
    ordered = sorted(
        pool,
        key=lambda replica: (
            replica.layers.first if replica.layers else last,
            replica.name,
        ),
    )
    roles = _assign_roles(
        ordered, profile, single_copy=_all_hold_first_layers(ordered[:2])
    )
    return [
        Move(replica, layers)
        for replica, layers in _assign_layers(roles, profile)
        if layers != replica.layers
    ]


def _all_hold_first_layers(replicas: Sequence[Replica]) -> bool:
    return all(
        replica.layers and not replica.layers.first for replica in replicas
    )


def _put_smallest_first(
    group: Sequence[Replica],
    profile: ModelProfile,
) -> list[Replica]:
    """Put the two smallest replicas before the others of a row."""
    smallest = sorted(
        group,
        key=lambda replica: profile.accelerators[replica.accelerator].memory_mb,
    )[:2]
    names = {replica.name for replica in smallest}
    return [
        *smallest,
        *(replica for replica in group if replica.name not in names),
    ]


def _assign_roles(
    ordered: Sequence[Replica],
    profile: ModelProfile,
    *,
    single_copy: bool,
) -> _Roles:
    """Choose who holds the first layers twice, if the row has room for it.

    :param ordered: the second one is the one to do it.
    :param single_copy: whether no other row of the pool begins a copy.
    """
    without_standby = _Roles(ordered, None)
    if not single_copy or len(ordered) < 2:
        return without_standby
    first, standby, *others = ordered
    holders = [first, *others]
    min_headroom = _find_headroom(ordered, profile) * _RESERVE_SHARE
    if _find_headroom(holders, profile) < max(min_headroom, MIN_HEADROOM):
        return without_standby
    return _Roles(holders, standby)


def _assign_layers(
    roles: _Roles,
    profile: ModelProfile,
) -> Iterator[tuple[Replica, LayerRange]]:
    sizes = _choose_sizes(roles.holders, profile)
    if roles.standby and sizes[0]:
        yield roles.standby, LayerRange(0, sizes[0])
    yield from _assign_ranges(roles.holders, sizes, profile.layers)


def _assign_ranges(
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
    max_headroom = _find_headroom(ordered, profile)
    with_spare = _find_headroom(ordered[:-_SPARE_REPLICAS], profile)
    if with_spare >= max_headroom * _RESERVE_SHARE:
        max_headroom = with_spare
    return fit_pool(ordered, profile, max_headroom or MIN_HEADROOM)


def _find_headroom(ordered: Sequence[Replica], profile: ModelProfile) -> int:
    """Find the most room that a whole copy leaves; 0 if there is none."""
    return next(
        (
            headroom
            for headroom in _HEADROOMS
            if sum(fit_pool(ordered, profile, headroom)) >= profile.layers
        ),
        0,
    )
