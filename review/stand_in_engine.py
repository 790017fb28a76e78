"""Stand-in of a model replica that holds all layers; a process of its own.

Usage: engine.py NAME EVENTS PAUSE_S LOG. Prints its address when it listens.
"""

import asyncio
import json
import sys
import time

from aiohttp import web

LAYERS = {'from': 0, 'to': 8, 'version': 1}


class Engine:
    """Streams numbered events and reports its state."""

    def __init__(self, name, events, pause_s, log):
        self.name = name
        self.events = events
        self.pause_s = pause_s
        self.born = int(time.time() * 1000)
        self.active = 0
        self.sequence = 0
        self._log = open(log, 'a')

    def make_app(self):
        """Make the HTTP application."""
        app = web.Application()
        app.router.add_get('/report', self._report)
        app.router.add_post('/order', self._order)
        app.router.add_get('/healthz', self._health)
        app.router.add_route('*', '/{path:.*}', self._serve)
        return app

    def _write(self, what, **detail):
        line = {'at': time.monotonic(), 'what': what, **detail}
        self._log.write(json.dumps(line) + '\n')
        self._log.flush()

    async def _report(self, request):
        return web.json_response({
            'phase': 'colocated',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False, 'seq': self.sequence, 'queued': 0,
            'active': self.active, 'kvUsed': 1000, 'kvTotal': 400000,
            'handles': 0, 'layers': LAYERS, 'born': self.born, 'pace': 1,
            'stalled': [],
        })

    async def _order(self, request):
        order = await request.json()
        wanted = order.get('from'), order.get('to')
        held = (LAYERS['from'], LAYERS['to'])
        fits = order.get('op') == 'place' and wanted == held
        return web.json_response({}, status=200 if fits else 409)

    async def _health(self, request):
        return web.Response(headers={'X-Ryelatch-Replica-Id': self.name})

    async def _serve(self, request):
        identity = request.headers.get('X-Ryelatch-Request-Id', '')
        headers = {'X-Ryelatch-Request-Id': identity}
        expected = request.headers.get('X-Ryelatch-Expect-Replica', self.name)
        if expected != self.name:
            return web.Response(
                status=421,
                headers={**headers, 'X-Ryelatch-Replica-Id': self.name},
            )
        await request.read()
        last = int(request.headers.get('Last-Event-Id', '0'))
        self._write('run', request=identity, after=last)
        self.active += 1
        response = web.StreamResponse(headers={
            **headers, 'Content-Type': 'text/event-stream',
            'X-Ryelatch-Replica-Signature': f's-{self.name}-{identity}',
            'X-Ryelatch-Weight-Versions': '1',
        })
        try:
            await asyncio.sleep(self.pause_s)
            await response.prepare(request)
            for number in range(last + 1, self.events + 1):
                event = f'id: {number}\ndata: token {number}\n\n'
                await response.write(event.encode())
                await asyncio.sleep(self.pause_s)
            await response.write_eof()
        except (asyncio.CancelledError, ConnectionError):
            self._write('cut', request=identity)
            raise
        finally:
            self.active -= 1
        self._write('done', request=identity)
        return response


async def main():
    """Serve until the process is ended."""
    name, events, pause_s, log = sys.argv[1:5]
    engine = Engine(name, int(events), float(pause_s), log)
    runner = web.AppRunner(
        engine.make_app(), access_log=None, handler_cancellation=True
    )
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    print(f'127.0.0.1:{runner.addresses[0][1]} {engine.born}', flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
