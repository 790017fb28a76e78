"""A stand-in for the platform's store that is reached without sockets."""

import asyncio
import enum
import json
import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import aiohttp

ANSWER_SECONDS = 0.004
"""The store's usual time for an answer."""

_LOOK_SECONDS = 0.02
"""How often a watch that hears nothing looks whether that is over."""

_INSTANT_SECONDS = 1e-6
"""A time so short that adding it may leave the clock where it is."""

_GONE = 410
_CONFLICT = 409
_MISSING = 404
_BUSY = 503
_OK = 200


class Trouble(enum.Enum):
    """What the store does to a caller."""

    NONE = 'none'
    SILENT = 'silent'
    """A call that is made meanwhile is never answered."""

    BUSY = 'busy'
    RESET = 'reset'
    DEAF = 'deaf'
    """Watches hear nothing, other calls are answered."""


@dataclass
class _Answer:
    status: int
    _body: bytes

    async def read(self) -> bytes:
        """Read the whole body."""
        return self._body


@dataclass(eq=False)
class VirtualStore:
    """Objects, their history, and what each caller meets.

    :param troubles: by caller; all others meet none.
    :param delay: seconds that each answer takes.
    """

    troubles: dict[str, Trouble] = field(default_factory=dict)
    delay: float = ANSWER_SECONDS
    calls: list[tuple[float, str, str]] = field(default_factory=list)
    revision: int = 1
    _objects: dict[str, dict[str, dict[str, Any]]] = field(default_factory=dict)
    _history: list[tuple[int, str, dict[str, Any]]] = field(
        default_factory=list
    )
    _kept_since: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _cut: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object."""
        self.revision += 1
        found = {
            'metadata': {'name': name, 'revision': self.revision},
            'spec': spec,
        }
        self._objects.setdefault(kind, {})[name] = found
        self._note(kind, {'object': found, 'deleted': False})

    def drop(self, kind: str, name: str) -> None:
        """Delete an object, if it is there."""
        found = self._objects[kind].pop(name, None)
        if found is not None:
            self.revision += 1
            self._note(kind, {'object': found, 'deleted': True})

    def forget_history(self) -> None:
        """Drop all history; watches from before are told so."""
        self._history.clear()
        self._kept_since = self.revision
        self._wake()

    def cut_watches(self) -> None:
        """End the connections of all watches that wait."""
        self._cut, old = asyncio.Event(), self._cut
        old.set()

    def open_session(self, caller: str) -> 'VirtualSession':
        """Open what stands for a pool of connections."""
        return VirtualSession(self, caller)

    async def answer(
        self,
        caller: str,
        path: str,
        method: str = 'GET',
        body: bytes | None = None,
    ) -> _Answer:
        """Answer a call as the troubles of its caller allow.

        What waits when the store goes silent is answered in the end, what is
        sent meanwhile never.
        """
        now = asyncio.get_running_loop().time()
        self.calls.append((now, caller, path))
        trouble = self.troubles.get(caller, Trouble.NONE)
        await asyncio.sleep(self.delay)
        if trouble is Trouble.SILENT:
            await asyncio.Event().wait()
        if trouble is Trouble.BUSY:
            return _Answer(_BUSY, b'{}')
        if trouble is Trouble.RESET:
            raise aiohttp.ServerDisconnectedError
        if method != 'GET':
            return self._change(method, path, body)
        kind = re.split(r'[?/]', path)[0]
        if '/' in path:
            return self._read(kind, path.partition('/')[2])
        watch = re.search(r'watch=(\d+)&waitMs=(\d+)', path)
        if watch is None:
            return self._list(kind)
        return await self._watch(
            caller, kind, int(watch[1]), int(watch[2]) / 1000
        )

    def _read(self, kind: str, name: str) -> _Answer:
        found = self._objects.get(kind, {}).get(name)
        return _Answer(_MISSING, b'{}') if found is None else _write(**found)

    def _change(self, method: str, path: str, body: bytes | None) -> _Answer:
        """Write or delete an object under the condition that is given."""
        place, _, query = path.partition('?')
        kind, _, name = place.partition('/')
        wanted = query.removeprefix('revision=')
        spec = None
        if body is not None:
            content = json.loads(body)
            name, spec = content['metadata']['name'], content['spec']
            wanted = str(content['metadata'].get('revision', ''))
        held = self._objects.get(kind, {}).get(name)
        if held is None and method != 'POST':
            return _Answer(_MISSING, b'{}')
        if held is not None and str(held['metadata']['revision']) != wanted:
            return _Answer(_CONFLICT, json.dumps(held).encode())
        if method == 'DELETE':
            self.drop(kind, name)
            return _write()
        self.put(kind, name, spec)
        return self._read(kind, name)

    def _list(self, kind: str) -> _Answer:
        entries = list(self._objects.get(kind, {}).values())
        return _write(entries=entries, hasMore=False, at=self.revision)

    async def _watch(
        self,
        caller: str,
        kind: str,
        since: int,
        wait: float,
    ) -> _Answer:
        cut = self._cut
        loop = asyncio.get_running_loop()
        ends = loop.time() + wait
        while True:
            if cut.is_set():
                raise aiohttp.ServerDisconnectedError
            deaf = caller in self.troubles
            if since < self._kept_since and not deaf:
                return _Answer(_GONE, b'{}')
            events = [
                event
                for revision, of, event in self._history
                if revision > since and of == kind
            ]
            left = ends - loop.time()
            if not deaf and (events or left <= _INSTANT_SECONDS):
                return _write(events=events, at=self.revision)
            await self._wait(cut, _LOOK_SECONDS if deaf else left)

    async def _wait(self, cut: asyncio.Event, seconds: float) -> None:
        waits = [
            asyncio.ensure_future(event.wait())
            for event in (self._changed, cut)
        ]
        try:
            await asyncio.wait(
                waits, timeout=seconds, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for one in waits:
                one.cancel()

    def _note(self, kind: str, event: dict[str, Any]) -> None:
        self._history.append((self.revision, kind, event))
        self._wake()

    def _wake(self) -> None:
        self._changed, old = asyncio.Event(), self._changed
        old.set()


@dataclass(eq=False)
class VirtualSession:
    """Makes calls as the HTTP client does."""

    store: VirtualStore
    caller: str
    _calls: set['asyncio.Task[_Answer]'] = field(default_factory=set)

    @asynccontextmanager
    async def request(
        self,
        method: str,
        url: str,
        *,
        timeout: aiohttp.ClientTimeout,
        data: bytes | None = None,
        **_: Any,
    ) -> AsyncIterator[_Answer]:
        """Make a call within its time."""
        path = url.partition('/objects/')[2]
        call = asyncio.create_task(
            self.store.answer(self.caller, path, method, data)
        )
        self._calls.add(call)
        try:
            async with asyncio.timeout(timeout.total):
                answer = await self._await(call)
        finally:
            self._calls.discard(call)
            call.cancel()
        yield answer

    async def close(self) -> None:
        """Close all connections; calls on them fail."""
        for call in tuple(self._calls):
            call.cancel()

    async def _await(self, call: 'asyncio.Task[_Answer]') -> _Answer:
        await asyncio.wait((call,))
        if call.cancelled():
            raise aiohttp.ServerDisconnectedError
        return call.result()


def _write(**content: Any) -> _Answer:
    return _Answer(_OK, json.dumps(content).encode())
