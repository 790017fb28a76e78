"""Responses of the object store that come in parts, or end early."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from ryelatch_core.settings import Platform
from ryelatch_node.store import Store, StoreError

_HEAD = b'HTTP/1.1 200 OK\r\nETag: "1"\r\n'
_BODY = b'content'


@contextlib.asynccontextmanager
async def _open_store(*pieces: bytes) -> AsyncIterator[Store]:
    """Run a store that responds in pieces, and closes the connection."""
    closed = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0.05)
        writer.close()
        closed.set()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        store = Store(Platform(f'http://127.0.0.1:{port}', 'token'))
        try:
            yield store
        finally:
            await closed.wait()
            await store.close()


async def test_response_in_pieces_is_read_whole() -> None:
    """The first piece of an object is taken for all of it."""
    head = b'%bContent-Length: %d\r\n\r\n' % (_HEAD, 2 * len(_BODY))
    async with _open_store(head, _BODY, _BODY) as store:
        found = await store.get('key')
        assert found.unwrap().body == _BODY + _BODY


@pytest.mark.parametrize(
    'framing',
    [
        b'',
        b'Content-Length: 9\r\n',
        b'Transfer-Encoding: chunked\r\n',
    ],
)
async def test_response_that_ends_early_is_none(framing: bytes) -> None:
    """An object that is cut off with its connection is taken for whole."""
    head = b'%b%b\r\n' % (_HEAD, framing)
    body = b'7\r\ncontent' if b'chunked' in framing else _BODY
    async with _open_store(head, body) as store:
        found = await store.get('key')
        assert found.unwrap_err() is StoreError.UNAVAILABLE
