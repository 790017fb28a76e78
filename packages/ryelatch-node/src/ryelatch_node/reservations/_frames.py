"""Messages between a node and the controller of a zone."""

from typing import Annotated, TypeAlias

import msgspec

from ryelatch_core.admission import ReservationRequest
from ryelatch_node.peer_sync import Duration, IncarnationName

MAX_SECONDS = 3600.0
"""Longest delay that is reported, far above any that occurs."""

MAX_COUNT = 1_000_000_000_000
"""Largest number that is reported, far above any that occurs."""

_MAX_PATH_LENGTH = 1024

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
"""A number of things, not negative."""

BoundedDuration = Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]
"""Seconds, neither negative nor infinite.

A mean over them would stay infinite, and a client would never retry.
"""

Path = Annotated[
    tuple[IncarnationName, ...],
    msgspec.Meta(min_length=1, max_length=_MAX_PATH_LENGTH),
]
"""Names of the replicas of a path, in order; there is at least one."""


class Terms(msgspec.Struct, frozen=True, array_like=True):
    """What a request needs; times are relative, as clocks of VMs differ.

    :param start_in: seconds until a place is of no use any more.
    :param expires_in: seconds until the client stops waiting.
    :param patience: longest time to the first event, in seconds.
    :param gap: longest time between two events, in seconds.
    """

    priority: Count
    account: str
    tokens: Count
    retried: bool
    start_in: Duration
    expires_in: Duration
    patience: Duration
    gap: Duration


class Reserve(msgspec.Struct, frozen=True, array_like=True, tag='reserve'):
    """Asks for room on a path at once.

    :param number: of the request in this session.
    :param path: names of the replicas, in order.
    """

    number: Count
    terms: Terms
    path: Path


class Enqueue(msgspec.Struct, frozen=True, array_like=True, tag='enqueue'):
    """Asks to wait for a place."""

    number: Count
    terms: Terms


class Restore(msgspec.Struct, frozen=True, array_like=True, tag='restore'):
    """Reports a request in progress that another controller admitted."""

    number: Count
    terms: Terms
    path: Path


class Place(msgspec.Struct, frozen=True, array_like=True, tag='place'):
    """Reports the path on which an admitted request was sent."""

    number: Count
    path: Path


class Begin(msgspec.Struct, frozen=True, array_like=True, tag='begin'):
    """Reports how long a request took to its first event.

    :param seconds: from when it was sent.
    :param begun: whether the event has arrived; if not, this is how long the
        request has waited so far.
    """

    number: Count
    seconds: BoundedDuration
    begun: bool


class Release(msgspec.Struct, frozen=True, array_like=True, tag='release'):
    """Reports that a request has ended, or waits no longer."""

    number: Count


HEARTBEAT = Release(MAX_COUNT)
"""Sign of life of a node that holds places and has nothing else to send.

No request has this number, so every controller accepts it and changes nothing.
"""


class Shortage(msgspec.Struct, frozen=True, array_like=True, tag='shortage'):
    """Reports that a replica refused a request for lack of memory."""

    replica: IncarnationName


AnyFrame: TypeAlias = (
    Reserve | Enqueue | Restore | Place | Begin | Release | Shortage
)


class ReplicaLoad(msgspec.Struct, frozen=True, array_like=True):
    """Reservations of all nodes at a replica.

    :param tokens: reserved tokens.
    :param free: tokens that may still be reserved.
    :param free_slots: paths that may still begin at it.
    :param delay: predicted seconds to the first event of the next path that
        begins at it.
    """

    name: IncarnationName
    requests: Count
    tokens: Count
    free: Count
    free_slots: Count
    delay: Duration


class GrantReply(msgspec.Struct, frozen=True, array_like=True, tag='granted'):
    """A place was reserved.

    :param load: of all replicas of the zone.
    """

    number: Count
    load: tuple[ReplicaLoad, ...]


class BusyReply(msgspec.Struct, frozen=True, array_like=True, tag='busy'):
    """There is no room on the path, or other requests go first.

    :param waiting: number of requests that wait for a place.
    """

    number: Count
    load: tuple[ReplicaLoad, ...]
    waiting: Count


class QueueReply(msgspec.Struct, frozen=True, array_like=True, tag='queued'):
    """A request waits; a grant or a refusal follows.

    :param wait: predicted seconds until the grant.
    """

    number: Count
    wait: Duration


class RefusalReply(msgspec.Struct, frozen=True, array_like=True, tag='refused'):
    """No place is expected in time.

    :param retry_after: seconds after which one is expected.
    """

    number: Count
    retry_after: BoundedDuration


AnyReply: TypeAlias = GrantReply | BusyReply | QueueReply | RefusalReply


def make_terms(request: ReservationRequest, now: float) -> Terms:
    """Describe a request to another VM.

    :param now: monotonic seconds.
    """
    return Terms(
        request.priority,
        request.account,
        min(request.tokens, MAX_COUNT),
        request.retried,
        max(0, request.start_by - now),
        max(0, request.expires - now),
        request.patience,
        request.gap,
    )


def read_terms(terms: Terms, identity: str, now: float) -> ReservationRequest:
    """Read the description of a request.

    :param identity: of the request at this node.
    :param now: monotonic seconds.
    """
    return ReservationRequest(
        identity,
        terms.priority,
        terms.account,
        terms.tokens,
        terms.retried,
        now + terms.start_in,
        now + terms.expires_in,
        terms.patience,
        terms.gap,
    )
