"""Chooses the replicas that a request passes through.

A path runs every layer exactly once, in order. Among the paths that the held
ranges allow, the one with the least expected time is taken: token steps and
reading at each replica, a pause at each change of replica, more for a change
of availability zone, and the more the fuller a replica is.

A shortest path over the places where ranges begin or end: for each of them
the best way to get there, by the replica that runs the last part. Its cost
grows with replicas times ranges, not with the number of paths.
"""

import itertools
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ryelatch_core.fleet._prices import PathQuery, price_entry, rate_replicas
from ryelatch_core.fleet._types import LayerRange, Replica, Stage

HOP_SECONDS = 0.0003
"""A token's way between two replicas of a zone, with the wait for a pass."""

CROSSING_SECONDS = 1.5
"""What a change of zone in the middle of a path is taken to cost a request.

An activation is 59 kB a token: a usual request moves 46 MB across and costs
operators about 3 in 100 of its worth, where a second of waiting costs its
caller less. Traffic that crosses without need also fills the pipe that all
requests between the zones share.
"""

SEARCHED_ZONES = 3
"""Zones in which a path is sought, the own one among them.

A search of all takes time in proportion to the fleet: 2.4 ms of a core for 205
replicas in five zones, 20 ms for 3,900. Which zones are searched beside the
own one is drawn for each request, so that what a crowded zone sends away goes
to all others alike.
"""


@dataclass(frozen=True, slots=True)
class _Hops:
    """What changes of replica cost a request, in seconds."""

    within: float

    def price(self, before: Replica, after: Replica) -> float:
        """Price the way from one replica to the next."""
        if before.name == after.name:
            return 0
        crossing = 0 if before.zone == after.zone else CROSSING_SECONDS
        return self.within + crossing


@dataclass(slots=True)
class _Way:
    """The best way found to a place between layers."""

    cost: float
    replica: Replica
    first: int
    before: '_Way | None'


@dataclass(frozen=True, slots=True)
class _Found:
    """A path and its expected seconds."""

    cost: float
    path: tuple[Stage, ...]


def choose_path(
    replicas: Iterable[Replica],
    query: PathQuery,
) -> tuple[Stage, ...]:
    """Choose a path through all layers.

    :param replicas: of one service.
    :returns: its stages in order; empty if there is none.
    """
    usable = [
        replica
        for replica in replicas
        if replica.layers is not None
        and not replica.leaving
        and replica.name not in query.avoid
        and replica.accelerator in query.profile.accelerators
    ]
    versions = sorted({one.version for one in usable}, reverse=True)
    groups = [
        [one for one in usable if one.version == version]
        for version in versions
    ]
    # The pipe between zones is shared by all requests, and a path that
    # changes zone fills it with activations: at the peak a quarter of the
    # requests doing so make all of them wait a second. So a path inside one
    # zone is taken if there is any, however crowded.
    for group in groups:
        found = _search_zones(group, query)
        if found:
            return found.path
    if not query.crosses:
        return ()
    found = next(filter(None, (_search(one, query) for one in groups)), None)
    return found.path if found else ()


def _search_zones(group: list[Replica], query: PathQuery) -> _Found | None:
    """Find the cheapest path that stays in its zone.

    Zones are searched one by one: a path is sought among a third of the
    replicas three times, which takes a third of the time. Of many zones some
    are searched, and the others only where these have no path.
    """
    zones: dict[str, list[Replica]] = {}
    for replica in group:
        zones.setdefault(replica.zone, []).append(replica)
    ordered = _order_zones(zones, query)
    for some in (ordered[:SEARCHED_ZONES], ordered[SEARCHED_ZONES:]):
        found = [_search(zones[name], query) for name in some]
        best = min(filter(None, found), key=lambda one: one.cost, default=None)
        if best is not None:
            return best
    return None


def _order_zones(zones: Iterable[str], query: PathQuery) -> list[str]:
    """Put the request's own zone first, and the others by chance."""
    return sorted(
        zones, key=lambda name: (name != query.zone, query.draw(), name)
    )


def _search(usable: list[Replica], query: PathQuery) -> _Found | None:
    costs = rate_replicas(usable, query)
    offered = [replica for replica in usable if replica.name in costs]
    for hop_factor in (1, 100, 10_000):
        hops = _Hops(HOP_SECONDS * hop_factor * query.answer)
        way = _find_way(offered, costs, query, hops)
        path = _unwind(way, query.profile.layers)
        names = {stage.replica.name for stage in path}
        # A replica that comes twice is refused by the upstreams. It shows
        # where leaving it for a faster one and coming back looks cheaper
        # than staying; with dearer hops staying wins.
        if way and len(names) == len(path):
            return _Found(way.cost, path)
    return None


def _find_way(
    usable: list[Replica],
    rates: Mapping[str, float],
    query: PathQuery,
    hops: _Hops,
) -> _Way | None:
    """Find the cheapest way through all layers."""
    layers = query.profile.layers
    head = query.head
    fixed = {head.layers.end} if head else set()
    cuts = sorted(
        {0, layers}
        | fixed
        | {
            edge
            for replica in usable
            if replica.layers is not None
            for edge in (replica.layers.first, replica.layers.end)
            if edge <= layers
        }
    )
    ways: list[_Way] = []
    for first, end in itertools.pairwise(cuts):
        part = LayerRange(first, end)
        holders = [
            replica
            for replica in usable
            if replica.layers is not None
            and replica.layers.covers(part)
            and _fits_head(replica, part, head)
        ]
        ways = [
            way
            for replica in holders
            if (way := _extend(ways, replica, part, rates, query, hops))
        ]
        if not ways:
            return None
    return min(ways, key=lambda way: way.cost, default=None)


def _fits_head(replica: Replica, part: LayerRange, head: Stage | None) -> bool:
    """Whether a replica may run a part beside a stage that is given.

    The first replica of a stream keeps its own part when it is moved.
    """
    if head is None:
        return True
    is_head = replica.name == head.replica.name
    return is_head == (part.end <= head.layers.end)


def _extend(
    ways: list[_Way],
    replica: Replica,
    part: LayerRange,
    rates: Mapping[str, float],
    query: PathQuery,
    hops: _Hops,
) -> _Way | None:
    """Find the best way over a part that ends at a replica."""
    own = rates[replica.name] * len(part)
    if part.first == 0:
        if replica.name in query.closed:
            return None
        return _Way(price_entry(replica, query) + own, replica, 0, None)
    best: _Way | None = None
    least = float('inf')
    for way in ways:
        cost = way.cost + hops.price(way.replica, replica)
        if cost < least:
            best, least = way, cost
    if best is None:
        return None
    return _Way(least + own, replica, part.first, best)


def _unwind(way: _Way | None, layers: int) -> tuple[Stage, ...]:
    """Join the parts of a way into stages, one a replica in a row."""
    parts: list[_Way] = []
    while way is not None:
        parts.append(way)
        way = way.before
    runs = [
        next(run)
        for _, run in itertools.groupby(
            reversed(parts), key=lambda part: part.replica.name
        )
    ]
    ends = [*(run.first for run in runs[1:]), layers]
    return tuple(
        Stage(run.replica, LayerRange(run.first, end))
        for run, end in zip(runs, ends, strict=False)
    )
