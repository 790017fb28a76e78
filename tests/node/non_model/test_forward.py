"""Calls to upstreams, and answers that don't state where they end."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator

import pytest

from fake_clock import FakeClock
from ryelatch_core.events import HybridClock, Timeline
from ryelatch_core.membership import Vm
from ryelatch_core.settings import Service
from ryelatch_node.non_model._forward import Call, Forwarder


def _make_timeline() -> Timeline:
    return Timeline('node-a', HybridClock(FakeClock()))


_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n'
_BODY = b'part of'


@contextlib.asynccontextmanager
async def _run_upstream(
    *, resets: bool = False, ends: bool = False
) -> AsyncIterator[Vm]:
    """Run an upstream that sends a body and closes the connection.

    :param resets: whether it resets it.
    :param ends: whether it doesn't listen any more by then, like a process
        that was killed.
    """
    closed = asyncio.Semaphore(0)

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.read(65_536)
        if not head:
            # It was asked whether it still listens.
            writer.close()
            closed.release()
            return
        writer.write(_HEAD + _BODY)
        await writer.drain()
        await asyncio.sleep(0.05)
        if ends:
            server.close()
        if resets:
            sock = writer.get_extra_info('socket')
            # Without lingering, closing a socket sends a reset.
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()
        closed.release()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        yield Vm('b-0', 'booking', f'127.0.0.1:{port}', 'zone-a')
        for _ in range(1 if resets or ends else 2):
            await closed.acquire()


@pytest.mark.parametrize('resets', [True, False])
async def test_reset_body_without_length_is_lost(resets: bool) -> None:
    """A part of an answer is passed on as a complete one after a reset."""
    forwarder = Forwarder(_make_timeline())
    await forwarder.start()
    call = Call('r-1', 'POST', '/book', (), b'', idempotent=False)
    async with _run_upstream(resets=resets) as upstream:
        answered = await forwarder.forward(call, Service('booking'), [upstream])
    await forwarder.stop()
    assert answered.is_err() == resets
    if not resets:
        assert answered.unwrap().body == _BODY


@pytest.mark.parametrize('idempotent', [True, False])
async def test_end_of_a_killed_upstream_is_none(idempotent: bool) -> None:
    """The part that came before an upstream was killed is passed on as all."""
    forwarder = Forwarder(_make_timeline())
    await forwarder.start()
    call = Call('r-1', 'POST', '/book', (), b'', idempotent=idempotent)
    async with _run_upstream(ends=True) as upstream:
        answered = await forwarder.forward(call, Service('booking'), [upstream])
    await forwarder.stop()
    assert answered.unwrap_err().code == 'answer_lost'
