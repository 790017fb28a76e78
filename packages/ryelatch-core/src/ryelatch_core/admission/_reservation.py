"""Requests for room at replicas, and the answers to them."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReservationRequest:
    """A request that needs room at the replicas of a path.

    Times are in monotonic seconds.

    :param identity: of the request, unique among all nodes.
    :param priority: 0 is served first.
    :param account: name of its client account; empty if anonymous.
    :param tokens: tokens of its prompt and expected answer, whose KV caches
        occupy the replicas.
    :param retried: whether its client was refused before.
    :param start_by: latest time at which a place is still of use to it.
    :param expires: when its client stops waiting for the answer.
    :param patience: longest time to its first event, in seconds.
    :param gap: longest time between two of its events, in seconds.
    """

    identity: str
    priority: int
    account: str
    tokens: int
    retried: bool
    start_by: float
    expires: float
    patience: float = math.inf
    gap: float = math.inf


@dataclass(frozen=True, slots=True)
class Granted:
    """A place was reserved for a request."""

    identity: str


@dataclass(frozen=True, slots=True)
class Queued:
    """A request waits for a place.

    :param wait: predicted seconds until it gets one.
    """

    identity: str
    wait: float


@dataclass(frozen=True, slots=True)
class Refused:
    """A request gets no place in time.

    :param retry_after: seconds after which a place is expected for it.
    """

    identity: str
    retry_after: float
