"""Links of a node to its engines."""

import asyncio

from aiohttp import ClientSession, web

from fleet.fleet import make_shape, run_fleet
from ryelatch_core.membership import Vm
from ryelatch_core.pipeline import Hello, encode_frames
from ryelatch_node.upstreams._link import EngineLink


async def test_more_engines_than_a_hundred() -> None:
    """A fleet grows past a hundred engines, and the rest get no work.

    The client library's pool ends at a hundred connections by default; the
    others wait for a free one, which there never is.
    """
    async with run_fleet(make_shape(nodes=1, replicas=1)) as fleet:
        engine = fleet.vms['engine-0a']
        for index in range(130):
            name = f'linked-{index}'
            fleet.vms[name] = engine | {'name': name}
        await fleet.publish_vms()
        await fleet.wait_connected(133)


async def test_short_connection_is_told_as_closed() -> None:
    """An engine is killed within a second of being connected.

    The time line named no reason, only that the connection had been of use.
    On a busy machine, where engines connect late, that showed in a session.
    """

    async def greet(request: web.Request) -> web.WebSocketResponse:
        socket = web.WebSocketResponse()
        await socket.prepare(request)
        hello = Hello('engine', 'life-1', 'm', 'v1', 0, 8, 'v100', 100.0)
        await socket.send_bytes(encode_frames([hello]))
        await socket.close()
        return socket

    app = web.Application()
    app.router.add_get('/v1/steps', greet)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    address = f'127.0.0.1:{runner.addresses[0][1]}'
    told: list[str] = []
    link = EngineLink(
        Vm('engine', 'engine', address, 'zone-a'),
        lambda _, reason: told.append(reason),
        lambda *_: None,
    )
    async with ClientSession() as session:
        link.start(session)
        async with asyncio.timeout(10):
            while len(told) < 2:
                await asyncio.sleep(0.01)
        await link.close()
    await runner.cleanup()
    assert told[:2] == ['hello', 'closed']
