"""A draining node finishes its streams and takes none that it can't finish."""

import asyncio

from fleet.running import (
    ask,
    make_event_stream,
    make_model_replicas,
    make_non_model_replicas,
    open_request,
    run_node,
    wait_until,
)


async def test_stopping_node_takes_no_late_streams() -> None:
    """A draining node accepts a stream that it can't finish.

    Clients still send requests on open connections. A stream accepted late
    would be cut off at the end of the process, so it is refused with an
    immediate retry on another connection.
    """
    replicas = [*make_model_replicas((0, 8)), *make_non_model_replicas(1)]
    async with run_node(replicas, grace=10) as node:
        draining = asyncio.create_task(node.server.drain())
        await wait_until(lambda: node.count('node-draining'))
        status, body, headers = await ask(node, '/plan/x')
        assert (status, body) == (200, make_event_stream(5))
        assert headers['connection'] == 'close'
        while status == 200:
            status, body, headers = await ask(node, '/plan/x', identity='r-2')
            await asyncio.sleep(0.1)
        assert (status, headers['retry-after']) == (503, '0.00')
        status, _, _ = await ask(node, '/ping/x', identity='r-3')
        assert status == 200
        await draining


async def test_stream_in_progress_is_finished() -> None:
    """A stream that began before the drain is cut off by it."""
    async with run_node(make_model_replicas((0, 8)), grace=4) as node:
        node.replicas['m-0'].pause = 0.3
        async with open_request(node, '/plan/x') as response:
            begun = await response.content.readuntil(b'token 1\n\n')
            await asyncio.gather(node.server.drain(), asyncio.sleep(0))
            rest = await response.read()
        assert begun + rest == make_event_stream(5)


async def test_stopping_node_is_not_ready() -> None:
    """The load balancer sends requests to a draining node.

    The readiness check must fail as soon as the drain begins.
    """
    async with run_node(make_non_model_replicas(1), grace=1) as node:
        url = f'http://127.0.0.1:{node.server.readiness.port}/readyz'
        async with node.http.get(url) as response:
            assert response.status == 200
        draining = asyncio.create_task(node.server.drain())
        await wait_until(lambda: node.count('node-draining'))
        async with node.http.get(url) as response:
            assert response.status == 503
        await draining
