"""Programs that answer more often than they were asked, for each pool."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, TypeAlias

import pytest

from fake_clock import FakeClock
from ryelatch_core.events import LineLog, UsageTracker
from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import BootClock
from ryelatch_core.settings import Platform
from ryelatch_node.connections import make_surplus_hook
from ryelatch_node.ports import AnswerMetadata
from ryelatch_node.relay._upstream import UpstreamRequest, Upstreams
from ryelatch_node.store import Store
from ryelatch_platform._presence import PresenceClient
from ryelatch_platform._settings import Address
from ryelatch_platform._store import StoreClient

_Ask: TypeAlias = Callable[[], Awaitable[object]]
_OpenPool: TypeAlias = Callable[
    [Address, LineLog], contextlib.AbstractAsyncContextManager[_Ask]
]

_LINE = 'HTTP/1.1 200 OK\r\nX-Ryelatch-Replica-Id: {identity}\r\n'
_REST = 'Content-Length: {size}\r\n\r\n{body}'
_BODY = '{{"metadata":{{"name":"a","revision":{number}}},"spec":{{}}}}'
_CLOSE_SECONDS = 5
"""Time in which a connection that isn't kept is closed."""


def _make_answer(number: int) -> bytes:
    """Make an answer that each of the clients understands."""
    body = _BODY.format(number=number)
    head = _LINE.format(identity=f'i-{number}')
    return (head + _REST.format(size=len(body), body=body)).encode()


class _Wire:
    """Reads answers that are all signed."""

    def read_answer(self, *_: Any) -> AnswerMetadata:
        """Read the headers of an answer."""
        return AnswerMetadata('r-1', True, False, '', False)


@contextlib.asynccontextmanager
async def _open_upstreams(
    address: Address, log: LineLog
) -> AsyncIterator[_Ask]:
    wire: Any = _Wire()
    hooks: list[Any] = [BootClock(), *([lambda *_: None] * 4)]
    upstreams = Upstreams(wire, *hooks, make_surplus_hook(log))
    replica = Replica('m', 's', f'{address.host}:{address.port}', 'zone-a')
    request = UpstreamRequest('GET', '/', [], None, 'r-1', True, lambda: None)

    async def ask() -> object:
        async with upstreams.send(replica, request) as answer:
            return await answer.read()

    await upstreams.start()
    try:
        yield ask
    finally:
        await upstreams.stop()


@contextlib.asynccontextmanager
async def _open_presence(address: Address, log: LineLog) -> AsyncIterator[_Ask]:
    client = PresenceClient(log, UsageTracker())
    replica = Replica(
        'm', 's', f'{address.host}:{address.port}', 'zone-a', entry='i-2'
    )

    async def ask() -> object:
        return await client.confirm(replica, '/healthz')

    await client.start()
    try:
        yield ask
    finally:
        await client.stop()


@contextlib.asynccontextmanager
async def _open_platform_store(
    address: Address, log: LineLog
) -> AsyncIterator[_Ask]:
    client = StoreClient(address, log, FakeClock().monotonic)

    async def ask() -> object:
        return (await client.get('config/main')).unwrap().content

    await client.start()
    try:
        yield ask
    finally:
        await client.stop()


@contextlib.asynccontextmanager
async def _open_store(address: Address, log: LineLog) -> AsyncIterator[_Ask]:
    platform = Platform(f'http://{address.host}:{address.port}', 'token')
    store = Store(platform, on_surplus=make_surplus_hook(log))

    async def ask() -> object:
        return (await store.get('settings')).unwrap().body

    try:
        yield ask
    finally:
        await store.close()


_POOLS: dict[str, _OpenPool] = {
    'upstreams': _open_upstreams,
    'presence': _open_presence,
    "platform's store": _open_platform_store,
    'store': _open_store,
}


class _Server:
    """Answers the requests on one connection after the other."""

    def __init__(self) -> None:
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._listener.setblocking(False)
        self.address = Address(*self._listener.getsockname())
        self._connections: list[socket.socket] = []

    async def answer(self, number: int) -> socket.socket:
        """Answer the first request on a new connection."""
        loop = asyncio.get_running_loop()
        connection, _ = await loop.sock_accept(self._listener)
        self._connections.append(connection)
        await loop.sock_recv(connection, 4096)
        await loop.sock_sendall(connection, _make_answer(number))
        return connection

    async def repeat(self, connection: socket.socket, number: int) -> None:
        """Send an answer again and again, until the connection is closed."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while True:
                await loop.sock_sendall(connection, _make_answer(number))
                await asyncio.sleep(0)

    def close(self) -> None:
        """Close all sockets."""
        for used in (self._listener, *self._connections):
            used.close()


@contextlib.asynccontextmanager
async def _run(pool: str) -> AsyncIterator[tuple[_Server, _Ask, LineLog]]:
    server = _Server()
    log = LineLog('node-a', FakeClock(), len)
    async with _POOLS[pool](server.address, log) as ask:
        yield server, ask, log
    server.close()


async def _ask_once(server: _Server, ask: _Ask, number: int) -> Any:
    """Ask over a new connection."""
    answering = asyncio.create_task(server.answer(number))
    async with asyncio.timeout(_CLOSE_SECONDS):
        answer = await ask()
        return answer, await answering


@pytest.mark.parametrize('pool', _POOLS)
async def test_repeated_answers_are_not_collected(pool: str) -> None:
    """One program that repeats its answer takes the memory of a node."""
    async with _run(pool) as (server, ask, log):
        _, connection = await _ask_once(server, ask, 1)
        async with asyncio.timeout(_CLOSE_SECONDS):
            await server.repeat(connection, 1)
        assert log.counts['surplus-received'] == 1


@pytest.mark.parametrize('pool', _POOLS)
async def test_further_answer_answers_no_request(pool: str) -> None:
    """An old answer is taken for that to the next request."""
    async with _run(pool) as (server, ask, log):
        _, connection = await _ask_once(server, ask, 1)
        connection.send(_make_answer(1))
        kept, connection = await _ask_once(server, ask, 2)
        connection.send(_make_answer(1))
        while not log.counts['surplus-received']:
            await asyncio.sleep(0.01)
        fresh, _ = await _ask_once(server, ask, 2)
    assert kept == fresh
