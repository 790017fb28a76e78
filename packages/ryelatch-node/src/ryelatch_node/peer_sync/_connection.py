"""A connection to a peer, for one question at a time."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeAlias

import msgspec

from ryelatch_node.peer_sync._frames import encode, read_body

CONNECT_SECONDS = 0.3
"""Longest wait for a connection to a peer; in a region it takes 2 ms."""

Dial: TypeAlias = Callable[
    [str, int],
    Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]],
]
"""Opens a connection to a host and port."""

REQUEST_ERRORS = (OSError, EOFError, ValueError, msgspec.MsgspecError)
"""What may become of a question; timeouts are among them."""


@dataclass(eq=False)
class PeerConnection:
    """An open connection.

    :param address: ``host:port`` of the peer.
    """

    address: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def lost(self) -> bool:
        """Whether the peer has closed it, or it broke."""
        reader = self.reader
        return reader.at_eof() or reader.exception() is not None

    async def ask(self, question: msgspec.Struct) -> bytes:
        """Ask a question and read the body of the reply.

        :raises OSError: if the connection is lost.
        :raises EOFError: if the peer closes it.
        :raises ValueError: if the reply is no frame.
        """
        self.writer.write(encode(question))
        await self.writer.drain()
        return await read_body(self.reader)

    def drop(self) -> None:
        """Close at once; a reply that is still to come is not wanted."""
        self.writer.transport.abort()


async def connect_to_peer(dial: Dial, address: str) -> PeerConnection:
    """Connect to a peer.

    :raises OSError: if it can't be reached in time.
    """
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(CONNECT_SECONDS):
        reader, writer = await dial(host, int(port))
    return PeerConnection(address, reader, writer)
