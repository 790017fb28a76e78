"""Chooses the replicas that a request passes through.

A path runs every layer exactly once, in order. Among the paths that the held
ranges allow, the one with the lowest expected time is chosen: decode steps and
prefill at each replica, a delay for each change of replica, a larger one for
each change of availability zone, and more the fuller a replica is.

This is a shortest-path search over the boundaries of the held ranges. For each
boundary it keeps the cheapest way to reach it, by the replica that runs the
last part. The cost of the search grows with the number of replicas times the
number of ranges, not with the number of paths.
"""

import itertools
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ryelatch_core.fleet._costs import (
    PathQuery,
    estimate_entry_cost,
    estimate_layer_costs,
)
from ryelatch_core.fleet._types import LayerRange, Replica, Stage

HOP_SECONDS = 0.0003
"""Time of a token between two replicas of a zone, with the wait for a step."""

CROSSING_SECONDS = 1.5
"""Cost that a change of zone in the middle of a path adds to a request.

An activation has 59 kB per token, so a typical request moves 46 MB between the
zones. That costs operators about 3 in 100 of the request's value, more than a
second of waiting costs its client. Such traffic also fills the link that all
requests between the zones share.
"""

SEARCHED_ZONES = 3
"""Number of zones in which a path is searched, including the request's own.

The time to search all zones is proportional to the number of replicas: 2.4 ms
of a core for 205 replicas in five zones, 20 ms for 3,900. The other zones are
sampled for each request, so that the requests an overloaded zone sends away
spread over all others.
"""


@dataclass(frozen=True, slots=True)
class _HopCosts:
    """Costs of a change of replica for one request, in seconds.

    :param hop_seconds: cost of a change within a zone.
    """

    hop_seconds: float

    def estimate(self, previous: Replica, following: Replica) -> float:
        """Estimate the cost of the way from one replica to the next."""
        if previous.name == following.name:
            return 0
        crossing = 0 if previous.zone == following.zone else CROSSING_SECONDS
        return self.hop_seconds + crossing


@dataclass(slots=True)
class _PartialPath:
    """The cheapest way found from the first layer to a boundary.

    :param first: first layer of the part that the last replica runs.
    """

    cost: float
    replica: Replica
    first: int
    previous: '_PartialPath | None'


@dataclass(frozen=True, slots=True)
class _PricedPath:
    """A path and its expected time in seconds."""

    cost: float
    path: tuple[Stage, ...]


def choose_path(
    replicas: Iterable[Replica],
    query: PathQuery,
) -> tuple[Stage, ...]:
    """Choose a path through all layers.

    :param replicas: of one service.
    :returns: its stages in order; empty if there is no path.
    """
    usable = [
        replica
        for replica in replicas
        if replica.layers is not None
        and not replica.leaving
        and replica.name not in query.avoid
        and replica.accelerator in query.profile.accelerators
    ]
    versions = sorted({candidate.version for candidate in usable}, reverse=True)
    groups = [
        [candidate for candidate in usable if candidate.version == version]
        for version in versions
    ]
    # All requests share the links between zones, and a path that changes
    # zone fills them with activations. If a quarter of the requests do so at
    # the peak, all of them wait a second. A path within one zone is therefore
    # taken if there is any, however loaded it is.
    for group in groups:
        found = _search_zones(group, query)
        if found:
            return found.path
    if not query.crosses:
        return ()
    found = next(
        filter(
            None, (_find_cheapest_path(members, query) for members in groups)
        ),
        None,
    )
    return found.path if found else ()


def _search_zones(group: list[Replica], query: PathQuery) -> _PricedPath | None:
    """Find the cheapest path that stays within a zone.

    Zones are searched separately: with three zones that is three searches
    among a third of the replicas each, which take a third of the time. In
    fleets of many zones only some are searched, and the others only if these
    have no path.
    """
    zones: dict[str, list[Replica]] = {}
    for replica in group:
        zones.setdefault(replica.zone, []).append(replica)
    ordered = _order_zones(zones, query)
    for names in (ordered[:SEARCHED_ZONES], ordered[SEARCHED_ZONES:]):
        found = [_find_cheapest_path(zones[name], query) for name in names]
        best = min(
            filter(None, found), key=lambda priced: priced.cost, default=None
        )
        if best is not None:
            return best
    return None


def _order_zones(zones: Iterable[str], query: PathQuery) -> list[str]:
    """Order the zones at random, after the request's own zone."""
    return sorted(
        zones, key=lambda name: (name != query.zone, query.sample(), name)
    )


def _find_cheapest_path(
    usable: list[Replica], query: PathQuery
) -> _PricedPath | None:
    costs = estimate_layer_costs(usable, query)
    offered = [replica for replica in usable if replica.name in costs]
    for hop_factor in (1, 100, 10_000):
        hop_costs = _HopCosts(HOP_SECONDS * hop_factor * query.answer)
        partial = _find_cheapest_partial(offered, costs, query, hop_costs)
        path = _join_stages(partial, query.profile.layers)
        names = {stage.replica.name for stage in path}
        # Upstreams refuse a path with the same replica twice. That happens
        # where leaving a replica for a faster one and returning looks cheaper
        # than staying; with a higher cost of hops, staying is cheaper.
        if partial and len(names) == len(path):
            return _PricedPath(partial.cost, path)
    return None


def _find_cheapest_partial(
    usable: list[Replica],
    layer_costs: Mapping[str, float],
    query: PathQuery,
    hop_costs: _HopCosts,
) -> _PartialPath | None:
    """Find the cheapest way through all layers."""
    layers = query.profile.layers
    first_stage = query.first_stage
    fixed = {first_stage.layers.end} if first_stage else set()
    boundaries = sorted(
        {0, layers}
        | fixed
        | {
            boundary
            for replica in usable
            if replica.layers is not None
            for boundary in (replica.layers.first, replica.layers.end)
            if boundary <= layers
        }
    )
    partials: list[_PartialPath] = []
    for first, end in itertools.pairwise(boundaries):
        part = LayerRange(first, end)
        holders = [
            replica
            for replica in usable
            if replica.layers is not None
            and replica.layers.covers(part)
            and _fits_first_stage(replica, part, first_stage)
        ]
        partials = [
            partial
            for replica in holders
            if (
                partial := _extend(
                    partials, replica, part, layer_costs, query, hop_costs
                )
            )
        ]
        if not partials:
            return None
    return min(partials, key=lambda partial: partial.cost, default=None)


def _fits_first_stage(
    replica: Replica, part: LayerRange, first_stage: Stage | None
) -> bool:
    """Return whether a replica may run a part when the first stage is given.

    The first replica of a stream keeps its own part when the stream is moved.
    """
    if first_stage is None:
        return True
    is_first = replica.name == first_stage.replica.name
    return is_first == (part.end <= first_stage.layers.end)


def _extend(
    partials: list[_PartialPath],
    replica: Replica,
    part: LayerRange,
    layer_costs: Mapping[str, float],
    query: PathQuery,
    hop_costs: _HopCosts,
) -> _PartialPath | None:
    """Find the cheapest way over a part that ends at a given replica."""
    run_cost = layer_costs[replica.name] * len(part)
    if part.first == 0:
        if replica.name in query.closed:
            return None
        return _PartialPath(
            estimate_entry_cost(replica, query) + run_cost, replica, 0, None
        )
    best: _PartialPath | None = None
    min_cost = float('inf')
    for partial in partials:
        cost = partial.cost + hop_costs.estimate(partial.replica, replica)
        if cost < min_cost:
            best, min_cost = partial, cost
    if best is None:
        return None
    return _PartialPath(min_cost + run_cost, replica, part.first, best)


def _join_stages(
    partial: _PartialPath | None, layers: int
) -> tuple[Stage, ...]:
    """Join consecutive parts at the same replica into stages."""
    parts: list[_PartialPath] = []
    while partial is not None:
        parts.append(partial)
        partial = partial.previous
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
