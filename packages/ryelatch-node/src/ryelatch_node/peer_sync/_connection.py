"""A connection to a peer, for one request at a time."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import TypeAlias

import msgspec

from ryelatch_node.peer_sync._frames import encode, read_body

CONNECT_SECONDS = 0.3
"""Longest wait for a connection to a peer; within a region it takes 2 ms."""

Dial: TypeAlias = Callable[
    ...,
    Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]],
]
"""Function that opens a connection to a host and port.

With ``local_addr``, a host and port, the connection comes from there.
"""

REQUEST_ERRORS = (
    OSError,
    EOFError,
    ValueError,
    RecursionError,
    msgspec.MsgspecError,
)
"""Exceptions that a failed request raises; timeouts are among them.

Decoding a frame that is nested too deeply raises ``RecursionError``.
"""


@dataclass(eq=False)
class PeerConnection:
    """An open connection to a peer.

    :param address: ``host:port`` of the peer.
    """

    address: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def lost(self) -> bool:
        """Whether the peer closed the connection, or it broke."""
        reader = self.reader
        return reader.at_eof() or reader.exception() is not None

    async def send_request(self, request: msgspec.Struct) -> bytes:
        """Send a request and read the body of the reply.

        :raises OSError: if the connection is lost.
        :raises EOFError: if the peer closes it.
        :raises ValueError: if the reply is longer than a frame may be.
        """
        self.writer.write(encode(request))
        await self.writer.drain()
        return await read_body(self.reader)

    def drop(self) -> None:
        """Close at once, without waiting for an outstanding reply."""
        self.writer.transport.abort()


async def connect_to_peer(dial: Dial, address: str) -> PeerConnection:
    """Connect to a peer.

    :param address: ``host:port`` of the peer.
    :raises OSError: if it can't be reached in time, or is no address.
    """
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(CONNECT_SECONDS):
            reader, writer = await dial(host, int(port))
    except (ValueError, OverflowError) as error:
        raise OSError(f'no address: {error}') from error
    return PeerConnection(address, reader, writer)


@contextlib.asynccontextmanager
async def open_to_peer(
    dial: Dial, address: str
) -> AsyncIterator[PeerConnection]:
    """Connect to a peer for one request.

    :param address: ``host:port`` of the peer.
    """
    connection = await connect_to_peer(dial, address)
    try:
        yield connection
    finally:
        connection.drop()
