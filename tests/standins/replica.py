"""A stand-in for a replica: plain calls, streams over paths, orders."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web
from multidict import CIMultiDict

from standins.objects import ObjectStore


def _read_clock() -> float:
    return asyncio.get_running_loop().time()


@dataclass
class Run:
    """A request that the replica received.

    :param at: when it came, by the loop's clock.
    """

    identity: str
    headers: CIMultiDict[str]
    path: str
    body: bytes
    cancelled: bool = False
    at: float = field(default_factory=_read_clock)


@dataclass(eq=False)
class ReplicaStandIn:
    """One life of a replica.

    :param layers: held, as first and end.
    :param events: of each stream.
    :param pause: seconds between events.
    :param break_after: event after which the stream is torn, once.
    :param stall_after: event after which the stream stands still until its
        path is another.
    :param stalls: how many streams stand still.
    :param stalled_address: the address that the report then names.
    :param refuse: status of refusals, each with the "not run" mark.
    :param fail: status of its own failures.
    :param failures: requests that it fails before it is well.
    :param hang: whether it takes requests and never answers.
    :param other_identity: whether it answers under another request's name.
    :param born: milliseconds; 0 if it does not say when it began.
    :param unframed_part: whether it sends a part without a length and resets.
    :param crash_on: body of a request under which it ends, once the head of
        its answer has gone out; nothing can be reached there from then on.
    :param crashed: whether it has.
    :param extra_headers: headers that it adds to all its answers.
    :param refusals: when it refused, by the loop's clock.
    :param reports: how often it was asked for one.
    :param stop_listening: makes its address refuse connections.
    """

    name: str
    service: str
    zone: str = 'zone-a'
    accelerator: str = ''
    layers: tuple[int, int] | None = None
    events: int = 5
    pause: float = 0.01
    break_after: int = 0
    stall_after: int = 0
    stalls: int = 1
    stalled_address: str = ''
    refuse: int = 0
    fail: int = 0
    failures: int = 0
    hang: bool = False
    other_identity: bool = False
    unframed_part: bool = False
    crash_on: bytes = b''
    crashed: bool = False
    extra_headers: dict[str, str] = field(default_factory=dict)
    refusals: list[float] = field(default_factory=list)
    reports: int = 0
    address: str = ''
    born: int = 0
    runs: list[Run] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    sequence: int = 0
    fence: int = 0
    store: ObjectStore | None = None
    _moved: asyncio.Event = field(default_factory=asyncio.Event)
    _stalled: dict[str, str] = field(default_factory=dict)
    stop_listening: Callable[[], Awaitable[None]] | None = None
    _open: set[asyncio.Transport] = field(default_factory=set)

    def register(self, state: str = 'ready') -> None:
        """Write the entry in the registry."""
        assert self.store is not None
        entry: dict[str, Any] = {
            'service': self.service,
            'addr': self.address,
            'zone': self.zone,
            'slots': 4,
            'state': state,
            'seq': 1,
            'version': 'v1',
            'coldRemainingMs': 0,
        }
        if self.born:
            entry['born'] = self.born
        if self.accelerator:
            entry['routeKind'] = self.accelerator
            entry['layers'] = self._write_layers()
        self.store.put('servers', self.name, entry)

    @property
    def streams(self) -> int:
        """Count the requests that it is running."""
        return 0 if self.crashed else len(self._open)

    async def crash(self) -> None:
        """End as a process does: nothing listens, connections are reset."""
        self.crashed = True
        assert self.stop_listening is not None
        await self.stop_listening()
        for transport in tuple(self._open):
            transport.abort()

    def resume(self) -> None:
        """Let streams that stand still go on."""
        self._stalled.clear()
        self._moved.set()

    def make_app(self) -> web.Application:
        """Make the HTTP side."""
        app = web.Application()
        app.router.add_get('/report', self._report)
        app.router.add_post('/order', self._order)
        app.router.add_route('*', '/{path:.*}', self._serve)
        return app

    def restart(self, name: str = '') -> None:
        """Crash and start again, with nothing held or counted.

        :param name: of the new life, where it has another than the old one.
        """
        self.name = name or self.name
        self.born += 1000
        self.crashed = False
        self.layers = None
        self.sequence = 0
        self.fence = 0
        self.resume()

    def _write_layers(self) -> dict[str, int] | None:
        if self.layers is None:
            return None
        first, crash = self.layers
        return {'from': first, 'to': crash, 'version': 1}

    async def _report(self, request: web.Request) -> web.Response:
        if self.crashed:
            assert request.transport is not None
            request.transport.abort()
        self.reports += 1
        stalled = [
            {'id': identity, 'addr': address}
            for identity, address in self._stalled.items()
        ]
        return web.json_response(
            {
                'busy': False,
                'seq': self.sequence,
                'stalled': stalled,
                'layers': self._write_layers(),
                'born': self.born,
            }
        )

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        self.orders.append(order)
        if order['op'] == 'repath':
            self.resume()
            return web.json_response({}, status=202)
        if order.get('fencingToken', 0) < self.fence:
            return web.json_response({}, status=412)
        if order.get('expect', self.sequence) != self.sequence:
            return web.json_response({}, status=409)
        self.fence = order.get('fencingToken', 0)
        self.sequence += 1
        self.layers = (order['from'], order['to'])
        self.register()
        return web.json_response({}, status=202)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        transport = request.transport
        assert transport is not None
        if self.crashed:
            transport.abort()
            return web.Response()
        self._open.add(transport)
        try:
            return await self._answer(request)
        finally:
            self._open.discard(transport)

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        identity = request.headers.get('X-Ryelatch-Request-Id', '')
        expected = request.headers.get('X-Ryelatch-Expect-Replica', self.name)
        if expected != self.name:
            return web.Response(
                status=421,
                headers={
                    **self._name(identity),
                    'X-Ryelatch-Replica-Id': self.name,
                },
            )
        if self.accelerator and self.layers is None:
            return web.Response(
                status=421,
                headers={**self._name(identity), 'At-Server': self.address},
            )
        if self.refuse:
            self.refusals.append(_read_clock())
            return web.Response(
                status=self.refuse,
                headers={
                    **self._name(identity),
                    'X-Ryelatch-Not-Executed': '1',
                    'At-Server': self.address,
                },
            )
        run = Run(
            identity,
            request.headers.copy(),
            request.path_qs,
            await request.read(),
        )
        self.runs.append(run)
        try:
            return await self._run(request, run)
        except asyncio.CancelledError:
            run.cancelled = True
            raise

    async def _run(self, request: web.Request, run: Run) -> web.StreamResponse:
        if self.hang:
            await asyncio.Event().wait()
        if self.crash_on and run.body == self.crash_on:
            return await self._end_under(request, run)
        headers = self._sign('other' if self.other_identity else run.identity)
        if self.failures:
            self.failures -= 1
            return web.Response(status=500, headers=headers, body=b'no')
        if self.fail:
            return web.Response(status=self.fail, headers=headers, body=b'no')
        if self.unframed_part:
            return await self._tear_unframed(request, headers)
        if 'X-Ryelatch-Hop-Count' in run.headers:
            return await self._stream(request, run, headers)
        return web.Response(
            body=f'answer of {self.name}'.encode(), headers=headers
        )

    async def _end_under(
        self, request: web.Request, run: Run
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=self._sign(run.identity))
        if 'X-Ryelatch-Hop-Count' in run.headers:
            await response.prepare(request)
        await asyncio.sleep(self.pause)
        await self.crash()
        return response

    async def _tear_unframed(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        assert request.transport is not None
        lines = ''.join(f'{name}: {text}\r\n' for name, text in headers.items())
        request.transport.write(
            f'HTTP/1.1 200 OK\r\n{lines}\r\npart of'.encode()
        )
        await asyncio.sleep(0.05)
        sock = request.transport.get_extra_info('socket')
        # A linger of zero makes the close a reset.
        with contextlib.suppress(OSError):
            sock.setsockopt(1, 13, b'\x01\0\0\0\0\0\0\0')
        request.transport.abort()
        return web.Response()

    async def _stream(
        self,
        request: web.Request,
        run: Run,
        headers: dict[str, str],
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={**headers, 'Content-Type': 'text/event-stream'}
        )
        await response.prepare(request)
        last = int(run.headers.get('Last-Event-Id', '0'))
        for number in range(last + 1, self.events + 1):
            await self._wait_stalled(run, number)
            event = f'id: {number}\ndata: token {number}\n\n'.encode()
            if self.break_after and number > self.break_after:
                self.break_after = 0
                await response.write(event[:9])
                assert request.transport is not None
                request.transport.abort()
                return response
            await response.write(event)
            await asyncio.sleep(self.pause)
        await response.write_eof()
        return response

    async def _wait_stalled(self, run: Run, number: int) -> None:
        if self.stall_after and self.stalls and number > self.stall_after:
            self.stalls -= 1
            self._stalled[run.identity] = self.stalled_address
            await self._moved.wait()

    def _name(self, identity: str) -> dict[str, str]:
        return {'X-Ryelatch-Request-Id': identity, **self.extra_headers}

    def _sign(self, identity: str) -> dict[str, str]:
        signature = f'signed-{self.name}'
        return {
            **self._name(identity),
            'X-Ryelatch-Replica-Signature': signature,
        }
