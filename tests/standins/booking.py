"""Stand-in for a non-model service with bookings that may run only once."""

import argparse
import asyncio
from collections import Counter
from typing import Any

from aiohttp import web

from standins.server import make_app, serve

RUNS = web.AppKey('runs', Counter)
FAULTS = web.AppKey('faults', dict)
HEADERS = web.AppKey('headers', list)

_UNFRAMED = b'HTTP/1.1 201 Created\r\nContent-Type: application/json\r\n\r\n{}'


async def book(request: web.Request) -> web.StreamResponse:
    """Run a request, and count its runs by its body or path."""
    body = await request.text()
    faults: dict[str, Any] = request.app[FAULTS]
    request.app[HEADERS].append(list(request.headers.items()))
    if faults.get('slow'):
        await asyncio.sleep(faults['slow'])
    request.app[RUNS][body or request.path_qs] += 1
    if faults.get('slow_answer'):
        await asyncio.sleep(faults['slow_answer'])
    if faults.get('lose', 0) > 0:
        faults['lose'] -= 1
        if request.transport is not None:
            request.transport.close()
        await asyncio.sleep(1)
    if faults.get('hang', 0) > 0:
        faults['hang'] -= 1
        await asyncio.Event().wait()
    runs = request.app[RUNS][body or request.path_qs]
    if faults.get('unframed') and request.transport is not None:
        request.transport.write(_UNFRAMED)
        request.transport.close()
    return web.json_response({'booked': body, 'runs': runs}, status=201)


async def show_health(request: web.Request) -> web.Response:
    """Report whether the service accepts new requests."""
    leaving = request.app[FAULTS].get('leaving')
    return web.Response(status=503 if leaving else 200)


async def show_runs(request: web.Request) -> web.Response:
    """Serve how often each request ran, and the headers of all requests."""
    return web.json_response(
        {'runs': request.app[RUNS], 'headers': request.app[HEADERS]}
    )


async def set_faults(request: web.Request) -> web.Response:
    """Replace the faults."""
    request.app[FAULTS].clear()
    request.app[FAULTS].update(await request.json())
    return web.json_response({})


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=0)
    arguments = parser.parse_args()
    app = make_app()
    app[RUNS] = Counter()
    app[FAULTS] = {}
    app[HEADERS] = []
    app.add_routes(
        [
            web.get('/healthz', show_health),
            web.get('/control/runs', show_runs),
            web.put('/control/faults', set_faults),
            web.route('*', '/{path:.*}', book),
        ]
    )
    asyncio.run(serve(app, arguments.port))


if __name__ == '__main__':
    main()
