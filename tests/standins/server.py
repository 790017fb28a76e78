"""HTTP server of the stand-ins, whose connections can stop responding."""

import asyncio
import contextlib
import signal
from typing import Any

from aiohttp import web

SILENCED = web.AppKey('muted', set)


async def _block_if_silenced(
    app: web.Application, request: web.Request
) -> None:
    """Block for ever if the connection of a request was silenced."""
    if id(request.transport) in app[SILENCED]:
        await asyncio.Event().wait()


@web.middleware
async def block_silenced(
    request: web.Request, handler: Any
) -> web.StreamResponse:
    """Serve a request, unless its connection was silenced."""
    request.app['seen'].add(id(request.transport))
    await _block_if_silenced(request.app, request)
    response: web.StreamResponse = await handler(request)
    return response


async def _silence_connections(request: web.Request) -> web.Response:
    app = request.app
    app[SILENCED].update(app['seen'] - {id(request.transport)})
    for hook in app['on_silence']:
        hook()
    return web.json_response({})


def make_app() -> web.Application:
    """Make an application whose open connections can be silenced.

    ``POST /control/silence`` silences them; new connections are served.
    """
    app = web.Application(
        middlewares=[block_silenced], client_max_size=64 * 2**20
    )
    app[SILENCED] = set()
    app['seen'] = set()
    app['on_silence'] = []
    app.router.add_post('/control/silence', _silence_connections)
    return app


async def serve(app: web.Application, port: int) -> None:
    """Print the port to standard output, and serve until SIGTERM or SIGINT."""
    runner = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', port, backlog=1024)
    await site.start()
    bound = runner.addresses[0][1]
    print(f'READY {bound}', flush=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    with contextlib.suppress(asyncio.CancelledError):
        await runner.cleanup()
