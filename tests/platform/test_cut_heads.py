"""Answers of replicas that stop in the middle of their head."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest
from aiohttp import ClientError

from fleet.running import (
    MODEL_SERVICE,
    NON_MODEL_SERVICE,
    RunningNode,
    ask,
    make_once_configuration,
    run_node,
    wait_until,
)
from ryelatch_node.relay._watch import StreamWatch
from ryelatch_node.views import ReplicaView
from standins.objects import ObjectStore
from standins.replica import ReplicaStandIn

_NO_STATUS = 0
_REPORT = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
_FRAMINGS = {
    'length': 'Content-Length: 6',
    'chunks': 'Transfer-Encoding: chunked',
    'connection': 'Connection: close',
}
_PATHS = ('/ping/x', '/book/x', '/plan/x', '/once/x')


def _make_head(framing: str) -> bytes:
    lines = (
        'HTTP/1.1 200 OK',
        'X-Ryelatch-Request-Id: r-1',
        'X-Ryelatch-Replica-Signature: signed',
        _FRAMINGS[framing],
        'Content-Type: text/event-stream',
    )
    return '\r\n'.join((*lines, '', '')).encode()


class _CuttingReplica:
    """A replica that sends a part of a head, closes, and goes on listening.

    :param part: of the head, that it sends.
    """

    def __init__(self) -> None:
        self.part = b''
        self.runs = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request with the part of a head; a question in full."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b'\r\n\r\n')
            runs = b'x-ryelatch-request-id' in head.lower()
            self.runs += runs
            writer.write(self.part if runs else _REPORT)
            await writer.drain()
        writer.close()


@contextlib.asynccontextmanager
async def _run_cutting(
    path: str,
) -> AsyncIterator[tuple[RunningNode, _CuttingReplica]]:
    """Run a node whose only replica of the path's service cuts its heads."""
    cutting = _CuttingReplica()
    server = await asyncio.start_server(cutting.serve, '127.0.0.1', 0)
    streams = path in {'/plan/x', '/once/x'}
    replica = ReplicaStandIn(
        'c-1',
        MODEL_SERVICE if streams else NON_MODEL_SERVICE,
        accelerator='big' if streams else '',
        layers=(0, 8) if streams else None,
        store=ObjectStore(),
    )
    port = server.sockets[0].getsockname()[1]
    async with server, run_node([], make_once_configuration()) as node:
        replica.store = node.store
        replica.address = f'127.0.0.1:{port}'
        replica.register()
        await wait_until(lambda: node.count('replica-listed'))
        yield node, cutting


async def _ask(node: RunningNode, path: str) -> int:
    """Ask a node, and return the status; zero for no complete answer."""
    try:
        status, _, _ = await ask(node, path)
    except ClientError:
        return _NO_STATUS
    return status


@pytest.mark.parametrize('framing', _FRAMINGS)
@pytest.mark.parametrize('path', _PATHS)
async def test_part_of_a_head_is_no_answer(path: str, framing: str) -> None:
    """A client gets 200 with an empty body as its replica stops in its head."""
    head = _make_head(framing)
    async with _run_cutting(path) as (node, cutting):
        view = node.app.find('replicas', ReplicaView)
        replica = next(iter(view.replicas.values()))
        checks = node.app.find('streams', StreamWatch).context.crash_checks
        for end in range(0, len(head), 3):
            cutting.part, runs = head[:end], cutting.runs
            await checks.wait()
            view.clear_suspicion(replica)
            assert await _ask(node, path) in {_NO_STATUS, 502, 503}
            assert cutting.runs > runs
