"""Stand-in for the object store that the platform adapter uses."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any, TypeAlias

from aiohttp import web

from standins.journal import Entry, Journal

Present: TypeAlias = Callable[[str, dict[str, Any]], dict[str, Any]]
"""Changes a stored object, by its kind, for the callers of one application."""

_PRESENT = web.AppKey('present', object)

ERA_HEADER = 'Store-Era'


def _present_unchanged(_: str, stored: dict[str, Any]) -> dict[str, Any]:
    return stored


def _get_present(request: web.Request) -> Present:
    return request.app[_PRESENT]  # type: ignore[return-value]


class ObjectStore:
    """Objects by kind and name under one revision counter, with faults.

    :param mode: ``ok``, ``busy`` (each call gets 503), ``silent`` (none gets
        an answer) or ``away`` (each connection is reset).
    :param era: era that all answers name.
    :param lose_answers: number of next writes that take effect without answer.
    :param hide_changes: whether watches report no changes.
    :param calls: method and path of each call.
    """

    def __init__(self) -> None:
        self.mode = 'ok'
        self.lose_answers = 0
        self.hide_changes = False
        self.calls: list[str] = []
        self.revision = 0
        self.era = 1
        self._journal = Journal()
        self._transports: set[asyncio.BaseTransport] = set()
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any]]] = []
        self._history_start = 0
        self._changed = asyncio.Event()

    def put(
        self, kind: str, name: str, spec: Any, *, by_node: bool = False
    ) -> int:
        """Write an object, as operators and replicas do.

        :param by_node: whether a node writes it; this is not written again
            after the store has come back from a copy.
        :returns: its revision.
        """
        self.revision += 1
        self._journal.add(self.revision, kind, name, spec, by_node=by_node)
        stored = _make_stored(name, self.revision, spec)
        self._objects.setdefault(kind, {})[name] = stored
        self._record(kind, {'object': stored, 'deleted': False})
        return self.revision

    def drop(self, kind: str, name: str, *, by_node: bool = False) -> None:
        """Delete an object."""
        stored = self._objects[kind].pop(name)
        self.revision += 1
        self._journal.add(self.revision, kind, name, None, by_node=by_node)
        self._record(kind, {'object': stored, 'deleted': True})

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object with its metadata, or None."""
        return self._objects.get(kind, {}).get(name)

    def forget_history(self) -> None:
        """Drop all history, so that watches since older revisions get 410."""
        self._history.clear()
        self._history_start = self.revision
        self._notify_watchers()

    def go_away(self) -> None:
        """Reset all connections, and new ones as well."""
        self.mode = 'away'
        for transport in tuple(self._transports):
            transport.abort()  # type: ignore[attr-defined]

    def restore(self, age: float, again: float) -> None:
        """Come back from a copy, in a new era.

        :param age: seconds by which the copy is older than now.
        :param again: seconds until operators and replicas write what is lost.
        """
        loop = asyncio.get_running_loop()
        kept, lost = self._journal.cut(loop.time() - age)
        self.revision = max((entry.revision for entry in kept), default=0)
        self._objects.clear()
        for entry in kept:
            self._objects.setdefault(entry.kind, {}).pop(entry.name, None)
            if entry.spec is not None:
                self._objects[entry.kind][entry.name] = _make_stored(
                    entry.name, entry.revision, entry.spec
                )
        self._history = [
            change for change in self._history if change[0] <= self.revision
        ]
        self._history_start = min(self._history_start, self.revision)
        self.era += 1
        self.mode = 'ok'
        loop.call_later(again, self._write_again, lost)

    def make_app(
        self, present: Present = _present_unchanged
    ) -> web.Application:
        """Make the HTTP application that serves the store.

        :param present: changes the objects that lists and watches return.
        """
        app = web.Application(middlewares=[self._guard])
        app[_PRESENT] = present
        app.router.add_get('/objects/{kind}', self._list)
        app.router.add_post('/objects/{kind}', self._create)
        app.router.add_get('/objects/{kind}/{name}', self._read)
        app.router.add_put('/objects/{kind}/{name}', self._replace)
        app.router.add_delete('/objects/{kind}/{name}', self._delete)
        return app

    def _write_again(self, lost: list[Entry]) -> None:
        for entry in self._journal.list_unreplaced(lost):
            if entry.spec is not None:
                self.put(entry.kind, entry.name, entry.spec)
            elif self.get(entry.kind, entry.name) is not None:
                self.drop(entry.kind, entry.name)

    @web.middleware
    async def _guard(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Name the era in each answer, and reset connections while away."""
        transport = request.transport
        assert transport is not None
        if self.mode == 'away':
            transport.abort()
            return web.Response()
        self._transports.add(transport)
        try:
            response = await handler(request)
        finally:
            self._transports.discard(transport)
        response.headers.setdefault(ERA_HEADER, str(self.era))
        return response

    def _record(self, kind: str, event: dict[str, Any]) -> None:
        self._history.append((self.revision, kind, event))
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _apply_fault(self, request: web.Request) -> web.Response | None:
        self.calls.append(f'{request.method} {request.path_qs}')
        if self.mode == 'silent':
            await asyncio.Event().wait()
        if self.mode == 'busy':
            return web.json_response({}, status=503)
        return None

    async def _list(self, request: web.Request) -> web.StreamResponse:
        fault_response = await self._apply_fault(request)
        if fault_response is not None:
            return fault_response
        kind = request.match_info['kind']
        if 'watch' in request.query:
            return await self._watch(kind, request)
        entries = sorted(
            self._objects.get(kind, {}).values(),
            key=lambda stored: stored['metadata']['name'],
        )
        after = request.query.get('after', '')
        following = [
            entry for entry in entries if entry['metadata']['name'] > after
        ]
        present = _get_present(request)
        return web.json_response(
            {
                'entries': [present(kind, entry) for entry in following[:20]],
                'hasMore': len(following) > 20,
                'at': self.revision,
            }
        )

    async def _watch(
        self, kind: str, request: web.Request
    ) -> web.StreamResponse:
        since = int(request.query['watch'])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(request.query['waitMs']) / 1000
        present = _get_present(request)
        while True:
            known = self._history_start <= since <= self.revision
            if not known and not self.hide_changes:
                return web.json_response({'at': self.revision}, status=410)
            events = [
                {**event, 'object': present(kind, event['object'])}
                for revision, changed_kind, event in self._history
                if revision > since
                and changed_kind == kind
                and not self.hide_changes
            ]
            remaining = deadline - loop.time()
            if events or remaining <= 0:
                at = since if self.hide_changes else self.revision
                return web.json_response({'events': events, 'at': at})
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining)

    async def _read(self, request: web.Request) -> web.StreamResponse:
        fault_response = await self._apply_fault(request)
        if fault_response is not None:
            return fault_response
        stored = self.get(
            request.match_info['kind'], request.match_info['name']
        )
        if stored is None:
            return web.json_response({'at': self.revision}, status=404)
        return web.json_response(stored)

    async def _create(self, request: web.Request) -> web.StreamResponse:
        body = json.loads(await request.read())
        name = body['metadata']['name']
        kind = request.match_info['kind']
        current = self.get(kind, name)
        if current is not None:
            return web.json_response(current, status=409)
        return await self._write(request, kind, name, body)

    async def _replace(self, request: web.Request) -> web.StreamResponse:
        body = json.loads(await request.read())
        name = request.match_info['name']
        kind = request.match_info['kind']
        current = self.get(kind, name)
        if current is None:
            return web.json_response({}, status=404)
        expected_revision = body['metadata'].get('revision')
        if expected_revision not in {None, current['metadata']['revision']}:
            return web.json_response(current, status=409)
        return await self._write(request, kind, name, body)

    async def _delete(self, request: web.Request) -> web.StreamResponse:
        fault_response = await self._apply_fault(request)
        if fault_response is not None:
            return fault_response
        kind = request.match_info['kind']
        name = request.match_info['name']
        current = self.get(kind, name)
        if current is None:
            return web.json_response({}, status=404)
        expected_revision = request.query.get(
            'revision', current['metadata']['revision']
        )
        if int(expected_revision) != current['metadata']['revision']:
            return web.json_response(current, status=409)
        self.drop(kind, name, by_node=True)
        return web.json_response(current)

    async def _write(
        self,
        request: web.Request,
        kind: str,
        name: str,
        body: dict[str, Any],
    ) -> web.StreamResponse:
        fault_response = await self._apply_fault(request)
        if fault_response is not None:
            return fault_response
        self.put(kind, name, body['spec'], by_node=True)
        if self.lose_answers:
            self.lose_answers -= 1
            assert request.transport is not None
            request.transport.abort()
        return web.json_response(self.get(kind, name))


def _make_stored(name: str, revision: int, spec: Any) -> dict[str, Any]:
    return {
        'metadata': {'name': name, 'revision': revision},
        'spec': spec,
        'status': None,
    }
