"""Crowds of clients that don't behave, at the product's own front."""

import asyncio
import sys
from pathlib import Path

import pytest

from fleet.caller import ask
from fleet.fleet import make_shape, run_fleet
from fleet.processes import Process, spawn

pytestmark = pytest.mark.crowd

_MAX_MEMORY_KB = 300_000
_MAX_KEPT_FILES = 8
_CROWD_SECONDS = 6
_KINDS = [
    'nothing',
    'empty lines',
    'empty line after an answer',
    'endless head',
    'unfinished bodies',
    'long bodies',
    'odd lines',
    'pipelined',
    'trailers',
]


def _read_peak(node: Process) -> int:
    status = Path(f'/proc/{node.child.pid}/status').read_text()
    return int(status.partition('VmHWM:')[2].split()[0])


def _count_files(node: Process) -> int:
    return len(list(Path(f'/proc/{node.child.pid}/fd').iterdir()))


@pytest.mark.parametrize('kind', _KINDS)
async def test_crowd_stops_no_node(kind: str) -> None:
    """A crowd takes a node's memory or its descriptors for good."""
    async with run_fleet(make_shape(nodes=1)) as fleet:
        node = fleet.nodes[0]
        host, _, port = node.address.partition(':')
        before = _count_files(node)
        command = ['--kind', kind, '--clients', '100', '--host', host]
        crowd = await spawn(
            'crowd',
            [sys.executable, '-m', 'standins.crowd', *command, '--port', port],
        )
        await asyncio.sleep(_CROWD_SECONDS)
        await crowd.kill()
        assert node.child.returncode is None
        assert _read_peak(node) < _MAX_MEMORY_KB
        await fleet.wait_until(
            lambda: _count_files(node) <= before + _MAX_KEPT_FILES
        )
        answer = await ask(fleet.http, node, 'ward-1-key', 'question', 4)
        assert answer.status == 200


async def test_idle_connections_are_closed() -> None:
    """A connection on which no request begins stays open for good."""
    async with run_fleet(make_shape(nodes=1)) as fleet:
        host, _, port = fleet.nodes[0].address.partition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'GET /healthz HTTP/1.1\r\nHost: x\r\n')
        async with asyncio.timeout(30):
            answer = await reader.read()
        writer.close()
        assert answer.startswith(b'HTTP/1.1 408 ')
