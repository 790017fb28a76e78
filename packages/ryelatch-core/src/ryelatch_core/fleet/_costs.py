"""Estimates the costs of a request at replicas, in seconds that it waits.

These are decode steps and prefill at each replica, more the fuller and slower
it is, and the cost of the beginning of a path at its first replica.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ryelatch_core.fleet._load import NO_LOAD, LoadEstimate
from ryelatch_core.fleet._performance import (
    estimate_capacity,
    estimate_prefill,
    estimate_step,
)
from ryelatch_core.fleet._types import ModelProfile, Replica, Stage

ENTRY_COST_SECONDS = 0.05
"""Cost that a path that begins in another zone adds to a request.

Only the text of the prompt and the events cross between the zones, and each
event arrives half a millisecond later. The cost decides only between paths
that are otherwise equal.
"""

_MAX_FULLNESS = 2.0
"""Estimated fraction of a replica's memory above which its cost stays constant.

The estimate assumes that all nodes send as much as this one, but clients are
spread unevenly, and while one node of a zone restarts another one has all of
its traffic. The estimate therefore only influences the choice. A replica is
ruled out only if the requests of this node alone fill it: a full replica
refuses at once, which costs little, while ruling it out here for too high an
estimate would cost more.
"""

EXCESS_WEIGHT = 3.0
"""Seconds of a whole answer that count as much as one until its first event.

A late first event costs the client most of the value of the answer. An answer
that takes one second more as a whole costs next to nothing.
"""

SLOTS_SECONDS = 2.0
"""Cost that a first replica without a free slot adds to a request.

It queues a few more requests and refuses the others, and refused requests
return a second later. The cost grows with the fourth power of the fraction of
slots in use, so it matters above two thirds.
"""

_SLOTS_POWER = 4

_MIN_UNCERTAINTY = 0.01
"""Uncertainty of the load below which no extra noise is added."""

_JITTER = 0.15
"""Spread of the costs between nodes.

Nodes see only their own requests. With equal costs, all of them would send the
next request to the same replica.
"""


@dataclass(frozen=True)
class PathQuery:
    """Requirements of a path, and the load of the replicas that it may use.

    :param profile: of the model.
    :param zone: where the request comes from.
    :param prompt: tokens of the prompt.
    :param answer: expected tokens of the answer.
    :param sample: returns random numbers from 0 to 1.
    :param avoid: names of replicas not to use.
    :param local_tokens: tokens of this node's requests at each replica.
    :param load: estimated load of all nodes.
    :param excess: excess latency in seconds of paths through each replica.
    :param step_factors: step-time factors that slow replicas have reported.
    :param closed: names of replicas where no path may begin.
    :param first_stage: the stage that must come first, if any.
    :param prefilled: names of replicas that have done the prefill already.
    :param crosses: whether the path may change zones in its middle.
    """

    profile: ModelProfile
    zone: str
    prompt: int
    answer: int
    sample: Callable[[], float]
    avoid: frozenset[str] = frozenset()
    local_tokens: Mapping[str, int] = field(default_factory=dict)
    load: LoadEstimate = NO_LOAD
    excess: Mapping[str, float] = field(default_factory=dict)
    step_factors: Mapping[str, float] = field(default_factory=dict)
    closed: frozenset[str] = frozenset()
    first_stage: Stage | None = None
    prefilled: frozenset[str] = frozenset()
    crosses: bool = True


def estimate_layer_costs(
    usable: list[Replica], query: PathQuery
) -> dict[str, float]:
    """Estimate the cost of a request per layer at each replica, in seconds.

    Replicas that are full with requests of this node alone are left out.
    """
    layer_costs: dict[str, float] = {}
    for replica in usable:
        capacity = _estimate_capacity(replica, query)
        local_tokens = query.local_tokens.get(replica.name, 0)
        needed = query.prompt + query.answer
        if local_tokens + needed <= capacity:
            load = query.load.tokens.get(replica.name, 0)
            fullness = (load + needed) / capacity
            layer_costs[replica.name] = _estimate_layer_cost(
                replica, query, fullness
            )
    return layer_costs


def _estimate_capacity(replica: Replica, query: PathQuery) -> float:
    profile = query.profile
    assert replica.layers is not None
    return estimate_capacity(
        profile, profile.accelerators[replica.accelerator], replica.layers
    )


def _estimate_layer_cost(
    replica: Replica, query: PathQuery, fullness: float
) -> float:
    profile = query.profile
    accelerator = profile.accelerators[replica.accelerator]
    sequences = query.load.requests.get(replica.name, 0)
    context = query.load.context.get(replica.name, 0)
    step = estimate_step(profile, accelerator, 1, sequences, context)
    prefill = estimate_prefill(profile, accelerator, 1, query.prompt)
    crowding = 1 + min(fullness, _MAX_FULLNESS) ** 2
    noise = _sample_noise(query)
    if replica.name in query.prefilled:
        prefill = 0
        noise = 1
    late = query.excess.get(replica.name, 0) * EXCESS_WEIGHT / profile.layers
    step_factor = query.step_factors.get(replica.name, 1)
    return (
        step * query.answer + prefill
    ) * step_factor * crowding * noise + late


def _sample_noise(query: PathQuery) -> float:
    """Sample a factor for the cost of a request at a replica.

    While a node knows little of the load of others, factors are distributed
    exponentially. The fastest replica is then chosen in proportion to its
    speed. Without this, nodes that start together, with all clients that
    waited for them, would send everything to the same few replicas.
    """
    noise = 1 + _JITTER * query.sample()
    uncertainty = query.load.uncertainty
    if uncertainty < _MIN_UNCERTAINTY:
        return noise
    return noise * (1 - uncertainty) - uncertainty * math.log(
        1 - query.sample()
    )


def estimate_entry_cost(replica: Replica, query: PathQuery) -> float:
    """Estimate the cost of beginning a path at its first replica."""
    entry = 0 if replica.zone == query.zone else ENTRY_COST_SECONDS
    load = query.load.requests.get(replica.name, 0)
    used_fraction = min(1, load / replica.slots)
    delay = query.load.entry_seconds.get(replica.name, 0)
    return float(
        entry
        + SLOTS_SECONDS * used_fraction**_SLOTS_POWER
        + EXCESS_WEIGHT * delay
    )
