"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

It keeps objects by kind and name under one revision counter, answers lists and
watches, and names its era in every answer. `begin_drill` and `end_drill` play
the drill of the users' letters: the store is away for a moment and comes back
from a copy some seconds old.
"""

import asyncio
import copy
import json
import time

from aiohttp import web


class Store:
    """Objects, their history and the copies of the last seconds."""

    def __init__(self):
        self.era = 1
        self.revision = 0
        self.objects = {}
        self.history = []
        self.history_start = 0
        self.away = False
        self.written_by_outside = []
        self._copies = []
        self._changed = asyncio.Event()
        self._connections = set()

    # What the operator and the replicas do.

    def put(self, kind, name, spec):
        """Write an object; returns its revision."""
        self.written_by_outside.append((time.monotonic(), kind, name, spec))
        return self._put(kind, name, spec)

    def drop(self, kind, name):
        """Remove an object."""
        self.written_by_outside.append((time.monotonic(), kind, name, None))
        self._drop(kind, name)

    # The drill.

    def keep_copy(self):
        """Keep a copy of the present state, from which it may come back."""
        self._copies.append(
            (time.monotonic(), self.revision, copy.deepcopy(self.objects),
             list(self.history), self.history_start)
        )

    def begin_drill(self):
        """Go away: open connections are reset, new ones as well."""
        self.away = True
        for transport in tuple(self._connections):
            transport.abort()

    def end_drill(self, age_s, pending, again_s):
        """Come back from a copy that is `age_s` old.

        Writes of the system since then are gone. What the operator and the
        replicas wrote since then is written again after `again_s` seconds;
        `pending`, which waited for the store, is written at once.
        """
        oldest = time.monotonic() - age_s
        older = [kept for kept in self._copies if kept[0] <= oldest]
        at, revision, objects, history, start = older[-1]
        again = [entry for entry in self.written_by_outside if entry[0] > at]
        lost = {
            'revision_before': self.revision, 'revision_of_the_copy': revision,
            'to_be_written_again': [
                f'{kind}/{name}' for _, kind, name, _ in again
            ],
        }
        self.objects = copy.deepcopy(objects)
        self.revision = revision
        self.history = list(history)
        self.history_start = start
        self.era += 1
        waited = {
            f'{kind}/{name}': self.put(kind, name, spec)
            for kind, name, spec in pending
        }
        self.away = False
        loop = asyncio.get_running_loop()
        loop.call_later(again_s, self._write_again, again)
        return {**lost, 'revisions_of_what_waited': waited}

    def _write_again(self, entries):
        for _, kind, name, spec in entries:
            if spec is not None:
                self._put(kind, name, spec)
            elif name in self.objects.get(kind, {}):
                self._drop(kind, name)

    # The interface of the store.

    def make_app(self):
        """Make the HTTP application."""
        app = web.Application(middlewares=[self._guard])
        app.router.add_get('/objects/{kind}', self._list)
        app.router.add_post('/objects/{kind}', self._create)
        app.router.add_get('/objects/{kind}/{name}', self._read)
        app.router.add_put('/objects/{kind}/{name}', self._replace)
        app.router.add_delete('/objects/{kind}/{name}', self._delete)
        return app

    @web.middleware
    async def _guard(self, request, handler):
        transport = request.transport
        if self.away:
            transport.abort()
            return web.Response()
        self._connections.add(transport)
        try:
            await asyncio.sleep(0.004)
            response = await handler(request)
        finally:
            self._connections.discard(transport)
        response.headers['Store-Era'] = str(self.era)
        return response

    def _put(self, kind, name, spec):
        known = self.objects.get(kind, {}).get(name)
        if known is not None and known['spec'] == spec:
            return known['metadata']['revision']
        self.revision += 1
        stored = {
            'metadata': {
                'name': name, 'revision': self.revision, 'created': 1,
                'finalizers': [], 'deletionPending': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects.setdefault(kind, {})[name] = stored
        self._record(kind, stored, deleted=False)
        return self.revision

    def _drop(self, kind, name):
        stored = self.objects[kind].pop(name)
        self.revision += 1
        self._record(kind, stored, deleted=True)

    def _record(self, kind, stored, *, deleted):
        event = {'object': stored, 'deleted': deleted}
        self.history.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _list(self, request):
        kind = request.match_info['kind']
        if 'watch' in request.query:
            return await self._watch(kind, request)
        after = request.query.get('after', '')
        entries = [
            stored for name, stored in sorted(self.objects.get(kind, {}).items())
            if name > after
        ]
        return web.json_response({
            'entries': entries[:500], 'hasMore': len(entries) > 500,
            'at': self.revision,
        })

    async def _watch(self, kind, request):
        since = int(request.query['watch'])
        until = time.monotonic() + int(request.query.get('waitMs', 0)) / 1000
        while True:
            if since < self.history_start or since > self.revision:
                return web.json_response({'at': self.revision}, status=410)
            events = [
                event for number, changed, event in self.history
                if number > since and changed == kind
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return web.json_response(
                    {'events': events, 'at': self.revision}
                )
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _find(self, request):
        kind = request.match_info['kind']
        return self.objects.get(kind, {}).get(request.match_info['name'])

    async def _read(self, request):
        stored = self._find(request)
        if stored is None:
            return web.json_response({}, status=404)
        return web.json_response(stored)

    async def _create(self, request):
        body = json.loads(await request.read())
        kind, name = request.match_info['kind'], body['metadata']['name']
        current = self.objects.get(kind, {}).get(name)
        if current is not None:
            return web.json_response(current, status=409)
        self._put(kind, name, body['spec'])
        return web.json_response(self.objects[kind][name])

    async def _replace(self, request):
        body = json.loads(await request.read())
        current = self._find(request)
        if current is None:
            return web.json_response({}, status=404)
        expected = body['metadata'].get('revision')
        if expected not in {None, current['metadata']['revision']}:
            return web.json_response(current, status=409)
        kind, name = request.match_info['kind'], request.match_info['name']
        self._put(kind, name, body['spec'])
        return web.json_response(self.objects[kind][name])

    async def _delete(self, request):
        current = self._find(request)
        if current is None:
            return web.json_response({}, status=404)
        expected = request.query.get('revision')
        if expected and int(expected) != current['metadata']['revision']:
            return web.json_response(current, status=409)
        self._drop(request.match_info['kind'], request.match_info['name'])
        return web.json_response(current)
