"""Places complete copies of a model on the replicas of a pool.

A stream that loses a later replica of its path is moved to another one. A
stream that loses its first replica is cut off, together with all streams that
began there. The first layers are therefore placed on the smallest replicas,
since few layers are loaded elsewhere soonest. A pool with a single copy holds
them twice, so that no single loss leaves it without a first replica.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from ryelatch_core.fleet._pool import Move, fit_pool
from ryelatch_core.fleet._copy_groups import choose_copy_groups
from ryelatch_core.fleet._types import LayerRange, ModelProfile, Replica
from ryelatch_core.fleet._zones import MIN_HEADROOM

_MAX_HEADROOM = 200
"""Largest headroom that is tried.

The headroom of a replica is the number of typical requests whose KV caches fit
beside its weights. A replica has at most 192 slots.
"""

_HEADROOMS = range(_MAX_HEADROOM, MIN_HEADROOM - 1, -4)
"""Headrooms that are tried for the replicas of a copy, largest first."""

_RESERVE_RATIO = 0.65
"""Fraction of a copy's headroom that must remain when replicas are reserved.

With less than this, requests wait for places under normal load.
"""

_SPARE_REPLICAS = 1
"""Number of replicas of a pool that the first plan leaves empty.

An empty replica takes over the layers of a lost one in the time of one load. A
serving replica must first wait for the requests that pass through the layers
that it gives up, which takes up to ten seconds.
"""


@dataclass(frozen=True, slots=True)
class _Roles:
    """Roles of the replicas of one copy.

    :param holders: hold the layers in sequence; some of the last ones may be
        left empty.
    :param standby: holds the first layers a second time.
    """

    holders: Sequence[Replica]
    standby: Replica | None


def place_copies(pool: Sequence[Replica], profile: ModelProfile) -> list[Move]:
    """Plan the copies with the highest request rate for an empty pool.

    Replicas that are left over are used by the later steps that improve a
    plan.
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
    """Assign all layers of a pool anew.

    This closes gaps that no single step can close.

    Such a pool has lost a replica that held many layers. Paths go through
    other pools until all commands are carried out. Replicas keep their order,
    so that most of them keep some of their layers.
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
    """Put the two replicas with the least memory before the others."""
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
    """Choose a standby for the first layers, if the headroom allows it.

    :param ordered: replicas of a copy; the second one becomes the standby.
    :param single_copy: whether no other copy begins in this pool.
    """
    without_standby = _Roles(ordered, None)
    if not single_copy or len(ordered) < 2:
        return without_standby
    first, standby, *others = ordered
    holders = [first, *others]
    min_headroom = _find_headroom(ordered, profile) * _RESERVE_RATIO
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
    """Assign consecutive ranges of given sizes until all layers are held."""
    first = 0
    for replica, size in zip(ordered, sizes, strict=True):
        if size and first < layers:
            end = min(first + size, layers)
            # The last range is extended backwards to its full size: layers held
            # twice are better than unused memory.
            yield replica, LayerRange(max(0, end - size), end)
            first = end


def _choose_sizes(
    ordered: Sequence[Replica],
    profile: ModelProfile,
) -> list[int]:
    """Choose the range sizes that give the copy the largest headroom.

    One replica stays empty unless that would cost too much headroom.
    """
    max_headroom = _find_headroom(ordered, profile)
    with_spare = _find_headroom(ordered[:-_SPARE_REPLICAS], profile)
    if with_spare >= max_headroom * _RESERVE_RATIO:
        max_headroom = with_spare
    return fit_pool(ordered, profile, max_headroom or MIN_HEADROOM)


def _find_headroom(ordered: Sequence[Replica], profile: ModelProfile) -> int:
    """Find the largest headroom that a complete copy leaves; 0 if none fits."""
    return next(
        (
            headroom
            for headroom in _HEADROOMS
            if sum(fit_pool(ordered, profile, headroom)) >= profile.layers
        ),
        0,
    )
