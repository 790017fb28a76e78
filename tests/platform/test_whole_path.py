"""Requests through a real node, with a stand-in store and replicas."""

import asyncio

import aiohttp
import pytest

from fleet.running import (
    KEY,
    ask,
    make_event_stream,
    make_configuration,
    make_model_replicas,
    make_non_model_replicas,
    make_route,
    open_request,
    run_node,
    wait_until,
)
from ryelatch_node.views import ReplicaView


async def test_plain_answer_is_passed_on_byte_for_byte() -> None:
    async with run_node(make_non_model_replicas()) as node:
        status, body, headers = await ask(node, '/ping/a%2Fb?x=%20y')
        serving = next(
            replica for replica in node.replicas.values() if replica.runs
        )
        assert status == 200
        assert body == f'answer of {serving.name}'.encode()
        assert (
            headers['x-ryelatch-replica-signature'] == f'signed-{serving.name}'
        )
        run = serving.runs[0]
        assert run.path == '/ping/a%2Fb?x=%20y'
        assert run.body == b'question'
        assert run.headers['X-Ryelatch-Tenant'] == 'ward-1'
        assert run.headers['X-Ryelatch-Expect-Replica'] == serving.name
        assert 'Api-Key' not in run.headers
        assert 2000 < int(run.headers['X-Ryelatch-Deadline-Ms']) <= 3000


async def test_stream_passes_through_all_layers() -> None:
    async with run_node(make_model_replicas((0, 3), (3, 8))) as node:
        status, body, headers = await ask(node, '/plan/x')
        assert status == 200
        assert body == make_event_stream(5)
        assert headers['x-ryelatch-replica-signature'] == 'signed-m-0'
        first, second = node.replicas['m-0'], node.replicas['m-1']
        path = first.runs[0].headers['X-Ryelatch-Hop-Count']
        assert path == f'{first.address}=0-3,{second.address}=3-8'


async def test_client_cannot_set_what_the_router_sets() -> None:
    """A client sets headers that name another account and its own path."""
    async with run_node(make_non_model_replicas(1)) as node:
        await ask(
            node,
            '/ping/x',
            X_Ryelatch_Tenant='other',
            X_Ryelatch_Expect_Replica='other',
            X_Ryelatch_Request_Priority='0',
            Connection='X-Secret',
            X_Secret='s',
        )
        headers = node.replicas['b-0'].runs[0].headers
        assert headers['X-Ryelatch-Tenant'] == 'ward-1'
        assert headers['X-Ryelatch-Expect-Replica'] == 'b-0'
        assert 'X-Ryelatch-Request-Priority' not in headers
        assert 'X-Secret' not in headers


async def test_unknown_route_and_key_are_denied() -> None:
    async with run_node(make_non_model_replicas(1)) as node:
        status, _, _ = await ask(node, '/nowhere/x')
        assert status == 404
        status, _, _ = await ask(node, '/ping/x', Api_Key='stolen')
        assert status == 401
        assert not node.replicas['b-0'].runs


async def test_body_beyond_the_limit_is_refused() -> None:
    async with run_node(make_non_model_replicas(1)) as node:
        headers = {'Host': 'city.example', 'Api-Key': KEY}
        async with node.http.post(
            f'{node.url}/ping/x', data=b'x' * 20_000, headers=headers
        ) as response:
            assert response.status == 413
        assert not node.replicas['b-0'].runs


async def test_failed_ping_goes_to_another_replica() -> None:
    """An idempotent request fails with its first replica.

    The replica answers 500. The request may run twice, so the client has to
    get the answer of another replica.
    """
    async with run_node(make_non_model_replicas(2)) as node:
        node.replicas['b-0'].fail = 500
        node.replicas['b-1'].zone = 'zone-b'
        node.replicas['b-1'].register()
        await wait_until(lambda: node.count('replica-listed') == 3)
        status, body, _ = await ask(node, '/ping/x')
        assert (status, body) == (200, b'answer of b-1')
        assert len(node.replicas['b-0'].runs) == 1


async def test_failed_booking_is_passed_on() -> None:
    """A booking that failed at its replica, and may have run, runs again."""
    async with run_node(make_non_model_replicas(2)) as node:
        for replica in node.replicas.values():
            replica.fail = 500
        status, body, headers = await ask(node, '/book/x')
        assert (status, body) == (500, b'no')
        assert 'x-ryelatch-replica-signature' in headers
        assert (
            sum(len(stand_in.runs) for stand_in in node.replicas.values()) == 1
        )


async def test_refused_booking_is_tried_elsewhere() -> None:
    """A booking fails although its replica promised that it didn't run."""
    async with run_node(make_non_model_replicas(2)) as node:
        node.replicas['b-0'].refuse = 503
        for number in range(4):
            status, body, _ = await ask(node, '/book/x', identity=f'r-{number}')
            assert (status, body) == (200, b'answer of b-1')


async def test_lost_booking_promises_nothing() -> None:
    """A booking that may have run is retried or reported as not run.

    A replica accepts it and never answers. The client has to get a final
    answer without a promise at the route's timeout.
    """
    routes = [make_route('book', routeKind='non_idempotent', timeoutMs=400)]
    configuration = make_configuration(routes=routes)
    async with run_node(make_non_model_replicas(2), configuration) as node:
        for replica in node.replicas.values():
            replica.hang = True
        started = asyncio.get_running_loop().time()
        status, _, _ = await ask(node, '/book/x')
        assert status == 504
        elapsed = asyncio.get_running_loop().time() - started
        assert int(elapsed * 10) >= 4
        assert (
            sum(len(stand_in.runs) for stand_in in node.replicas.values()) == 1
        )


async def test_all_full_is_refused_at_once() -> None:
    """A client waits, or gets no ``Retry-After``, while replicas are full."""
    async with run_node(make_non_model_replicas(2)) as node:
        for replica in node.replicas.values():
            replica.refuse = 503
        status, _, headers = await ask(node, '/book/x')
        assert status == 503
        assert float(headers['retry-after']) > 0


async def test_answer_to_another_request_is_dropped() -> None:
    """A client gets the answer to another client's request.

    A replica sends a late answer on a connection where the answer to a newer
    request is due.
    """
    async with run_node(make_non_model_replicas(1)) as node:
        node.replicas['b-0'].other_identity = True
        status, body, _ = await ask(node, '/ping/x')
        assert status == 502
        assert b'answer' not in body.replace(b'the answer was lost', b'')


async def test_reset_body_without_length_is_not_whole() -> None:
    """A part of an answer is passed on as a complete one.

    The replica sends a body without a length, and its connection is reset,
    which must not count as the end of the body.
    """
    async with run_node(make_non_model_replicas(1)) as node:
        node.replicas['b-0'].unframed_part = True
        status, body, _ = await ask(node, '/book/x')
        assert status == 502
        assert b'part of' not in body


async def test_broken_stream_is_resumed_elsewhere() -> None:
    """A resumed stream repeats, loses or damages events.

    The first replica is lost in the middle of an event. The client has to get
    each event complete, once and in order, under the original signature.
    """
    async with run_node(make_model_replicas((0, 8), (0, 8))) as node:
        for replica in node.replicas.values():
            replica.break_after = 2
        status, body, headers = await ask(node, '/plan/x')
        assert status == 200
        assert body == make_event_stream(5)
        runs = [
            run for stand_in in node.replicas.values() for run in stand_in.runs
        ]
        resumed = [run.headers.get('Last-Event-Id') for run in runs]
        assert {None, '2'} <= set(resumed)
        first = node.find('exchange-sent')['path'][0][0]
        assert headers['x-ryelatch-replica-signature'] == f'signed-{first}'
        assert node.count('stream-resumed')


async def test_stream_without_resume_breaks_visibly() -> None:
    """A client takes an interrupted stream for a complete one.

    The only replica of some layers is lost in the middle of a stream.
    """
    routes = [
        make_route(
            'plan', routeKind='streaming', service='model', timeoutMs=10_000
        )
    ]
    configuration = make_configuration(routes=routes)
    async with run_node(make_model_replicas((0, 8)), configuration) as node:
        node.replicas['m-0'].break_after = 2
        async with open_request(node, '/plan/x') as response:
            received = await response.content.readuntil(b'token 2\n\n')
            with pytest.raises(aiohttp.ClientError):
                await response.content.read()
        assert received == make_event_stream(2)
        await wait_until(lambda: node.count('exchange-broken'))


async def test_stalled_stream_is_moved_to_another_path() -> None:
    """A stream waits forever for a lost replica in the middle of its path.

    The first replica reports the lost one. The stream has to migrate to
    another path and go on without a new run.
    """
    async with run_node(make_model_replicas((0, 4), (4, 8), (4, 8))) as node:
        first_replica = node.replicas['m-0']
        first_replica.stall_after = 2
        async with open_request(node, '/plan/x') as response:
            await response.content.readuntil(b'token 1\n\n')
            sent = node.find('exchange-sent')['path']
            lost = node.replicas[sent[1][0]]
            first_replica.stalled_address = lost.address
            rest = await response.read()
        assert rest.endswith(b'data: token 5\n\n')
        moved = next(
            order for order in first_replica.orders if order['op'] == 'repath'
        )
        assert moved['id'] == 'r-1'
        assert lost.address not in moved['path']
        assert moved['path'].startswith(f'{first_replica.address}=0-4,')
        assert len(first_replica.runs) == 1


async def test_missing_layers_are_refused_at_once() -> None:
    """A client waits although no replica holds some of the layers."""
    small = [(0, 3), (5, 8)]
    async with run_node(make_model_replicas(*small)) as node:
        for replica in node.replicas.values():
            replica.fence = 99  # repairs are refused
        status, _, headers = await ask(node, '/plan/x')
        assert status == 503
        assert float(headers['retry-after']) > 0
        assert node.find('exchange-refused')['reason'] == 'layers are missing'


async def test_work_ends_when_the_client_leaves() -> None:
    """A replica continues a request whose client has disconnected.

    The request would occupy a slot that others could use.
    """
    async with run_node(make_non_model_replicas(1)) as node:
        replica = node.replicas['b-0']
        replica.hang = True
        asking = asyncio.create_task(ask(node, '/ping/x'))
        await wait_until(lambda: replica.runs)
        asking.cancel()
        await wait_until(lambda: replica.runs[0].cancelled)
        await wait_until(lambda: node.count('exchange-left'))


async def test_booking_survives_unreachable_replica() -> None:
    """A booking fails as its replica, still listed, can't be reached.

    Nothing was sent, so it may go to another replica.
    """
    async with run_node(make_non_model_replicas(2)) as node:
        gone = node.replicas['b-0']
        gone.address = '127.0.0.1:1'
        gone.register()
        await wait_until(lambda: node.count('replica-listed') == 3)
        for number in range(4):
            status, body, _ = await ask(node, '/book/x', identity=f'r-{number}')
            assert (status, body) == (200, b'answer of b-1')


async def test_address_of_another_replica_runs_nothing() -> None:
    """A booking runs at, or fails with, a replica that it wasn't meant for.

    A replica was restarted under another name at the same address. It refuses
    the booking, which thus didn't run and may go to another replica.
    """
    async with run_node(make_non_model_replicas(2)) as node:
        node.replicas['b-0'].name = 'b-0-restarted'
        for number in range(4):
            status, body, _ = await ask(node, '/book/x', identity=f'r-{number}')
            assert (status, body) == (200, b'answer of b-1')
        assert not node.replicas['b-0'].runs


async def test_request_waits_for_the_first_list() -> None:
    """A freshly started node refuses a request before its initial sync.

    The lists arrive within milliseconds. Clients retry only once, so a refusal
    may lose the request.
    """
    async with run_node(make_non_model_replicas(1)) as node:
        node.app.find('replicas', ReplicaView).listed = False
        asking = asyncio.create_task(ask(node, '/ping/x'))
        await asyncio.sleep(0.05)
        node.app.find('replicas', ReplicaView).listed = True
        status, _, _ = await asking
        assert status == 200


async def test_nobody_waits_long_for_a_list() -> None:
    """A request waits for the whole outage in which its node started.

    The client has to be refused soon, so that another node serves it.
    """
    async with run_node(make_non_model_replicas(1)) as node:
        node.app.find('replicas', ReplicaView).listed = False
        status, _, headers = await ask(node, '/ping/x')
        assert status == 503
        assert 'retry-after' in headers
