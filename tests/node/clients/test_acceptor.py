"""Connections are accepted as far as there is room for them."""

import asyncio
import errno
import time
from typing import Any

from ryelatch_node.clients import Acceptor, ConnectionTable
from ryelatch_node.listener import open_listener


class _Listening:
    """A listening socket whose system has no descriptor left at first."""

    def __init__(self, refusals: int) -> None:
        self.refusals = refusals
        self.bound = open_listener('127.0.0.1', 0)

    def fileno(self) -> int:
        """Return its descriptor."""
        return self.bound.fileno()

    def accept(self) -> Any:
        """Accept a connection."""
        if self.refusals:
            self.refusals -= 1
            raise OSError(errno.EMFILE, 'too many open files')
        return self.bound.accept()

    def close(self) -> None:
        """Close it."""
        self.bound.close()


class _Greeting(asyncio.Protocol):
    """Says something, and closes the connection."""

    def connection_made(self, transport: Any) -> None:
        """Say it."""
        transport.write(b'hello')
        transport.close()


async def _greet(table: ConnectionTable, listening: Any) -> tuple[bytes, Any]:
    """Connect, and read what the protocol of the connection says."""
    errors: list[OSError] = []
    acceptor = Acceptor(listening, _Greeting, table, errors.append)
    acceptor.start()
    address = getattr(listening, 'bound', listening).getsockname()
    reader, writer = await asyncio.open_connection(*address)
    async with asyncio.timeout(20):
        greeting = await reader.read()
    writer.close()
    acceptor.close()
    return greeting, errors


async def test_connection_is_accepted() -> None:
    """A client that connects isn't heard."""
    table = ConnectionTable(10, time.monotonic)
    greeting, errors = await _greet(table, open_listener('127.0.0.1', 0))
    assert greeting == b'hello'
    assert not errors


async def test_connection_without_room_is_closed() -> None:
    """A client waits for a node that serves as many others as it can."""
    table = ConnectionTable(10, time.monotonic)
    table.requests = 10
    greeting, errors = await _greet(table, open_listener('127.0.0.1', 0))
    assert not greeting
    assert len(errors) == 1


async def test_lack_of_descriptors_passes() -> None:
    """A node accepts nothing any more after its descriptors ran out once."""
    table = ConnectionTable(10, time.monotonic)
    listening = _Listening(refusals=2)
    greeting, errors = await _greet(table, listening)
    assert greeting == b'hello'
    assert [error.errno for error in errors] == [errno.EMFILE] * 2
