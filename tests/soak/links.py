"""Loopback links that delay, cut, silence and reset what passes."""

import asyncio
import contextlib
import enum
import socket
import struct
from dataclasses import dataclass, field

from fleet.running import wait_until

_PIECE = 65_536
_DELAY_SECONDS = 0.3


class LinkMode(enum.Enum):
    """What a link does to the bytes that pass."""

    OPEN = 'open'
    DELAYED = 'delayed'
    SILENT = 'silent'
    ONE_WAY = 'one way'
    """Requests pass, answers don't."""

    RESET = 'reset'
    """Connections are reset, and new ones at once."""


_NO_LINGER = struct.pack('ii', 1, 0)


def _abort(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; closing alone would end it in order."""
    held = writer.get_extra_info('socket')
    with contextlib.suppress(OSError):
        held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()


@dataclass(eq=False)
class Link:
    """A listener on loopback that passes bytes on to a target."""

    target: tuple[str, int]
    mode: LinkMode = LinkMode.OPEN
    port: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def address(self) -> str:
        """Where it listens."""
        return f'127.0.0.1:{self.port}'

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self.reset()
        await wait_until(lambda: not self._writers)

    async def close(self) -> None:
        """Refuse connections from now on, and reset all that are open."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def switch(self, mode: LinkMode) -> None:
        """Change what it does; a reset also ends what is open."""
        self.mode = mode
        if mode is LinkMode.RESET:
            self.reset()

    def reset(self) -> None:
        """Reset all connections that pass through it."""
        for writer in tuple(self._writers):
            _abort(writer)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.mode is LinkMode.RESET:
            _abort(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            _abort(writer)
            return
        ends = {writer, far_writer}
        self._writers |= ends
        try:
            await asyncio.gather(
                self._pass(reader, far_writer, answers=False),
                self._pass(far_reader, writer, answers=True),
            )
        finally:
            for one in ends:
                _abort(one)
            self._writers -= ends

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        cut = False
        try:
            while piece := await reader.read(_PIECE):
                if self.mode is LinkMode.DELAYED:
                    await asyncio.sleep(_DELAY_SECONDS)
                lost = self.mode is LinkMode.SILENT
                lost = lost or (answers and self.mode is LinkMode.ONE_WAY)
                # A connection that lost bytes is silent for good: passing on
                # what came later would make a hole that no network makes.
                cut = cut or lost
                if cut:
                    continue
                writer.write(piece)
                await writer.drain()
        except OSError:
            # A reset stays one: passed on as an orderly end, a part of a body
            # without a length would be whole by the protocol.
            _abort(writer)
            return
        # An end passes like everything else; a silent link keeps it.
        if not cut:
            with contextlib.suppress(OSError):
                writer.close()
