"""Connections of a node to its engines."""

import asyncio

from aiohttp import ClientSession, web

from fleet.fleet import make_shape, run_fleet
from ryelatch_core.membership import Vm
from ryelatch_core.pipeline import Hello, encode_frames
from ryelatch_node.upstreams._link import EngineLink


async def test_more_engines_than_a_hundred() -> None:
    """A node connects to more than 100 engines.

    By default, aiohttp's pool allows 100 connections. Further links would
    wait forever, as the open ones are never released.
    """
    async with run_fleet(make_shape(nodes=1, replicas=1)) as fleet:
        engine = fleet.vms['engine-0a']
        for index in range(130):
            name = f'linked-{index}'
            fleet.vms[name] = engine | {'name': name}
        await fleet.publish_vms()
        await fleet.wait_connected(133)


async def test_short_connection_is_told_as_closed() -> None:
    """A connection that ends within a second is reported as closed.

    Such a connection counts as failed and is not resumed. The reported reason
    must not be ``served``, the link's internal result of the connection.
    """

    async def serve_hello(request: web.Request) -> web.WebSocketResponse:
        socket = web.WebSocketResponse()
        await socket.prepare(request)
        hello = Hello('engine', 'life-1', 'm', 'v1', 0, 8, 'v100', 100.0)
        await socket.send_bytes(encode_frames([hello]))
        await socket.close()
        return socket

    app = web.Application()
    app.router.add_get('/v1/steps', serve_hello)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    address = f'127.0.0.1:{runner.addresses[0][1]}'
    reasons: list[str] = []
    link = EngineLink(
        Vm('engine', 'engine', address, 'zone-a'),
        lambda _, reason: reasons.append(reason),
        lambda *_: None,
    )
    async with ClientSession() as session:
        link.start(session)
        async with asyncio.timeout(10):
            while len(reasons) < 2:
                await asyncio.sleep(0.01)
        await link.close()
    await runner.cleanup()
    assert reasons[:2] == ['hello', 'closed']
