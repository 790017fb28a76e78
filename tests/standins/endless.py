"""Stand-in for a replica whose answers have no end: ``--kind`` tells where.

It writes as fast as its peer reads, or a byte now and then, until that one
closes the connection.
"""

import argparse
import asyncio
import contextlib
import itertools
import re
from collections.abc import Iterator
from dataclasses import dataclass

_PIECE_BYTES = 65_536
_LINE_END = b'\r\n'
_HEAD_END = b'\r\n\r\n'
_IDENTITY = re.compile(rb'X-Ryelatch-Request-Id: (\S+)', re.IGNORECASE)
_PLACEHOLDER = b'{identity}'
_SIGNED = (
    b'HTTP/1.1 200 OK',
    b'X-Ryelatch-Replica-Signature: s',
    b'X-Ryelatch-Request-Id: {identity}',
)
_CHUNKED = (*_SIGNED, b'Transfer-Encoding: chunked', b'')
_STREAM = (*_SIGNED, b'Content-Type: text/event-stream', b'')


@dataclass(frozen=True)
class Kind:
    """What is sent: some lines, and then the same bytes again and again.

    :param lines: the last of them isn't ended.
    :param is_whole: whether an answer is complete before what has no end.
    """

    lines: tuple[bytes, ...]
    again: bytes
    is_whole: bool = False

    def make_start(self, request: bytes) -> bytes:
        """Make what is sent once.

        :param request: head of the request.
        """
        found = _IDENTITY.search(request)
        start = _LINE_END.join(self.lines)
        return start.replace(_PLACEHOLDER, found[1] if found else b'')

    def repeat(self) -> Iterator[bytes]:
        """Yield what is sent again and again, in pieces of about one size."""
        piece = self.again * max(1, _PIECE_BYTES // len(self.again))
        yield from itertools.repeat(piece)


KINDS = {
    'interim': Kind((), b'HTTP/1.1 102 Processing\r\n\r\n'),
    'garbage': Kind((), b'\x00\xff'),
    'status line': Kind((b'HTTP/1.1 200 ',), b'O'),
    'header': Kind((b'HTTP/1.1 200 OK', b'A: '), b'a'),
    'headers': Kind((b'HTTP/1.1 200 OK', b''), b'A: a\r\n'),
    'body': Kind((*_SIGNED, b'', b''), b'a'),
    'chunks': Kind((*_CHUNKED, b''), b'1\r\na\r\n'),
    'chunk size': Kind((*_CHUNKED, b''), b'0'),
    'chunk extension': Kind((*_CHUNKED, b'1;'), b'a'),
    'trailers': Kind((*_CHUNKED, b'0', b''), b'A: a\r\n'),
    'after the answer': Kind(
        (*_SIGNED, b'Content-Length: 0', b'', b''), b'a', is_whole=True
    ),
    'answers': Kind(
        (*_SIGNED, b'Content-Length: 0', b'', b''),
        b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
        is_whole=True,
    ),
    'empty lines': Kind(
        (*_SIGNED, b'Content-Length: 0', b'', b''), b'\r\n', is_whole=True
    ),
    'event': Kind((*_STREAM, b'data: '), b'a'),
    'comments': Kind((*_STREAM, b''), b':\n\n'),
}


async def _serve(
    kind: Kind,
    pause: float,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        request = await reader.readuntil(_HEAD_END)
        writer.write(kind.make_start(request))
        for piece in kind.repeat():
            await _write(writer, piece, pause)
    writer.transport.abort()


async def _write(
    writer: asyncio.StreamWriter, piece: bytes, pause: float
) -> None:
    """Write a piece at once, or a byte before each pause."""
    parts = [bytes((byte,)) for byte in piece] if pause else [piece]
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(pause)


async def _run(port: int, kind: Kind, pause: float) -> None:
    server = await asyncio.start_server(
        lambda reader, writer: _serve(kind, pause, reader, writer),
        '127.0.0.1',
        port,
    )
    address = server.sockets[0].getsockname()
    print('READY', address[1], flush=True)
    await server.serve_forever()


def main() -> None:
    """Run until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--kind', choices=KINDS, required=True)
    parser.add_argument('--pause', type=float, default=0)
    options = parser.parse_args()
    asyncio.run(_run(options.port, KINDS[options.kind], options.pause))


if __name__ == '__main__':
    main()
