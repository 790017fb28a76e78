"""Requests whose clients leave before an upstream has received them."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from fleet.running import (
    NON_MODEL_SERVICE,
    RunningNode,
    make_configuration,
    open_request,
    run_node,
    wait_until,
)
from standins.replica import ReplicaStandIn

_WINDOW_BYTES = 4096
_BODY = bytes(4_000_000)
"""More than what the system buffers on both sides."""

_LIMITS = {'idleTimeoutMs': 5000, 'maxBodyBytes': 8_000_000}


@dataclass(eq=False)
class _SilentUpstream:
    """An upstream that accepts a connection and reads nothing for a while.

    What is sent to it stays in part with the sender, as on a cut link.
    """

    listener: socket.socket
    accepted: asyncio.Event = field(default_factory=asyncio.Event)
    reads: asyncio.Event = field(default_factory=asyncio.Event)
    received: int = 0
    reset: bool = False

    async def serve(self) -> None:
        """Accept a connection, and read what arrives once it may."""
        loop = asyncio.get_running_loop()
        connection, _ = await loop.sock_accept(self.listener)
        self.accepted.set()
        await self.reads.wait()
        with connection:
            try:
                while content := await loop.sock_recv(connection, 65536):
                    self.received += len(content)
            except ConnectionResetError:
                self.reset = True


@contextlib.asynccontextmanager
async def _listen() -> AsyncIterator[_SilentUpstream]:
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _WINDOW_BYTES)
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        listener.setblocking(False)
        yield _SilentUpstream(listener)


async def test_abandoned_request_does_not_arrive() -> None:
    """A request reaches its upstream after a cut during which its client left.

    The system keeps what was written, and delivers it when the link is back.
    """
    configuration = make_configuration(limits=_LIMITS)
    async with _listen() as upstream, run_node([], configuration) as node:
        serving = asyncio.create_task(upstream.serve())
        port = upstream.listener.getsockname()[1]
        replica = ReplicaStandIn('b-0', NON_MODEL_SERVICE, store=node.store)
        replica.address = f'127.0.0.1:{port}'
        replica.register()
        await wait_until(lambda: node.count('replica-listed'))
        asking = asyncio.create_task(_ask(node))
        await upstream.accepted.wait()
        await wait_until(lambda: node.count('exchange-sent'))
        asking.cancel()
        await wait_until(lambda: node.count('exchange-left'))
        upstream.reads.set()
        await serving
        assert upstream.reset
        assert upstream.received < len(_BODY)


async def _ask(node: RunningNode) -> None:
    """Send a long request."""
    async with open_request(node, '/ping/x', content=_BODY) as response:
        await response.read()
