"""Requests between nodes about links to replicas, and forwarded requests."""

import msgspec

from ryelatch_node.peer_sync._frames import Duration


class ReachRequest(msgspec.Struct, frozen=True, array_like=True, tag='reach'):
    """Asks whether a node reaches replicas.

    :param groups: services and availability zones of the replicas.
    """

    groups: tuple[tuple[str, str], ...]


class ReachReply(msgspec.Struct, frozen=True, array_like=True):
    """What a node reaches.

    :param reached: those of the requested groups that it reaches.
    :param room: requests of other nodes that it accepts besides those that it
        serves now.
    """

    reached: tuple[tuple[str, str], ...]
    room: int = 0


class ForwardRequest(
    msgspec.Struct, frozen=True, array_like=True, tag='forward'
):
    """A request of a client, which the receiving node relays.

    The connection carries the answer, and after it the next request. A node
    that closes it has lost its client or its interest.

    :param origin: name of the node that the client is connected to.
    :param headers: the client's, with names in lower case.
    :param service: the service that the origin chose from the route's.
    :param version: version of the configuration that the origin has.
    :param elapsed: seconds since the origin received the request's headers.
    :param last_event: number of the last event that the client has received.
    :param ran: runs so far that count against the attempts allowed.
    """

    origin: str
    method: str
    path: bytes
    query: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    service: str
    version: int
    elapsed: Duration
    last_event: int | None = None
    ran: int = 0


class ForwardAlive(msgspec.Struct, frozen=True, array_like=True, tag='alive'):
    """The request is in progress; sent at once, and while nothing else is.

    :param ran: runs there so far that count against the attempts of the route.
    """

    ran: int = 0


class ForwardRefused(
    msgspec.Struct, frozen=True, array_like=True, tag='refused'
):
    """The node itself ends the request with an error.

    :param retry_after: seconds after which the client should retry, if any.
    :param reaches: whether the node reaches the replicas of the service.
    :param ran: runs there that count against the attempts of the route.
    :param sent: whether a replica may have received it there.
    """

    status: int
    reason: str
    retry_after: Duration | None = None
    reaches: bool = True
    ran: int = 0
    sent: bool = True


class ForwardStart(msgspec.Struct, frozen=True, array_like=True, tag='start'):
    """Status and headers of a replica's answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]


class ForwardPiece(msgspec.Struct, frozen=True, array_like=True, tag='piece'):
    """A piece of the answer's body.

    :param last: whether the answer is complete with it.
    """

    content: bytes
    last: bool = False


ForwardReply = ForwardAlive | ForwardRefused | ForwardStart | ForwardPiece
"""Any message about a forwarded request."""
