"""Compares what requests have reserved with what replicas can hold.

A request needs room at every replica of its path. The first replica limits it
by slots, and each one by the memory for KV caches, so a path is as full as its
fullest replica.
"""

import bisect
import itertools
import math
from collections.abc import Callable, Collection, Container, Iterable, Mapping
from dataclasses import dataclass

from ryelatch_core.admission._ledger import ReservationLedger
from ryelatch_core.fleet import (
    Accelerator,
    LayerRange,
    ModelProfile,
    Replica,
    estimate_capacity,
    estimate_step,
)

USABLE_FRACTION = 0.9
"""Fraction of a replica's memory that may be reserved.

Some answers are longer than expected. A replica without memory preempts the
newest request, and reads its prompt again.
"""


MAX_SLOWDOWN = 1.5
"""Slowdown that is accepted where even an idle replica is too slow."""


@dataclass(frozen=True, slots=True)
class EventSeconds:
    """Seconds between two events of a stream, if all layers ran at a replica.

    A path is at most as slow as the slowest of its replicas.

    :param idle: without other requests.
    :param per_request: added for each request that passes through.
    :param per_token: added for each token of their context.
    """

    idle: float
    per_request: float
    per_token: float

    def estimate(self, requests: int, tokens: int) -> float:
        """Estimate the seconds with some requests in progress.

        :param tokens: of these requests.
        """
        return self.idle + requests * self.per_request + tokens * self.per_token


UNMEASURED = EventSeconds(0, 0, 0)
"""Of a replica whose speed is not known."""


@dataclass(frozen=True, slots=True)
class ReplicaCapacity:
    """What a replica holds at once.

    :param tokens: tokens whose KV caches may be reserved.
    :param slots: requests whose path may begin at it.
    :param version: of the weights that it holds.
    :param event_seconds: how the requests in progress slow it down.
    """

    name: str
    layers: LayerRange
    tokens: float
    slots: int
    version: int = 0
    event_seconds: EventSeconds = UNMEASURED


def measure_capacities(
    replicas: Iterable[Replica], profile: ModelProfile
) -> dict[str, ReplicaCapacity]:
    """Compute the capacities of the replicas that hold layers, by name."""
    return {
        replica.name: ReplicaCapacity(
            replica.name,
            replica.layers,
            USABLE_FRACTION
            * estimate_capacity(
                profile,
                profile.accelerators[replica.accelerator],
                replica.layers,
            ),
            replica.slots,
            replica.version,
            _measure_event_seconds(
                profile, profile.accelerators[replica.accelerator]
            ),
        )
        for replica in replicas
        if replica.layers is not None
        and not replica.leaving
        and replica.accelerator in profile.accelerators
    }


def list_slow(
    capacities: Mapping[str, ReplicaCapacity],
    ledger: ReservationLedger,
    tokens: int,
    gap: float,
) -> frozenset[str]:
    """List the replicas that one more request would make too slow.

    :param tokens: of the request.
    :param gap: longest time between two events, in seconds.
    """
    requests = ledger.unplaced + 1
    needed = ledger.unplaced_tokens + tokens
    return frozenset(
        name
        for name, capacity in capacities.items()
        if capacity.event_seconds.estimate(
            ledger.requests[name] + requests, ledger.tokens[name] + needed
        )
        > max(gap, capacity.event_seconds.idle * MAX_SLOWDOWN)
    )


def list_full(
    capacities: Mapping[str, ReplicaCapacity],
    ledger: ReservationLedger,
    tokens: int,
) -> frozenset[str]:
    """List the replicas without memory for a request.

    :param tokens: of the request.
    """
    needed = tokens + ledger.unplaced_tokens
    return frozenset(
        name
        for name, capacity in capacities.items()
        if ledger.tokens[name] + needed > capacity.tokens
    )


def _measure_event_seconds(
    profile: ModelProfile, accelerator: Accelerator
) -> EventSeconds:
    steps = profile.steps_per_event
    layers = profile.layers
    idle = steps * estimate_step(profile, accelerator, layers, 0)
    one = steps * estimate_step(profile, accelerator, layers, 1)
    context = steps * estimate_step(profile, accelerator, layers, 0, 1)
    return EventSeconds(idle, one - idle, context - idle)


def list_usable(
    capacities: Mapping[str, ReplicaCapacity], full: Container[str]
) -> list[ReplicaCapacity]:
    """List the replicas that have memory.

    :param full: names of those without.
    """
    return [
        capacity for name, capacity in capacities.items() if name not in full
    ]


def list_without_slot(
    capacities: Mapping[str, ReplicaCapacity], ledger: ReservationLedger
) -> frozenset[str]:
    """List the replicas at which no further path may begin."""
    return frozenset(
        name
        for name, capacity in capacities.items()
        if ledger.entries[name] >= capacity.slots
    )


def count_free_slots(
    capacities: Iterable[ReplicaCapacity],
    ledger: ReservationLedger,
    count_room: Callable[[str], float],
) -> int:
    """Count the paths that may still begin at some replicas.

    Slots that were granted to requests without a path are not free.

    :param capacities: of the replicas that have memory.
    :param count_room: returns how many requests a first replica can begin in
        time.
    """
    free = sum(
        max(
            0,
            min(
                capacity.slots - ledger.entries[capacity.name],
                math.floor(min(capacity.slots, count_room(capacity.name))),
            ),
        )
        for capacity in capacities
        if not capacity.layers.first
    )
    return free - ledger.unplaced


def has_path(
    capacities: Iterable[ReplicaCapacity],
    without_slot: frozenset[str],
    layers: int,
) -> bool:
    """Return whether some replicas hold all layers, in one version.

    :param capacities: of the replicas that have memory.
    :param without_slot: names of those at which no path may begin.
    :param layers: number of layers of the model.
    """
    ordered = sorted(capacities, key=lambda capacity: capacity.version)
    groups = itertools.groupby(ordered, key=lambda capacity: capacity.version)
    return any(
        _cover(list(members), without_slot, layers) for _, members in groups
    )


def measure_largest(
    capacities: Collection[ReplicaCapacity], layers: int
) -> float:
    """Return the tokens of the largest request that fits on idle replicas.

    :param layers: number of layers of the model.
    :returns: the tokens; 0 if the replicas don't hold all layers.
    """
    without_slot = frozenset(
        capacity.name for capacity in capacities if capacity.slots <= 0
    )

    def is_too_large(tokens: float) -> bool:
        usable = [
            capacity for capacity in capacities if capacity.tokens >= tokens
        ]
        return not has_path(usable, without_slot, layers)

    sizes = sorted({capacity.tokens for capacity in capacities})
    fitting = bisect.bisect_left(sizes, True, key=is_too_large)
    return sizes[fitting - 1] if fitting else 0


def _cover(
    members: list[ReplicaCapacity], without_slot: frozenset[str], layers: int
) -> bool:
    """Return whether some replicas together hold all layers."""
    covered = max(
        (
            member.layers.end
            for member in members
            if not member.layers.first and member.name not in without_slot
        ),
        default=0,
    )
    for member in sorted(members, key=lambda member: member.layers.first):
        if member.layers.first > covered:
            break
        if covered:
            covered = max(covered, member.layers.end)
    return covered >= layers
