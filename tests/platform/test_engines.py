"""Probes of replicas while this process runs late."""

import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import Iterator

import pytest

from ryelatch_core.events import LineLog
from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import BootClock
from ryelatch_node.links._prober import HOLD_SECONDS
from ryelatch_node.links._running_time import run_for
from ryelatch_platform._engines import EngineClient

_PAUSE_SECONDS = 3 * HOLD_SECONDS
_ZERO_LINGER = struct.pack('ii', 1, 0)


@contextlib.contextmanager
def _listen() -> Iterator[socket.socket]:
    listening = socket.create_server(('127.0.0.1', 0))
    with listening:
        yield listening


async def _hold() -> None:
    await run_for(HOLD_SECONDS)


def _reset(listening: socket.socket) -> None:
    """Reset the connection that waits to be accepted."""
    accepted, _ = listening.accept()
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
    accepted.close()


@pytest.mark.parametrize('resets', [True, False])
async def test_late_process_reads_a_reset(resets: bool) -> None:
    """A connection that is reset while this process is paused counts as open.

    The node that probes then takes links for sound that reset all connections.
    """
    clock = BootClock()
    client = EngineClient(LineLog('node-a', clock, len))
    with _listen() as listening:
        host, port = listening.getsockname()
        replica = Replica('m-0', 'model', f'{host}:{port}', 'zone-a')
        holding = asyncio.create_task(client.hold_connection(replica, _hold))
        await asyncio.sleep(HOLD_SECONDS / 2)
        time.sleep(_PAUSE_SECONDS)
        if resets:
            _reset(listening)
        assert await holding is not resets


async def test_reset_in_a_second_pause_is_read() -> None:
    """A connection counts as open as this process is late again and again.

    It was reset in the last of the pauses, and the links that did it are taken
    for sound.
    """
    clock = BootClock()
    client = EngineClient(LineLog('node-a', clock, len))
    with _listen() as listening:
        host, port = listening.getsockname()
        replica = Replica('m-0', 'model', f'{host}:{port}', 'zone-a')
        holding = asyncio.create_task(client.hold_connection(replica, _hold))
        await asyncio.sleep(HOLD_SECONDS / 2)
        time.sleep(_PAUSE_SECONDS)
        await asyncio.sleep(HOLD_SECONDS / 10)
        time.sleep(_PAUSE_SECONDS)
        _reset(listening)
        assert not await holding
