"""TCP proxies on loopback that delay, drop or reset traffic."""

import asyncio
import contextlib
import enum
import socket
import struct
from dataclasses import dataclass, field

from fleet.running import wait_until

_CHUNK_BYTES = 65_536
_DELAY_SECONDS = 0.3


class LinkMode(enum.Enum):
    """What a link does to its traffic."""

    OPEN = 'open'
    DELAYED = 'delayed'
    SILENT = 'silent'
    ONE_WAY = 'one way'
    """Requests are forwarded, answers are dropped."""

    RESET = 'reset'
    """Open connections are reset, new ones as soon as they are accepted."""


_ZERO_LINGER = struct.pack('ii', 1, 0)


def _abort(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; a plain close would end it in an orderly way."""
    sock = writer.get_extra_info('socket')
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
    writer.transport.abort()


@dataclass(eq=False)
class Link:
    """Listener on loopback that forwards connections to a target."""

    target: tuple[str, int]
    mode: LinkMode = LinkMode.OPEN
    port: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def address(self) -> str:
        """Host and port at which it listens."""
        return f'127.0.0.1:{self.port}'

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening, and reset and wait for all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        await wait_until(lambda: not self._writers)

    async def close(self) -> None:
        """Refuse new connections, and reset all open ones."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def switch(self, mode: LinkMode) -> None:
        """Change the mode; ``RESET`` also resets all open connections."""
        self.mode = mode
        if mode is LinkMode.RESET:
            self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
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
            target_reader, target_writer = await asyncio.open_connection(
                *self.target
            )
        except OSError:
            _abort(writer)
            return
        writers = {writer, target_writer}
        self._writers |= writers
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, to_client=False),
                self._forward(target_reader, writer, to_client=True),
            )
        finally:
            for endpoint in writers:
                _abort(endpoint)
            self._writers -= writers

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        to_client: bool,
    ) -> None:
        cut = False
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                if self.mode is LinkMode.DELAYED:
                    await asyncio.sleep(_DELAY_SECONDS)
                dropped = self.mode is LinkMode.SILENT
                dropped = dropped or (
                    to_client and self.mode is LinkMode.ONE_WAY
                )
                # A connection that lost bytes forwards nothing more: TCP never
                # delivers later bytes without the lost ones.
                cut = cut or dropped
                if cut:
                    continue
                writer.write(chunk)
                await writer.drain()
        except OSError:
            # A reset is forwarded as a reset: after an orderly close, a
            # partial body without a length would count as complete.
            _abort(writer)
            return
        # A close is forwarded like data; a silent link drops it.
        if not cut:
            with contextlib.suppress(OSError):
                writer.close()
