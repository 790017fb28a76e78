"""Stand-in of replicas of an application service, as PROTOCOL.md describes."""

import asyncio
import time

from aiohttp import web


class Replica:
    """A replica that runs each request in `work_s`."""

    def __init__(self, name, service, zone, store, record, work_s=0.06):
        self.name = name
        self.service = service
        self.zone = zone
        self.store = store
        self.record = record
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.address = ''
        self.headers = {}
        self.runs = []
        self._runner = None

    async def start(self):
        """Listen, and register in the store."""
        app = web.Application()
        app.router.add_route('*', '/{path:.*}', self._serve)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1,
            handler_cancellation=True,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, '127.0.0.1', 0).start()
        self.address = f'127.0.0.1:{self._runner.addresses[0][1]}'
        self.register()

    async def stop(self):
        """Exit."""
        await self._runner.cleanup()

    def register(self, state='ready', **changes):
        """Write the entry."""
        self.store.put('servers', self.name, self.make_entry(state, **changes))

    def make_entry(self, state='ready', **changes):
        """Make the entry in the registry."""
        return {
            'service': self.service, 'addr': self.address, 'zone': self.zone,
            'version': 'v1', 'slots': 6, 'state': state, 'seq': 1,
            'coldRemainingMs': 0, 'born': self.born, **changes,
        }

    async def _serve(self, request):
        identity = request.headers.get('X-Ryelatch-Request-Id', '')
        headers = {'X-Ryelatch-Request-Id': identity, **self.headers}
        body = await request.read()
        if request.path == '/healthz':
            return web.Response(headers={'X-Ryelatch-Replica-Id': self.name})
        expected = request.headers.get('X-Ryelatch-Expect-Replica', self.name)
        if expected != self.name:
            return web.Response(
                status=421,
                headers={**headers, 'X-Ryelatch-Replica-Id': self.name},
            )
        self.runs.append((time.monotonic(), identity))
        self.record.write(
            'run', replica=self.name, request=identity,
            tenant=request.headers.get('X-Ryelatch-Tenant'),
        )
        await asyncio.sleep(self.work_s)
        return web.Response(
            body=b'answer of ' + self.name.encode() + b' to ' + body,
            headers={
                **headers, 'X-Ryelatch-Replica-Signature': f's-{identity}',
            },
        )
