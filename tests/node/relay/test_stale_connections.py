"""Requests over kept connections whose replica has ended."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from typing import Any

import pytest

from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import BootClock
from ryelatch_node.ports import AnswerMetadata
from ryelatch_node.relay._errors import SendError, SendErrorKind
from ryelatch_node.relay._upstream import UpstreamRequest, Upstreams

_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class _Wire:
    """Reads answers that are all signed."""

    def read_answer(self, *_: Any) -> AnswerMetadata:
        """Read the headers of an answer."""
        return AnswerMetadata('r-1', True, False, '', False)


class _Server:
    """A replica whose sockets close at once, like those of a crash."""

    def __init__(self) -> None:
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._listener.setblocking(False)
        host, port = self._listener.getsockname()
        self.replica = Replica('m-0', 'model', f'{host}:{port}', 'zone-a')
        self._connections: list[socket.socket] = []

    async def answer(self) -> None:
        """Answer the first request on a new connection."""
        loop = asyncio.get_running_loop()
        connection, _ = await loop.sock_accept(self._listener)
        self._connections.append(connection)
        await loop.sock_recv(connection, 4096)
        await loop.sock_sendall(connection, _ANSWER)

    def end(self) -> None:
        """Close all sockets, before any other code can run."""
        for used in (self._listener, *self._connections):
            used.close()


@contextlib.asynccontextmanager
async def _open() -> AsyncIterator[Upstreams]:
    wire: Any = _Wire()
    hooks: list[Any] = [BootClock(), *([lambda *_: None] * 5)]
    upstreams = Upstreams(wire, *hooks)
    await upstreams.start()
    try:
        yield upstreams
    finally:
        await upstreams.stop()


async def _send(upstreams: Upstreams, replica: Replica) -> bytes:
    request = UpstreamRequest('GET', '/', [], None, 'r-1', True, lambda: None)
    async with upstreams.send(replica, request) as answer:
        return await answer.read()


async def test_request_waits_on_no_ended_connection() -> None:
    """A request counts as lost at a replica that had crashed before."""
    server = _Server()
    async with _open() as upstreams:
        answering = asyncio.create_task(server.answer())
        assert await _send(upstreams, server.replica) == b'ok'
        await answering
        server.end()
        with pytest.raises(SendError) as raised:
            await _send(upstreams, server.replica)
        assert raised.value.kind is SendErrorKind.UNSENT


async def test_kept_connection_is_used_again() -> None:
    """Each request opens a connection of its own."""
    server = _Server()
    async with _open() as upstreams:
        answering = asyncio.create_task(server.answer())
        assert await _send(upstreams, server.replica) == b'ok'
        await answering
        loop = asyncio.get_running_loop()
        sending = asyncio.create_task(_send(upstreams, server.replica))
        connection = server._connections[0]
        async with asyncio.timeout(5):
            assert await loop.sock_recv(connection, 4096)
        await loop.sock_sendall(connection, _ANSWER)
        assert await sending == b'ok'
        server.end()
