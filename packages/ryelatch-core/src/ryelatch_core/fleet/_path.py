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
import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from ryelatch_core.fleet._load import NO_LOAD, LoadEstimate
from ryelatch_core.fleet._performance import (
    estimate_capacity,
    estimate_reading,
    estimate_step,
)
from ryelatch_core.fleet._types import (
    LayerRange,
    ModelProfile,
    Replica,
    Stage,
)

HOP_SECONDS = 0.0003
"""A token's way between two replicas of a zone, with the wait for a pass."""

ENTRY_SECONDS = 0.05
"""What a path that begins in another zone is taken to cost a request.

Only the prompt's text and the events cross, and each event comes half a
millisecond later; it matters where all else is alike.
"""

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

_CROWDED = 2.0
"""Estimated share of a replica's memory beyond which more changes nothing.

The estimate takes all nodes to send as much as this one, but clients are
spread unevenly, and while one node of a zone restarts another has all of its
traffic. So the estimate only steers. Only what this node alone has there
rules a replica out: one without room refuses at once, which is cheap, where
refusing here for an estimate that is too high is not.
"""

EXCESS_WEIGHT = 3.0
"""Seconds of a whole answer that a second to its first event is worth.

A first event that is late costs the caller most of what the answer is worth;
an answer that goes on for a second more costs next to nothing.
"""

SLOTS_SECONDS = 2.0
"""What a first replica without a free slot is taken to cost a request.

It queues a few requests more and refuses the others, and a refused one comes
back a second later. The cost grows with the fourth power of the share of
slots in use, so that it matters beyond two thirds.
"""

_SLOTS_POWER = 4

_LEAST_DOUBT = 0.01
"""Doubt below which a node goes by what it knows alone."""

_JITTER = 0.15
"""Spread of the costs between nodes.

Nodes see only their own requests. With the same figures all would send the
next request to the same replica.
"""


@dataclass(frozen=True)
class PathQuery:
    """What a path is wanted for.

    :param zone: where the request comes from.
    :param prompt: tokens to be read.
    :param answer: tokens expected to be written.
    :param avoid: names of replicas not to use.
    :param own_tokens: tokens of this node's requests at each replica.
    :param load: what all nodes are taken to have there.
    :param excess: seconds by which paths through a replica were late.
    :param paces: factors by which replicas said that they are slower.
    :param closed: names of replicas where no path may begin.
    :param head: the stage that must come first, if any.
    :param kept: names of replicas that have read the request already.
    :param crosses: whether the path may change zones in its middle.
    """

    profile: ModelProfile
    zone: str
    prompt: int
    answer: int
    draw: Callable[[], float]
    avoid: frozenset[str] = frozenset()
    own_tokens: Mapping[str, int] = field(default_factory=dict)
    load: LoadEstimate = NO_LOAD
    excess: Mapping[str, float] = field(default_factory=dict)
    paces: Mapping[str, float] = field(default_factory=dict)
    closed: frozenset[str] = frozenset()
    head: Stage | None = None
    kept: frozenset[str] = frozenset()
    crosses: bool = True


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
    costs = _rate(usable, query)
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


def _rate(usable: list[Replica], query: PathQuery) -> dict[str, float]:
    """Estimate the seconds that a request takes for each layer there.

    Replicas that this node alone fills are left out.
    """
    rates: dict[str, float] = {}
    for replica in usable:
        room = _estimate_room(replica, query)
        own = query.own_tokens.get(replica.name, 0)
        wanted = query.prompt + query.answer
        if own + wanted <= room:
            taken = query.load.tokens.get(replica.name, 0)
            fullness = (taken + wanted) / room
            rates[replica.name] = _rate_one(replica, query, fullness)
    return rates


def _estimate_room(replica: Replica, query: PathQuery) -> float:
    profile = query.profile
    assert replica.layers is not None
    return estimate_capacity(
        profile, profile.accelerators[replica.accelerator], replica.layers
    )


def _rate_one(replica: Replica, query: PathQuery, fullness: float) -> float:
    profile = query.profile
    accelerator = profile.accelerators[replica.accelerator]
    writers = query.load.requests.get(replica.name, 0)
    step = estimate_step(profile, accelerator, 1, writers)
    reading = estimate_reading(profile, accelerator, 1, query.prompt)
    crowding = 1 + min(fullness, _CROWDED) ** 2
    noise = _draw_noise(query)
    if replica.name in query.kept:
        reading = 0
        noise = 1
    late = query.excess.get(replica.name, 0) * EXCESS_WEIGHT / profile.layers
    pace = query.paces.get(replica.name, 1)
    return (step * query.answer + reading) * pace * crowding * noise + late


def _draw_noise(query: PathQuery) -> float:
    """Draw by what factor a request takes a replica to be slower.

    While a node knows little of the others, factors are exponential: the
    fastest of some replicas is then each one's turn in proportion to its
    pace. Nodes that start together, with all who waited for them, would else
    send everything to the same few.
    """
    noise = 1 + _JITTER * query.draw()
    doubt = query.load.doubt
    if doubt < _LEAST_DOUBT:
        return noise
    return noise * (1 - doubt) - doubt * math.log(1 - query.draw())


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
        return _Way(_price_entry(replica, query) + own, replica, 0, None)
    best: _Way | None = None
    least = float('inf')
    for way in ways:
        cost = way.cost + hops.price(way.replica, replica)
        if cost < least:
            best, least = way, cost
    if best is None:
        return None
    return _Way(least + own, replica, part.first, best)


def _price_entry(replica: Replica, query: PathQuery) -> float:
    """Price the beginning of a path at its first replica."""
    entry = 0 if replica.zone == query.zone else ENTRY_SECONDS
    taken = query.load.requests.get(replica.name, 0)
    share = min(1, taken / replica.slots)
    return float(entry + SLOTS_SECONDS * share**_SLOTS_POWER)


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
