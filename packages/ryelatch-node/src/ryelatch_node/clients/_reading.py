"""Reads from clients in pieces of a bounded size."""

import asyncio
from typing import Protocol

from ryelatch_node.clients._flow import HeldFlow

READ_BYTES = 16_384
"""Bytes that are read from one connection before others get their turn."""


class ByteProtocol(Protocol):
    """A protocol that gets what was read as bytes."""

    flow: HeldFlow

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Begin to use a connection."""

    def connection_lost(self, exc: Exception | None) -> None:
        """End the use of a connection."""

    def data_received(self, data: bytes) -> None:
        """Process what was read."""

    def eof_received(self) -> bool | None:
        """Process the end of what the client sends."""

    def pause_writing(self) -> None:
        """Stop to write."""

    def resume_writing(self) -> None:
        """Go on to write."""


class BoundedReader(asyncio.BufferedProtocol):
    """Passes what is read on to another protocol, a small piece at a time.

    The event loop reads up to a quarter of a megabyte for a protocol without a
    buffer of its own. What it reads is not left in the system's buffers, which
    stop the client.

    :param inner: the protocol of the connection.
    :param buffer: is shared by all connections, as each piece is copied before
        the next one is read.
    """

    def __init__(self, inner: ByteProtocol, buffer: bytearray) -> None:
        self._inner = inner
        self._buffer = memoryview(buffer)
        self.connection_lost = inner.connection_lost  # type: ignore[method-assign]
        self.eof_received = inner.eof_received  # type: ignore[method-assign]
        self.pause_writing = inner.pause_writing  # type: ignore[method-assign]
        self.resume_writing = inner.resume_writing  # type: ignore[method-assign]

    def connection_made(
        self,
        transport: asyncio.Transport,  # type: ignore[override]
    ) -> None:
        """Begin to use a connection."""
        self._inner.connection_made(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory for the next piece."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass a piece on, and let others be read if there is more of it."""
        self._inner.data_received(bytes(self._buffer[:nbytes]))
        if nbytes == len(self._buffer):
            self._inner.flow.give_way()
