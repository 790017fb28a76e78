"""Stand-in for a replica of a plain service, without limits on requests."""

import asyncio
import contextlib
import re
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

_IDENTITY = re.compile(rb'x-ryelatch-request-id: *([^\r]*)', re.IGNORECASE)
_LENGTH = re.compile(rb'content-length: *([0-9]+)', re.IGNORECASE)
_HEAD_END = b'\r\n\r\n'
_MAX_HEAD_BYTES = 2**20
_PIECE = b'x' * 65_536


@dataclass
class RawReplica:
    """A replica that answers each request after a while.

    :param pause: seconds until it answers.
    :param size: bytes of each answer's body.
    :ivar heads: largest head of a request that it received, in bytes.
    :ivar bodies: largest body.
    :ivar identities: of the requests that it received.
    :ivar address: host and port on which it listens.
    """

    pause: float = 0
    size: int = 2
    heads: int = 0
    bodies: int = 0
    identities: list[bytes] = field(default_factory=list)
    address: str = ''

    @contextlib.asynccontextmanager
    async def serve(self) -> AsyncIterator[None]:
        """Listen on a port of its own until the block is left."""
        server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=_MAX_HEAD_BYTES
        )
        port = server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        try:
            yield
        finally:
            server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, EOFError):
            while True:
                await self._answer(reader, writer)
        writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(_HEAD_END)
        length = _LENGTH.search(head)
        size = int(length[1]) if length else 0
        await reader.readexactly(size)
        found = _IDENTITY.search(head)
        identity = found[1] if found else b''
        self.heads = max(self.heads, len(head))
        self.bodies = max(self.bodies, size)
        self.identities.append(identity)
        await asyncio.sleep(self.pause)
        lines = (
            b'HTTP/1.1 200 OK',
            b'X-Ryelatch-Replica-Signature: s',
            b'X-Ryelatch-Request-Id: %b' % identity,
            b'Content-Length: %d' % self.size,
            b'',
            b'',
        )
        writer.write(b'\r\n'.join(lines))
        if head.startswith(b'HEAD '):
            return
        for sent in range(0, self.size, len(_PIECE)):
            writer.write(_PIECE[: self.size - sent])
            await writer.drain()
