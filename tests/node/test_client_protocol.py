"""Answers that end with their connection, to clients of HTTP/1.0."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest
import uvicorn
from starlette.types import Receive, Scope, Send

from ryelatch_node.client_protocol import ClientProtocol
from ryelatch_node.listener import bind_listener

_REQUEST = b'GET /x HTTP/1.0\r\n\r\n'
_PIECE = bytes(1_048_576)
_PIECES = 16
"""Together they are longer than what a system holds for a connection."""


@contextlib.asynccontextmanager
async def _serve(*, fails: bool) -> AsyncIterator[int]:
    """Serve a long answer without a length; returns the port.

    :param fails: whether it fails before its last piece.
    """

    async def answer(scope: Scope, receive: Receive, send: Send) -> None:
        await send({'type': 'http.response.start', 'status': 200})
        body = {'type': 'http.response.body', 'body': _PIECE}
        for _ in range(_PIECES - 1):
            await send({**body, 'more_body': True})
        if fails:
            raise ValueError
        await send(body)

    config = uvicorn.Config(
        answer, http=ClientProtocol, lifespan='off', log_config=None
    )
    config.load()
    server = uvicorn.Server(config)
    server.lifespan = config.lifespan_class(config)
    listener = bind_listener('127.0.0.1', 0)
    await server.startup([listener])
    try:
        yield listener.getsockname()[1]
    finally:
        await server.shutdown([listener])


async def _receive(port: int) -> bytes:
    """Read an answer slower than it is sent.

    :raises ConnectionResetError: if it is broken off.
    """
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await loop.sock_connect(sock, ('127.0.0.1', port))
        await loop.sock_sendall(sock, _REQUEST)
        await asyncio.sleep(0.2)
        pieces: list[bytes] = []
        async with asyncio.timeout(20):
            while piece := await loop.sock_recv(sock, 1_048_576):
                pieces.append(piece)
        return b''.join(pieces).partition(b'\r\n\r\n')[2]


async def test_slow_old_client_gets_all() -> None:
    """A complete answer is reset before its client has read all of it."""
    async with _serve(fails=False) as port:
        assert await _receive(port) == _PIECE * _PIECES


async def test_failure_resets_an_old_client() -> None:
    """A failure in the middle of an answer looks like its end."""
    async with _serve(fails=True) as port:
        with pytest.raises(ConnectionResetError):
            await _receive(port)
