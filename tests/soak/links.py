"""TCP proxies on loopback that delay, drop, refuse or reset traffic."""

import asyncio
import contextlib
import enum
import math
import socket
import struct
from dataclasses import dataclass, field

from fleet.running import wait_until

_CHUNK_BYTES = 65_536
_DELAY_SECONDS = 0.3
_BACKLOG = 128
_FILLERS = 2
"""Connections that fill the shortest backlog, so that no other completes."""


class LinkMode(enum.Enum):
    """What a link does to its traffic."""

    OPEN = 'open'
    DELAYED = 'delayed'
    SILENT = 'silent'
    ONE_WAY = 'one way'
    """Requests are forwarded, answers are dropped."""

    RESET = 'reset'
    """Open connections are reset, new ones as soon as they are accepted."""

    DARK = 'dark'
    """Open connections carry nothing, and new ones are never established."""

    HELD = 'held'
    """Nothing passes, as with ``DARK``, but nothing is lost either."""

    REFUSING = 'refusing'
    """Open connections work, new ones are refused."""


_HARMLESS = frozenset((LinkMode.OPEN, LinkMode.DELAYED, LinkMode.HELD))
"""Modes in which no connection is lost."""

_UNREACHABLE = frozenset((LinkMode.DARK, LinkMode.HELD))


_ZERO_LINGER = struct.pack('ii', 1, 0)


def _abort(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; a plain close would end it in an orderly way."""
    sock = writer.get_extra_info('socket')
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
    writer.transport.abort()


def _bind(port: int = 0) -> socket.socket:
    """Bind a socket on loopback whose port another socket may share."""
    bound = socket.socket()
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    bound.bind(('127.0.0.1', port))
    return bound


def _fill_backlog(port: int) -> list[socket.socket]:
    """Open connections that are never accepted."""
    fillers = [socket.socket() for _ in range(_FILLERS)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(('127.0.0.1', port))
    return fillers


@dataclass(eq=False)
class Link:
    """Listener on loopback that forwards connections to a target.

    :param harms: when it was harmed, as start and end in seconds of the event
        loop's clock; the end is infinity while it is.
    :param cut_ports: its own ports of connections to the target that lost
        bytes.
    """

    target: tuple[str, int]
    mode: LinkMode = LinkMode.OPEN
    port: int = 0
    harms: list[tuple[float, float]] = field(default_factory=list)
    cut_ports: set[int] = field(default_factory=set)
    _released: asyncio.Event = field(default_factory=asyncio.Event)
    _listener: socket.socket | None = None
    _reserved: socket.socket | None = None
    _fillers: list[socket.socket] = field(default_factory=list)
    _accepting: 'asyncio.Task[None] | None' = None
    _tasks: set['asyncio.Task[None]'] = field(default_factory=set)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def address(self) -> str:
        """Host and port at which it listens."""
        return f'127.0.0.1:{self.port}'

    async def start(self) -> None:
        """Start listening."""
        self._reserved = _bind()
        self.port = self._reserved.getsockname()[1]
        self._listen()

    async def stop(self) -> None:
        """Stop listening, and reset and wait for all connections."""
        await self.close()
        if self._reserved is not None:
            self._reserved.close()
        await wait_until(lambda: not self._writers)

    async def stop_listening(self) -> None:
        """Refuse new connections; open ones go on."""
        self._refuse()

    async def close(self) -> None:
        """Refuse new connections, and reset all open ones."""
        self._refuse()
        self.reset()

    def switch(self, mode: LinkMode) -> None:
        """Change the mode; ``RESET`` also resets all open connections."""
        self._record_harm(mode)
        # Connections that lost bytes while the link was dark stay cut.
        if mode is not self.mode and _UNREACHABLE & {mode, self.mode}:
            self._set_dark(dark=mode in _UNREACHABLE)
        if mode is LinkMode.REFUSING:
            self._refuse()
        elif self.mode is LinkMode.REFUSING:
            self._listen()
        self.mode = mode
        if mode is not LinkMode.HELD:
            self._released.set()
            self._released = asyncio.Event()
        if mode is LinkMode.RESET:
            self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        now = asyncio.get_running_loop().time()
        self.harms.insert(0, (now, now))
        for writer in tuple(self._writers):
            _abort(writer)

    def _record_harm(self, mode: LinkMode) -> None:
        now = asyncio.get_running_loop().time()
        if self.mode not in _HARMLESS:
            self.harms[-1] = (self.harms[-1][0], now)
        if mode not in _HARMLESS:
            self.harms.append((now, math.inf))

    def _listen(self) -> None:
        if self._listener is None:
            self._listener = _bind(self.port)
            self._listener.listen(_BACKLOG)
            self._accepting = asyncio.create_task(
                self._accept_all(self._listener)
            )

    def _refuse(self) -> None:
        self._stop_accepting()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self._drop_fillers()

    def _stop_accepting(self) -> None:
        if self._accepting is None or self._listener is None:
            return
        self._accepting.cancel()
        self._accepting = None
        # The loop removes it only later, when another socket may have the
        # same descriptor.
        asyncio.get_running_loop().remove_reader(self._listener)

    def _set_dark(self, *, dark: bool) -> None:
        """Stop or start to accept connections, without refusing any."""
        if self._listener is None:
            return
        if dark and self._accepting is not None:
            self._stop_accepting()
            self._listener.listen(0)
            self._fillers = _fill_backlog(self.port)
        if not dark and self._accepting is None:
            self._drop_fillers()
            self._listener.listen(_BACKLOG)
            self._accepting = asyncio.create_task(
                self._accept_all(self._listener)
            )

    def _drop_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers = []

    async def _accept_all(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(listener)
            task = asyncio.create_task(self._serve(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, accepted: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=accepted)
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
        port = target_writer.get_extra_info('sockname')[1]
        writers = {writer, target_writer}
        self._writers |= writers
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, port, to_client=False),
                self._forward(target_reader, writer, port, to_client=True),
            )
        finally:
            for endpoint in writers:
                _abort(endpoint)
            self._writers -= writers

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        port: int,
        *,
        to_client: bool,
    ) -> None:
        cut = False
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                if self.mode is LinkMode.DELAYED:
                    await asyncio.sleep(_DELAY_SECONDS)
                while self.mode is LinkMode.HELD:
                    await self._released.wait()
                dropped = self.mode in {LinkMode.SILENT, LinkMode.DARK}
                dropped = dropped or (
                    to_client and self.mode is LinkMode.ONE_WAY
                )
                # A connection that lost bytes forwards nothing more: TCP never
                # delivers later bytes without the lost ones.
                cut = cut or dropped
                if cut:
                    self.cut_ports.add(port)
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
