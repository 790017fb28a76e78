"""Requests and replies between nodes, as a stream of msgpack frames."""

import asyncio
import zlib
from typing import Annotated

import msgspec

from ryelatch_core.eras import FIRST_ERA, MAX_ERA
from ryelatch_core.membership import NodeEntry

MAX_FRAME_BYTES = 4_194_304
"""Longest frame that is read; a thousand changed entries take 400 kB."""

_LENGTH_BYTES = 4
_COMPRESSION_LEVEL = 1


Duration = Annotated[float, msgspec.Meta(ge=0)]
"""Seconds, not negative.

A negative age would date a confirmation into the future, and revoked keys
would be accepted until then.
"""

Revision = Annotated[int, msgspec.Meta(ge=-1)]
"""Revision of the store; -1 if none is known."""


Era = Annotated[int, msgspec.Meta(ge=FIRST_ERA, le=MAX_ERA)]
"""Era of the store that a revision beside it belongs to."""

Version = Annotated[int, msgspec.Meta(ge=0)]
"""Version of the configuration."""

RequestRate = Annotated[float, msgspec.Meta(ge=0)]
"""Requests per second."""

_MAX_NAME_LENGTH = 256

IncarnationName = Annotated[
    str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_LENGTH)
]
"""Name of an incarnation of a replica: entry name and start time."""


class Change(msgspec.Struct, frozen=True, array_like=True):
    """An object that was written or deleted, as received from the store."""

    content: bytes
    deleted: bool


class WatchRequest(msgspec.Struct, frozen=True, array_like=True, tag='watch'):
    """Requests the changes of a kind of object, as a long poll.

    :param since: revision of the store after which changes are requested.
    :param wait: seconds after which to reply even if nothing has changed.
    :param whole: whether to include large changes, as the requester can't
        read them from the store.
    :param era: era of ``since``.
    """

    kind: str
    since: int
    wait: float
    whole: bool = False
    era: Era = FIRST_ERA


class PermitRequest(msgspec.Struct, frozen=True, array_like=True, tag='permit'):
    """Requests permission to send a request to a replica.

    :param replica: name of the replica's incarnation.
    :param limit: the rate limit that the replica last reported to the
        requester; ``None`` if it has no limit any more, in which case the
        frame only announces that and requests no permit.
    :param age: seconds since the replica reported it.
    """

    replica: IncarnationName
    limit: RequestRate | None
    age: Duration


class PermitReply(msgspec.Struct, frozen=True, array_like=True):
    """Grants or denies permission to send a request.

    :param wait: if denied, seconds until a permit is available again.
    :param limit: the rate limit that the replica last reported, as far as the
        limiting node knows; ``None`` if it has no limit any more.
    :param age: seconds since the replica reported it.
    """

    granted: bool
    wait: Duration
    limit: RequestRate | None
    age: Duration


class BootstrapMessage(
    msgspec.Struct, frozen=True, array_like=True, tag='greeting'
):
    """Introduces a node to one that may have started during a store outage.

    :param name: of the sending node, which accepts list requests.
    :param nodes: all nodes; empty to query only whether the receiver already
        has the state it needs.
    """

    name: str
    nodes: tuple[NodeEntry, ...] = ()


class BootstrapReply(msgspec.Struct, frozen=True, array_like=True):
    """Reports whether the receiver has the state it needs to serve.

    :param knows: false if it still has to list objects from a peer.
    """

    knows: bool


class JoinRequest(msgspec.Struct, frozen=True, array_like=True, tag='join'):
    """Asks whether a node knows the sender, whose entry is new.

    :param name: of the sending node.
    """

    name: str


class JoinReply(msgspec.Struct, frozen=True, array_like=True):
    """Tells a node whether it is known.

    :param known: false if its entry couldn't be read.
    """

    known: bool


class ListRequest(msgspec.Struct, frozen=True, array_like=True, tag='whole'):
    """Requests all objects of a kind."""

    kind: str


class SeenVersionRequest(
    msgspec.Struct, frozen=True, array_like=True, tag='seen'
):
    """Asks for the newest version of an object that a node has seen.

    :param kind: kind of the object.
    """

    kind: str


class SeenVersionReply(msgspec.Struct, frozen=True, array_like=True):
    """Tells how far the store may be behind what a node has seen.

    :param era: latest era of the store that the node knows.
    :param unsettled: seconds for which the store may lack the newest version.
    :param version: newest version that the node has seen; 0 if there is none.
    """

    era: Era = FIRST_ERA
    unsettled: Duration = 0
    version: Version = 0


class SessionRequest(
    msgspec.Struct, frozen=True, array_like=True, tag='session'
):
    """Opens a session for reservations, which uses the connection from now on.

    :param service: the service whose replicas are reserved.
    :param zone: the availability zone of these replicas.
    :param heartbeat: longest time between two messages while the node holds
        places, in seconds; 0 if it promises none, as nodes before this field.
    """

    service: str
    zone: str
    heartbeat: Duration = 0


class ListReply(msgspec.Struct, frozen=True, array_like=True):
    """All objects of a kind.

    :param known: whether the node has them, and they fit a frame.
    :param at: revision of the store that they correspond to.
    :param age: seconds since they were last confirmed as current.
    :param packed: the objects, see :func:`pack`.
    :param unanswered: as in :class:`WatchReply`.
    :param era: era of ``at``.
    """

    known: bool
    at: Revision = 0
    age: Duration = 0
    packed: bytes = b''
    unanswered: Duration | None = None
    era: Era = FIRST_ERA


class WatchReply(msgspec.Struct, frozen=True, array_like=True):
    """Changes of a kind of object.

    :param covered: whether all changes since the requested revision are
        included.
    :param at: revision of the store up to which changes are included.
    :param waited: seconds from the arrival of the request to this reply.
    :param age: seconds since the state was last confirmed as current.
    :param packed: the changes, see :func:`pack`.
    :param unanswered: seconds since the replying node sent the last call that
        the store left unanswered; ``None`` if there was none.
    :param out: whether the store is unavailable to the replying node.
    :param era: era of ``at``.
    """

    covered: bool
    at: Revision = 0
    waited: Duration = 0
    age: Duration = 0
    packed: bytes = b''
    unanswered: Duration | None = None
    out: bool = False
    era: Era = FIRST_ERA


def pack(changes: tuple[Change, ...]) -> bytes:
    """Serialize and compress changes.

    In a series of registrations, each takes 41 bytes.
    """
    if not changes:
        return b''
    return zlib.compress(msgspec.msgpack.encode(changes), _COMPRESSION_LEVEL)


def unpack(packed: bytes) -> tuple[Change, ...]:
    """Decompress and parse changes.

    :raises ValueError: if the bytes are not changes, or are longer than a
        frame may be once decompressed.
    """
    if not packed:
        return ()
    reader = zlib.decompressobj()
    try:
        body = reader.decompress(packed, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise ValueError('changes are not compressed with zlib') from error
    if not reader.eof:
        raise ValueError('changes are too long or truncated')
    return msgspec.msgpack.decode(body, type=tuple[Change, ...])


def encode(frame: msgspec.Struct) -> bytes:
    """Serialize a frame, preceded by its length."""
    body = msgspec.msgpack.encode(frame)
    return len(body).to_bytes(_LENGTH_BYTES) + body


async def read_body(reader: asyncio.StreamReader) -> bytes:
    """Read the body of a frame.

    :raises ValueError: if the frame is longer than allowed.
    :raises EOFError: if the stream ends.
    """
    return await reader.readexactly(await read_length(reader))


async def read_length(reader: asyncio.StreamReader) -> int:
    """Read the length of a frame's body.

    :raises ValueError: if the frame is longer than allowed.
    :raises EOFError: if the stream ends.
    """
    length = int.from_bytes(await reader.readexactly(_LENGTH_BYTES))
    if length > MAX_FRAME_BYTES:
        raise ValueError(f'frame too long: {length} bytes')
    return length
