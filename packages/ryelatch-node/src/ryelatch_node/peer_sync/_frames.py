"""What nodes ask each other of the store, as a stream of msgpack frames."""

import asyncio
import zlib
from typing import Annotated

import msgspec

from ryelatch_core.membership import NodeEntry

MOST_BYTES = 4_194_304
"""Longest frame that is read; a change of a thousand entries has 400 kB."""

_LENGTH_BYTES = 4
_LEVEL = 1


Span = Annotated[float, msgspec.Meta(ge=0)]
"""Seconds; less than none would date knowledge into the future, and keys that
were taken away be accepted meanwhile."""

Revision = Annotated[int, msgspec.Meta(ge=-1)]
"""Of the store; -1 where nothing is known."""


Pace = Annotated[float, msgspec.Meta(ge=0)]
"""Requests a second."""

_LONGEST_NAME = 256

LifeName = Annotated[str, msgspec.Meta(min_length=1, max_length=_LONGEST_NAME)]
"""Of a replica's life; an entry's name and when it began."""


class Change(msgspec.Struct, frozen=True, array_like=True):
    """An object that was written or deleted, as the store told of it."""

    content: bytes
    deleted: bool


class Question(msgspec.Struct, frozen=True, array_like=True, tag='watch'):
    """A watch of a kind of object.

    :param since: revision of the store from which changes are wanted.
    :param wait: seconds after which an answer is wanted anyway.
    :param whole: whether large changes are wanted too, as the asker can't
        read them from the store.
    """

    kind: str
    since: int
    wait: float
    whole: bool = False


class PermitRequest(
    msgspec.Struct, frozen=True, array_like=True, tag='permit'
):
    """A question for leave to send a request to a replica.

    :param replica: name of its life.
    :param limit: what it said of its limit last, as far as the asker knows;
        nothing if it has none any more, which is told and asks for nothing.
    :param age: seconds since it said so.
    """

    replica: LifeName
    limit: Pace | None
    age: Span


class PermitReply(msgspec.Struct, frozen=True, array_like=True):
    """Whether a request may be sent.

    :param wait: seconds until there is leave again, where there is none.
    :param limit: what the replica said last, as far as the limiter knows;
        nothing if it has no limit any more.
    :param age: seconds since it said so.
    """

    granted: bool
    wait: Span
    limit: Pace | None
    age: Span


class Greeting(msgspec.Struct, frozen=True, array_like=True, tag='greeting'):
    """Word to a node that may have started while the store was out.

    :param name: of the node that greets, and may be asked.
    :param nodes: all that there are; none to ask only what the other knows.
    """

    name: str
    nodes: tuple[NodeEntry, ...] = ()


class GreetingReply(msgspec.Struct, frozen=True, array_like=True):
    """Whether the node that was greeted knows what it needs."""

    knows: bool


class WholeQuestion(msgspec.Struct, frozen=True, array_like=True, tag='whole'):
    """A question for all objects of a kind."""

    kind: str


class WholeReply(msgspec.Struct, frozen=True, array_like=True):
    """All objects of a kind.

    :param known: whether the node knows them, and they may be passed on.
    :param at: revision as of which they are known.
    :param age: seconds since it knew that nothing else had changed.
    :param packed: the objects, see :func:`pack`.
    :param unanswered: as for a watch.
    """

    known: bool
    at: Revision = 0
    age: Span = 0
    packed: bytes = b''
    unanswered: Span | None = None


class Reply(msgspec.Struct, frozen=True, array_like=True):
    """What a node knows of a kind.

    :param covered: whether it knows all changes since the revision.
    :param at: revision up to which it knows them.
    :param waited: seconds from the question to this reply.
    :param age: seconds since it knew that nothing else had changed.
    :param packed: the changes, see :func:`pack`.
    :param unanswered: seconds since it last made a call that the store left
        unanswered; nothing if there was none.
    :param out: whether the store is out for it.
    """

    covered: bool
    at: Revision = 0
    waited: Span = 0
    age: Span = 0
    packed: bytes = b''
    unanswered: Span | None = None
    out: bool = False


def pack(changes: tuple[Change, ...]) -> bytes:
    """Compress changes: a registration in a run of them takes 41 bytes."""
    if not changes:
        return b''
    return zlib.compress(msgspec.msgpack.encode(changes), _LEVEL)


def unpack(packed: bytes) -> tuple[Change, ...]:
    """Read changes.

    :raises ValueError: if these bytes are none, or too many once unpacked.
    """
    if not packed:
        return ()
    reader = zlib.decompressobj()
    try:
        body = reader.decompress(packed, MOST_BYTES)
    except zlib.error as error:
        raise ValueError('changes that are not compressed') from error
    if not reader.eof:
        raise ValueError('changes that are too long or cut off')
    return msgspec.msgpack.decode(body, type=tuple[Change, ...])


def encode(frame: msgspec.Struct) -> bytes:
    """Write a frame with its length in front."""
    body = msgspec.msgpack.encode(frame)
    return len(body).to_bytes(_LENGTH_BYTES) + body


async def read_body(reader: asyncio.StreamReader) -> bytes:
    """Read the body of a frame.

    :raises ValueError: if it says that it is too long.
    :raises EOFError: if the stream ends.
    """
    length = int.from_bytes(await reader.readexactly(_LENGTH_BYTES))
    if length > MOST_BYTES:
        raise ValueError(f'a frame of {length} bytes')
    return await reader.readexactly(length)
