"""Groups the replicas that are planned together."""

import itertools
from collections.abc import Iterable

from ryelatch_core.fleet._pool import fit_pool
from ryelatch_core.fleet._types import ModelProfile, Replica

MIN_HEADROOM = 8
"""Minimum headroom of a replica, in typical requests.

With less it refuses more requests than it serves, as their sizes differ
threefold.
"""


def make_pools(
    replicas: Iterable[Replica],
    profile: ModelProfile,
) -> list[list[Replica]]:
    """Group replicas by zone if every zone can hold all layers.

    Otherwise all replicas form a single pool.
    """
    usable = [
        replica
        for replica in replicas
        if replica.accelerator in profile.accelerators and not replica.leaving
    ]
    zones: dict[str, list[Replica]] = {}
    for replica in sorted(usable, key=lambda replica: replica.name):
        zones.setdefault(replica.zone, []).append(replica)
    if all(_holds_all(pool, profile) for pool in zones.values()):
        return list(zones.values())
    return [list(itertools.chain.from_iterable(zones.values()))]


def _holds_all(pool: list[Replica], profile: ModelProfile) -> bool:
    """Return whether a pool can hold all layers with the minimum headroom."""
    return sum(fit_pool(pool, profile, MIN_HEADROOM)) >= profile.layers
