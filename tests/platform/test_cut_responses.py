"""Responses without a length, of the store and of engines, that end early."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import pytest

from ryelatch_core.eras import StoreRevision
from ryelatch_core.events import LineLog
from ryelatch_core.fleet import LayerRange, Replica
from ryelatch_core.kernel import BootClock
from ryelatch_node.ports import Address, CommandResult
from ryelatch_platform._decoding import DecodingError
from ryelatch_platform._engines import EngineClient, _decode_report
from ryelatch_platform._responses import (
    decode_changes,
    decode_object,
    decode_page,
)
from ryelatch_platform._store import StoreClient

_OBJECT = b'{"metadata":{"name":"a","revision":3},"spec":{"x":[{}]}}'
_PAGE = b'{"entries":[%b,%b],"at":7,"hasMore":false}' % (_OBJECT, _OBJECT)
_CHANGES = b'{"events":[{"object":%b,"deleted":true}],"at":7}' % _OBJECT
_REPORT = b'{"busy":false,"seq":12,"stalled":[{"id":"a","addr":"b:1"}]}'
_BROKEN = b'{"metadata":{"name":"a","revision":"?"},"spec":{"x":[{}]}}'


@contextlib.asynccontextmanager
async def _serve(status: str, body: bytes) -> AsyncIterator[Address]:
    """Answer each request without a length, and end in order."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        head = f'HTTP/1.1 {status}\r\nStore-Era: 0\r\n\r\n'.encode()
        writer.write(head + body)
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    async with server:
        yield Address(*server.sockets[0].getsockname())


@pytest.mark.parametrize(
    ('decode', 'whole'),
    [
        (decode_page, _PAGE),
        (decode_changes, _CHANGES),
        (decode_object, _OBJECT),
        (decode_object, _BROKEN),
        (_decode_report, _REPORT),
    ],
)
def test_no_part_of_a_body_is_decoded(
    decode: Callable[[bytes], object], whole: bytes
) -> None:
    """Objects are missing where the end of a body was cut off."""
    decode(whole)
    for size, _ in enumerate(whole):
        with pytest.raises(DecodingError):
            decode(whole[:size])


@pytest.mark.parametrize('kept', [0, 1, 20, len(_OBJECT) - 1])
async def test_cut_response_of_the_store_is_none(kept: int) -> None:
    """A part of a list, a watch or an object is taken for all of it."""
    clock = BootClock()
    since = StoreRevision(0, 3)
    log = LineLog('node-a', clock, len)
    async with _serve('200 OK', _OBJECT[:kept]) as address:
        store = StoreClient(address, log, clock.monotonic)
        await store.start()
        found = [
            await store.list_page('servers'),
            await store.watch('servers', since, 0),
            await store.get('config/main'),
            await store.write('ryelatch-nodes', 'node-a', {}, None),
        ]
        await store.stop()
    assert all(result.is_err() for result in found)


@pytest.mark.parametrize('kept', [0, 1, 20, len(_REPORT) - 1])
async def test_cut_report_is_none(kept: int) -> None:
    """The fields that a cut report lacks are read as idle and empty."""
    client = EngineClient(LineLog('node-a', BootClock(), len))
    await client.start()
    async with _serve('200 OK', _REPORT[:kept]) as address:
        replica = Replica('m-0', 'model', f'127.0.0.1:{address.port}', 'zone-a')
        assert await client.read_report(replica) is None
    await client.stop()


async def test_status_alone_answers_a_command() -> None:
    """A cut answer to a command counts as none, and it is sent again."""
    client = EngineClient(LineLog('node-a', BootClock(), len))
    await client.start()
    async with _serve('202 Accepted', b'') as address:
        replica = Replica('m-0', 'model', f'127.0.0.1:{address.port}', 'zone-a')
        result = await client.place(replica, LayerRange(0, 8), 1, 0)
        assert result is CommandResult.BEGUN
    await client.stop()
