"""Tests that a replica that stood still goes on with everything."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest
from aiohttp import ClientSession

from fleet.running import make_event_stream, serve_app
from soak.links import Link, LinkMode
from standins.replica import ReplicaStandIn

_STREAM = {'X-Ryelatch-Hop-Count': 'x=0-8', 'X-Ryelatch-Request-Id': 'r-1'}
_SHORT_SECONDS = 0.1


@contextlib.asynccontextmanager
async def _serve(replica: ReplicaStandIn) -> AsyncIterator[ClientSession]:
    runner, port = await serve_app(replica.make_app())
    async with ClientSession(f'http://127.0.0.1:{port}') as http:
        yield http
    await runner.cleanup()


@pytest.mark.parametrize('splits', [False, True])
async def test_paused_replica_finishes_its_stream(splits: bool) -> None:
    """A pause loses a part of a stream, or lets events through."""
    replica = ReplicaStandIn('m-0', 'model', pause=0.01)
    async with (
        _serve(replica) as http,
        http.post('/plan/x', headers=_STREAM) as response,
    ):
        begun = await response.content.readuntil(b'token 1\n\n')
        replica.stand_still(splits=splits)
        rest = asyncio.create_task(response.content.read())
        await asyncio.sleep(_SHORT_SECONDS)
        assert not rest.done()
        replica.go_on()
        assert begun + await rest == make_event_stream(5)
    assert replica.standstills[0][0] < replica.standstills[0][1]


@pytest.mark.parametrize('path', ['/report', '/ping/x', '/plan/x'])
async def test_paused_replica_answers_afterwards(path: str) -> None:
    """A paused replica answers requests, or drops those that arrive."""
    replica = ReplicaStandIn('m-0', 'model')
    async with _serve(replica) as http:
        replica.stand_still()
        answer = asyncio.create_task(http.get(path, headers=_STREAM))
        await asyncio.sleep(_SHORT_SECONDS)
        assert not answer.done()
        replica.go_on()
        assert (await answer).status == 200


async def test_held_link_loses_nothing() -> None:
    """A stream or a new connection is lost while a link is held."""
    replica = ReplicaStandIn('m-0', 'model', pause=0.01)
    runner, port = await serve_app(replica.make_app())
    link = Link(('127.0.0.1', port))
    await link.start()
    async with ClientSession(f'http://{link.address}') as http:
        async with http.post('/plan/x', headers=_STREAM) as response:
            begun = await response.content.readuntil(b'token 1\n\n')
            link.switch(LinkMode.HELD)
            report = asyncio.create_task(http.get('/report'))
            rest = asyncio.create_task(response.content.read())
            await asyncio.sleep(_SHORT_SECONDS)
            assert not rest.done()
            assert not report.done()
            link.switch(LinkMode.OPEN)
            assert begun + await rest == make_event_stream(5)
        assert (await report).status == 200
    assert not link.harms
    assert not link.cut_ports
    await link.stop()
    await runner.cleanup()
