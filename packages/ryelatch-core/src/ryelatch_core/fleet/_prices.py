"""Prices what a request takes at replicas, in seconds that its caller waits.

Token steps and reading at each replica, more the fuller and the slower it is,
and what a path's beginning costs at its first replica.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ryelatch_core.fleet._load import NO_LOAD, LoadEstimate
from ryelatch_core.fleet._performance import (
    estimate_capacity,
    estimate_reading,
    estimate_step,
)
from ryelatch_core.fleet._types import ModelProfile, Replica, Stage

ENTRY_SECONDS = 0.05
"""What a path that begins in another zone is taken to cost a request.

Only the prompt's text and the events cross, and each event comes half a
millisecond later; it matters where all else is alike.
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
    :param local_tokens: tokens of this node's requests at each replica.
    :param load: what all nodes are taken to have there.
    :param excess: seconds by which paths through a replica were late.
    :param paces: factors by which replicas said that they are slower.
    :param closed: names of replicas where no path may begin.
    :param head: the stage that must come first, if any.
    :param prefilled: names of replicas that have read the request already.
    :param crosses: whether the path may change zones in its middle.
    """

    profile: ModelProfile
    zone: str
    prompt: int
    answer: int
    draw: Callable[[], float]
    avoid: frozenset[str] = frozenset()
    local_tokens: Mapping[str, int] = field(default_factory=dict)
    load: LoadEstimate = NO_LOAD
    excess: Mapping[str, float] = field(default_factory=dict)
    paces: Mapping[str, float] = field(default_factory=dict)
    closed: frozenset[str] = frozenset()
    head: Stage | None = None
    prefilled: frozenset[str] = frozenset()
    crosses: bool = True


def rate_replicas(usable: list[Replica], query: PathQuery) -> dict[str, float]:
    """Estimate the seconds that a request takes for each layer there.

    Replicas that this node alone fills are left out.
    """
    rates: dict[str, float] = {}
    for replica in usable:
        room = _estimate_room(replica, query)
        own = query.local_tokens.get(replica.name, 0)
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
    if replica.name in query.prefilled:
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


def price_entry(replica: Replica, query: PathQuery) -> float:
    """Price the beginning of a path at its first replica."""
    entry = 0 if replica.zone == query.zone else ENTRY_SECONDS
    taken = query.load.requests.get(replica.name, 0)
    share = min(1, taken / replica.slots)
    return float(entry + SLOTS_SECONDS * share**_SLOTS_POWER)
