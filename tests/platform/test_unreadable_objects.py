"""Objects of other writers that no JSON library of this project can read."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest
from aiohttp import web

from fake_clock import FakeClock
from fleet.running import (
    ask,
    make_event_stream,
    make_model_replicas,
    run_node,
    serve_app,
    wait_until,
)
from ryelatch_core.eras import FIRST_ERA, StoreRevision
from ryelatch_core.events import LineLog
from ryelatch_node.ports import Address
from ryelatch_platform._store import StoreClient

_HALF_PAIR = json.dumps('\ud83d').strip('"').encode()
_UNREADABLE = {
    'half a surrogate pair': b'{"owner":"stock %s"}' % _HALF_PAIR,
    'half a pair as a name': b'{"%s":1}' % _HALF_PAIR,
    'nesting': b'{"inner":%s%s}' % (b'[' * 5000, b']' * 5000),
    'no escape sequence': rb'{"owner":"\x41"}',
    'a control character': b'{"owner":"\x01"}',
    'bytes that are no text': b'{"owner":"\xff\xfe"}',
    'no literal': b'{"owner":undefined}',
    'no number': b'{"owner":007}',
    'brackets in a string': rb'{"owner":"]}\"]}%s"}' % _HALF_PAIR,
}
_REVISION = StoreRevision(FIRST_ERA, 5)
_SOUND = b'{"metadata":{"name":"i-1","revision":7},"spec":{"slots":1}}'


@pytest.fixture(autouse=True)
def _wait_for_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let no call time out: the clock of the client stands still.

    It could not tell that this process was late.
    """
    monkeypatch.setattr('ryelatch_platform._store.CALL_SECONDS', 60)


def _make_object(name: str, spec: bytes) -> bytes:
    metadata = json.dumps({'name': name, 'revision': 3}).encode()
    return b'{"metadata":%s,"spec":%s}' % (metadata, spec)


@contextlib.asynccontextmanager
async def _connect(body: bytes) -> AsyncIterator[StoreClient]:
    """Connect a client to a store whose responses all have the same body."""

    async def respond(_: web.Request) -> web.Response:
        return web.Response(body=body, content_type='application/json')

    app = web.Application()
    app.router.add_route('*', '/{path:.*}', respond)
    runner, port = await serve_app(app)
    clock = FakeClock()
    client = StoreClient(
        Address('127.0.0.1', port),
        LineLog('node-a', clock, len),
        clock.monotonic,
    )
    await client.start()
    try:
        yield client
    finally:
        await client.stop()
        await runner.cleanup()


@pytest.mark.parametrize('place', [0, 1])
@pytest.mark.parametrize('spec', _UNREADABLE.values(), ids=_UNREADABLE)
async def test_unreadable_entry_hides_no_listed_one(
    spec: bytes, place: int
) -> None:
    """One entry makes a whole list unreadable, and counts as an outage."""
    entries = [_SOUND]
    entries.insert(place, _make_object('x-1', spec))
    body = b'{"entries":[%s],"hasMore":false,"at":9}' % b','.join(entries)
    async with _connect(body) as client:
        page = (await client.list_page('servers')).unwrap().content
        assert page.at == 9
        read = {found.metadata.name: found for found in page.read()}
        assert read.keys() == {'i-1', 'x-1'}
        assert json.loads(bytes(read['i-1'].spec)) == {'slots': 1}
        assert bytes(read['x-1'].spec) == spec
        assert not client.availability.is_unavailable


@pytest.mark.parametrize('place', [0, 1])
@pytest.mark.parametrize('spec', _UNREADABLE.values(), ids=_UNREADABLE)
async def test_unreadable_entry_hides_no_other_change(
    spec: bytes, place: int
) -> None:
    """One entry makes all changes unreadable, and counts as an outage."""
    events = [b'{"object":%s,"deleted":false}' % _SOUND]
    events.insert(
        place, b'{"object":%s,"deleted":true}' % _make_object('x-1', spec)
    )
    body = b'{"events":[%s],"at":9}' % b','.join(events)
    async with _connect(body) as client:
        changes = (await client.watch('servers', _REVISION, 0)).unwrap().content
        assert changes.at == 9
        found = [
            (bytes(event.found), event.deleted) for event in changes.events
        ]
        assert (_SOUND, False) in found
        assert (_make_object('x-1', spec), True) in found
        assert not client.availability.is_unavailable


@pytest.mark.parametrize('spec', _UNREADABLE.values(), ids=_UNREADABLE)
async def test_unreadable_object_is_no_outage(spec: bytes) -> None:
    """A call for one object counts as unanswered, and begins an outage."""
    calls: list[Callable[[StoreClient], Any]] = [
        lambda client: client.get('servers/x-1'),
        lambda client: client.write('servers', 'x-1', {}, _REVISION),
        lambda client: client.delete('servers', 'x-1', _REVISION),
    ]
    async with _connect(_make_object('x-1', spec)) as client:
        results = await asyncio.gather(*(call(client) for call in calls))
        assert all(result.is_ok() for result in results)
        assert not client.availability.is_unavailable


@pytest.mark.parametrize('body', [b'', b'[]', b'<html>', b'{"entries":['])
async def test_other_response_is_no_list(body: bytes) -> None:
    """A body that is no list counts as one without objects."""
    async with _connect(body) as client:
        assert (await client.list_page('servers')).is_err()
        assert client.availability.is_unavailable


async def test_node_uses_others_beside_unreadable_entry() -> None:
    """A node reads no change after the entry, and can't start beside it."""
    first, second = make_model_replicas((0, 4), (4, 8))
    async with run_node([first]) as node:
        node.store.put('servers', 'x-foreign', {'owner': 'stock \ud83d'})
        node.store.put('servers', 'x-\udc00', {'owner': 'stock'})
        await node.add(second)
        await wait_until(lambda: node.count('replica-listed') == 2)
        _, body, _ = await ask(node, '/plan/x')
        assert body == make_event_stream(5)
        node.store.forget_history()
        await wait_until(lambda: node.count('history-lost') >= 2)
        _, body, _ = await ask(node, '/plan/x')
        assert body == make_event_stream(5)
        assert node.find('entry-refused')['entry'] == 'x-foreign'
        assert node.find('objects-unreadable')['kind_of'] == 'servers'
        assert not node.count('store-out')
