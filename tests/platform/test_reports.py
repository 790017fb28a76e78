"""Reports and refusals of replicas that can't be decoded, or only in part."""

import json
from typing import Any

import pytest
from aiohttp import web

from fake_clock import FakeClock
from fleet.running import serve_app
from ryelatch_core.events import LineLog
from ryelatch_core.fleet import Replica
from ryelatch_node.ports import CommandResult
from ryelatch_platform._engines import EngineClient

_DEEP = b'[' * 5000 + b']' * 5000
_HALF_PAIR = json.dumps('\ud83d').strip('"').encode()
_STALLED = b'{"id":"r-1","addr":"10.0.0.1:80"}'


async def _call(body: bytes, status: int = 200) -> tuple[Any, Any, LineLog]:
    """Read the report of a replica, and command it to move a request.

    :param body: what the replica answers to all calls.
    """

    async def respond(_: web.Request) -> web.Response:
        return web.Response(body=body, status=status)

    app = web.Application()
    app.router.add_route('*', '/{path:.*}', respond)
    runner, port = await serve_app(app)
    log = LineLog('node-a', FakeClock(), len)
    client = EngineClient(log)
    replica = Replica('m-0', 'model', f'127.0.0.1:{port}', 'zone-a')
    await client.start()
    try:
        report = await client.read_report(replica)
        return report, await client.move(replica, 'r-1', ()), log
    finally:
        await client.stop()
        await runner.cleanup()


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'null',
        b'{"seq":',
        b'{"seq":"x"}',
        b'{"seq":-1}',
        b'{"seq":%s}' % (b'9' * 50),
        b'{"pace":0}',
        b'{"kvTotal":-1}',
        b'{"layers":%s}' % _DEEP,
        b'{"seq":"\xff"}',
    ],
)
async def test_unreadable_report_is_logged(body: bytes) -> None:
    """The report of one replica ends the round that reads them all."""
    report, _, log = await _call(body)
    assert report is None
    assert log.counts['upstream-down'] == 1


@pytest.mark.parametrize(
    'other',
    [
        b'{"id":1,"addr":"10.0.0.2:80"}',
        b'{"id":"%s","addr":"10.0.0.2:80"}' % _HALF_PAIR,
        b'{"id":%s}' % _DEEP,
        b'null',
    ],
)
@pytest.mark.parametrize('is_first', [True, False])
async def test_unreadable_request_hides_no_other(
    other: bytes, is_first: bool
) -> None:
    """One stalled request that can't be decoded hides a replica's report."""
    stalled = [other, _STALLED] if is_first else [_STALLED, other]
    body = b'{"seq":4,"note":%s,"stalled":[%s]}' % (other, b','.join(stalled))
    report, _, log = await _call(body)
    assert report.sequence == 4
    assert log.counts['report-unreadable'] == 1
    assert report.stalled == {'r-1': '10.0.0.1:80'}


@pytest.mark.parametrize(
    'body', [b'', b'\xff', b'{"addr":"\xff"}', b'{"addr":%s}' % _DEEP, _DEEP]
)
async def test_unreadable_refusal_names_no_replica(body: bytes) -> None:
    """A refusal that can't be decoded ends the task that moves a request."""
    _, moved, _ = await _call(body, 409)
    assert moved.result is CommandResult.CONFLICT
    assert not moved.fault
