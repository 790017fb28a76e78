"""A stand-in for the platform's store, called without sockets."""

import asyncio
import enum
import json
import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, Self

import aiohttp

from standins.journal import Entry, Journal

ANSWER_SECONDS = 0.004
"""Time that the store usually takes to respond."""

_POLL_SECONDS = 0.02
"""How often a watch that receives no events checks whether this is over."""

_INSTANT_SECONDS = 1e-6
"""A time so short that adding it may not change the clock's value.

A watch with no more time than this left has reached its end.
"""

_GONE = 410
_CONFLICT = 409
_MISSING = 404
_BUSY = 503
_OK = 200


class Trouble(enum.Enum):
    """The fault that a client of the store meets."""

    NONE = 'none'
    SILENT = 'silent'
    """Calls made during the fault never get a response."""

    BUSY = 'busy'
    RESET = 'reset'
    WATCHES_UNRESPONSIVE = 'deaf'
    """Watches receive no events; other calls get responses."""


@dataclass
class _Answer:
    status: int
    _body: bytes
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def content(self) -> Self:
        """The body, which can be read in pieces."""
        return self

    async def iter_any(self) -> AsyncIterator[bytes]:
        """Yield the whole body."""
        yield self._body


@dataclass(eq=False)
class VirtualStore:
    """Objects, the history of their changes, and a fault for each client.

    :param troubles: faults by client; all other clients meet none.
    :param delay: seconds that each response takes.
    :param list_delays: seconds that a list takes beyond that, by client.
    :param calls: time, client and path of each call.
    :param era: era that all responses name.
    :param headers: headers of the responses, by client, in place of the one
        that names the era.
    :param away: whether no call gets through.
    """

    troubles: dict[str, Trouble] = field(default_factory=dict)
    delay: float = ANSWER_SECONDS
    list_delays: dict[str, float] = field(default_factory=dict)
    calls: list[tuple[float, str, str]] = field(default_factory=list)
    revision: int = 1
    era: int = 1
    headers: dict[str, dict[str, str]] = field(default_factory=dict)
    away: bool = False
    _objects: dict[str, dict[str, dict[str, Any]]] = field(default_factory=dict)
    _history: list[tuple[int, str, dict[str, Any]]] = field(
        default_factory=list
    )
    _kept_since: int = 0
    _journal: Journal = field(default_factory=Journal)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _cut: asyncio.Event = field(default_factory=asyncio.Event)

    def put(
        self, kind: str, name: str, spec: Any, *, by_node: bool = False
    ) -> None:
        """Create or replace an object.

        :param by_node: whether a node writes it. What operators and replicas
            wrote is written again after a restoration.
        """
        self.revision += 1
        self._journal.add(self.revision, kind, name, spec, by_node=by_node)
        found = {
            'metadata': {'name': name, 'revision': self.revision},
            'spec': spec,
        }
        self._objects.setdefault(kind, {})[name] = found
        self._record(kind, {'object': found, 'deleted': False})

    def drop(self, kind: str, name: str, *, by_node: bool = False) -> None:
        """Delete an object, if it exists."""
        found = self._objects.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            self._journal.add(self.revision, kind, name, None, by_node=by_node)
            self._record(kind, {'object': found, 'deleted': True})

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object with its metadata, or None."""
        return self._objects.get(kind, {}).get(name)

    def list_names(self, kind: str) -> list[str]:
        """List the names of the objects of a kind."""
        return list(self._objects.get(kind, {}))

    def forget_history(self) -> None:
        """Drop the history; older watches get an error that says so."""
        self._history.clear()
        self._kept_since = self.revision
        self._wake()

    def cut_watches(self) -> None:
        """Close the connections of all waiting watches."""
        self._cut, old = asyncio.Event(), self._cut
        old.set()

    def go_away(self) -> None:
        """Close all connections, and let no call through."""
        self.away = True
        self.cut_watches()

    def restore(self, age: float, again: float) -> None:
        """Come back from a copy, in a new era.

        :param age: seconds by which the copy is older than now.
        :param again: seconds until operators and replicas write what is lost.
        """
        loop = asyncio.get_running_loop()
        kept, lost = self._journal.cut(loop.time() - age)
        self.revision = max((entry.revision for entry in kept), default=1)
        self._objects.clear()
        for entry in kept:
            self._objects.setdefault(entry.kind, {}).pop(entry.name, None)
            if entry.spec is not None:
                self._objects[entry.kind][entry.name] = {
                    'metadata': {
                        'name': entry.name,
                        'revision': entry.revision,
                    },
                    'spec': entry.spec,
                }
        self._history = [
            change for change in self._history if change[0] <= self.revision
        ]
        self._kept_since = min(self._kept_since, self.revision)
        self.era += 1
        self.away = False
        loop.call_later(again, self._write_again, lost)

    def open_session(self, caller: str) -> 'VirtualSession':
        """Create a stand-in for the connection pool of a client."""
        return VirtualSession(self, caller)

    async def answer(
        self,
        caller: str,
        path: str,
        method: str = 'GET',
        body: bytes | None = None,
    ) -> _Answer:
        """Respond to a call, as far as the fault of its client allows.

        Watches that already wait when the store stops responding get their
        response in the end. Calls made during the fault get none.
        """
        answer = await self._answer(caller, path, method, body)
        answer.headers = self.headers.get(caller, {'Store-Era': str(self.era)})
        return answer

    def _write_again(self, lost: list[Entry]) -> None:
        for entry in self._journal.list_unreplaced(lost):
            if entry.spec is None:
                self.drop(entry.kind, entry.name)
            else:
                self.put(entry.kind, entry.name, entry.spec)

    async def _answer(
        self, caller: str, path: str, method: str, body: bytes | None
    ) -> _Answer:
        now = asyncio.get_running_loop().time()
        self.calls.append((now, caller, path))
        trouble = self.troubles.get(caller, Trouble.NONE)
        await asyncio.sleep(self.delay)
        if self.away:
            raise aiohttp.ServerDisconnectedError
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
            await asyncio.sleep(self.list_delays.get(caller, 0))
            return self._list(kind)
        return await self._watch(
            caller, kind, int(watch[1]), int(watch[2]) / 1000
        )

    def _read(self, kind: str, name: str) -> _Answer:
        found = self._objects.get(kind, {}).get(name)
        return _Answer(_MISSING, b'{}') if found is None else _write(**found)

    def _change(self, method: str, path: str, body: bytes | None) -> _Answer:
        """Write or delete an object, if its revision is the expected one."""
        place, _, query = path.partition('?')
        kind, _, name = place.partition('/')
        wanted = query.removeprefix('revision=')
        spec = None
        if body is not None:
            content = json.loads(body)
            name, spec = content['metadata']['name'], content['spec']
            wanted = str(content['metadata'].get('revision', ''))
        current = self._objects.get(kind, {}).get(name)
        if current is None and method != 'POST':
            return _Answer(_MISSING, b'{}')
        if (
            current is not None
            and str(current['metadata']['revision']) != wanted
        ):
            return _Answer(_CONFLICT, json.dumps(current).encode())
        if method == 'DELETE':
            self.drop(kind, name, by_node=True)
            return _write()
        self.put(kind, name, spec, by_node=True)
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
        deadline = loop.time() + wait
        while True:
            if cut.is_set():
                raise aiohttp.ServerDisconnectedError
            withheld = caller in self.troubles
            if not self._kept_since <= since <= self.revision and not withheld:
                return _Answer(_GONE, b'{}')
            events = [
                event
                for revision, of, event in self._history
                if revision > since and of == kind
            ]
            left = deadline - loop.time()
            if not withheld and (events or left <= _INSTANT_SECONDS):
                return _write(events=events, at=self.revision)
            await self._wait(cut, _POLL_SECONDS if withheld else left)

    async def _wait(self, cut: asyncio.Event, seconds: float) -> None:
        tasks = [
            asyncio.ensure_future(event.wait())
            for event in (self._changed, cut)
        ]
        try:
            await asyncio.wait(
                tasks, timeout=seconds, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for task in tasks:
                task.cancel()

    def _record(self, kind: str, event: dict[str, Any]) -> None:
        self._history.append((self.revision, kind, event))
        self._wake()

    def _wake(self) -> None:
        self._changed, old = asyncio.Event(), self._changed
        old.set()


@dataclass(eq=False)
class VirtualSession:
    """Makes calls to the store, with the interface of the HTTP client."""

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
        """Make a call, limited by its timeout."""
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
        """Close all connections; calls in progress fail."""
        for call in tuple(self._calls):
            call.cancel()

    async def _await(self, call: 'asyncio.Task[_Answer]') -> _Answer:
        await asyncio.wait((call,))
        if call.cancelled():
            raise aiohttp.ServerDisconnectedError
        return call.result()


def _write(**content: Any) -> _Answer:
    return _Answer(_OK, json.dumps(content).encode())
