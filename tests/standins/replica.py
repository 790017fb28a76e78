"""Stand-in for a replica: requests, event streams, reports and commands."""

import argparse
import asyncio
import contextlib
import enum
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from multidict import CIMultiDict

from standins.objects import ObjectStore
from standins.server import serve

_LEAVING_CHECK_SECONDS = 0.02
_REGISTER_SECONDS = 0.3
"""Time from a new start to its entry in the registry."""

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def _read_clock() -> float:
    return asyncio.get_running_loop().time()


def make_event(number: int, *, numbered: bool = True) -> bytes:
    """Make an event of a stream, with its number as ID or without one."""
    identity = f'id: {number}\n' if numbered else ''
    return f'{identity}data: token {number}\n\n'.encode()


@dataclass
class Run:
    """A request that the replica received.

    Times are seconds of the event loop's clock.

    :param cancelled: whether the connection was closed before the answer.
    :param at: when it was received.
    :param port: of the connection's other end.
    :param fault: why the replica does not finish it; empty for a sound run.
    :param first_event: when its first event was sent; 0 if none was.
    :param ended: when it ended; infinity while it runs.
    """

    identity: str
    headers: CIMultiDict[str]
    path: str
    body: bytes
    cancelled: bool = False
    at: float = field(default_factory=_read_clock)
    port: int = 0
    fault: str = ''
    first_event: float = 0
    ended: float = math.inf


class Unframed(enum.Enum):
    """How an answer ends that has neither a length nor chunks."""

    WHOLE = 'whole'
    INSIDE = 'inside'
    """The connection is closed inside an event, or in the first line."""

    EMPTY = 'empty'
    """The connection is closed before anything of the body was sent."""

    RESET = 'reset'
    """The connection is reset after a complete event."""


class Sent(enum.Enum):
    """What a replica has sent of an answer."""

    NOTHING = 'nothing'
    PART = 'part'
    """A part of the head."""

    HEAD = 'head'
    EVENT = 'event'
    """The head and one event."""


@dataclass(frozen=True)
class Ending:
    """How a replica ends under a request that crashes it.

    :param sent: what it has sent before.
    :param after: seconds from the beginning of the request to the end.
    :param listens: seconds for which its address accepts connections after it.
    :param back: seconds after it until a new start listens at its address.
    :param resets: whether its connections are reset.
    """

    sent: Sent = Sent.HEAD
    after: float = 0.01
    listens: float = 0
    back: float = math.inf
    resets: bool = False


@dataclass(eq=False)
class ReplicaStandIn:
    """A replica with its state and its faults.

    :param accelerator: kind of its accelerator; empty for a non-model service.
    :param layers: loaded layers, as first and end.
    :param events: number of events of each stream.
    :param pause: seconds between events.
    :param break_after: number of the event after which the next stream is
        aborted, once.
    :param stall_after: number of the event after which a stream stalls until
        it is moved to another path.
    :param stalls: number of next streams that stall.
    :param stalled_address: address of the replica that the report then names as
        the cause.
    :param padding: bytes that are added to its plain answers.
    :param cuts_off: whether it resets the connection in the middle of them.
    :param unnumbered_path: prefix of the paths of streams whose events have no
        IDs.
    :param refuse: status of refusals, each with the "not run" header.
    :param fail: status with which it fails requests; 0 for none.
    :param failures: number of next requests that it fails with 500.
    :param hang: whether it accepts requests and never answers.
    :param other_identity: whether it answers with another request's id.
    :param unframed_part: whether it sends a partial answer without a length,
        and resets the connection.
    :param unframed: how its answers end that have no length; ``None`` for
        answers with one. After one that isn't whole, they are.
    :param crash_on: body of a request that crashes it.
    :param ending: how; ``None`` for after the head of a stream's answer, or
        before that of another one, while its address refuses connections.
    :param crash_on_part: hash of a part of the prompts that crash it likewise.
    :param crashed: whether it has crashed.
    :param crashed_at: when, in seconds of the event loop's clock.
    :param crashes: when it crashed, each time.
    :param standstills: the times at which it stood still, the last one until
        infinity while it does.
    :param extra_headers: additional headers of all its answers.
    :param refusals: times of its refusals, by the event loop's clock.
    :param reports: number of reports that nodes requested.
    :param health_checks: number of health checks that nodes requested.
    :param state: in its entry in the registry.
    :param started_at: start of its incarnation as reported, in milliseconds;
        0 if it reports none.
    :param arrivals: identities of the requests that it ran or refused as full.
    :param received: identities of all requests that it received, also of those
        that it refused, with the times.
    :param runs: requests that it received and didn't refuse.
    :param commands: commands that it received.
    :param sequence: number of commands that changed its layers.
    :param fence: fencing number of the last of them.
    :param stop_listening: makes its address refuse connections.
    :param listen_again: makes its address accept connections again.
    :param list_connections: lists the open connections to it.
    :param load_seconds: time that it takes to load layers.
    :param reading_seconds: time for which a stream stands still after a move,
        while its new path reads the tokens.
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
    padding: int = 0
    cuts_off: bool = False
    unnumbered_path: str = ''
    refuse: int = 0
    fail: int = 0
    failures: int = 0
    hang: bool = False
    other_identity: bool = False
    unframed_part: bool = False
    unframed: Unframed | None = None
    crash_on: bytes = b''
    ending: Ending | None = None
    crash_on_part: str = ''
    crashed: bool = False
    crashed_at: float = math.inf
    crashes: list[float] = field(default_factory=list)
    standstills: list[tuple[float, float]] = field(default_factory=list)
    extra_headers: dict[str, str] = field(default_factory=dict)
    refusals: list[float] = field(default_factory=list)
    reports: int = 0
    health_checks: int = 0
    address: str = ''
    state: str = 'ready'
    started_at: int = 0
    arrivals: list[str] = field(default_factory=list)
    received: list[tuple[str, float]] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    commands: list[dict[str, Any]] = field(default_factory=list)
    sequence: int = 0
    fence: int = 0
    store: ObjectStore | None = None
    _moved: asyncio.Event = field(default_factory=asyncio.Event)
    _stalled: dict[str, str] = field(default_factory=dict)
    stop_listening: Callable[[], Awaitable[None]] | None = None
    listen_again: Callable[[], Awaitable[None]] | None = None
    list_connections: Callable[[], list[RequestHandler]] | None = None
    load_seconds: float = 0
    reading_seconds: float = 0
    _reading_until: dict[str, float] = field(default_factory=dict)
    _loads: set['asyncio.Task[None]'] = field(default_factory=set)
    _released: asyncio.Event | None = None
    _splits: bool = False
    _transports: set[asyncio.Transport] = field(default_factory=set)
    _kept: set[asyncio.Transport] = field(default_factory=set)

    def register(self, state: str = '') -> None:
        """Write its entry in the registry.

        :param state: its new state; by default it stays in the last one.
        """
        assert self.store is not None
        self.state = state or self.state
        entry: dict[str, Any] = {
            'service': self.service,
            'addr': self.address,
            'zone': self.zone,
            'slots': 4,
            'state': self.state,
            'seq': 1,
            'version': 'v1',
            'coldRemainingMs': 0,
        }
        if self.started_at:
            entry['born'] = self.started_at
        if self.accelerator:
            entry['routeKind'] = self.accelerator
            entry['layers'] = self._encode_layers()
        self.store.put('servers', self.name, entry)

    @property
    def streams(self) -> int:
        """Number of requests that it is running."""
        return 0 if self.crashed else len(self._transports)

    async def leave(self, listens: float, stays: float) -> None:
        """Report leaving, finish all streams, and end.

        :param listens: seconds after which it accepts no connection any more
            and closes idle ones.
        :param stays: seconds after that for which it stays at least, as streams
            of other first replicas run through it.
        """
        self.register('draining')
        await asyncio.sleep(listens)
        assert self.stop_listening is not None
        assert self.list_connections is not None
        await self.stop_listening()
        for connection in self.list_connections():
            connection.close()
        await asyncio.sleep(stays)
        while self.streams:
            await asyncio.sleep(_LEAVING_CHECK_SECONDS)
        assert self.store is not None
        self.store.drop('servers', self.name)

    async def crash(self) -> None:
        """Crash like a process: stop listening and end all connections."""
        self.crashed = True
        self.crashed_at = _read_clock()
        self.crashes.append(self.crashed_at)
        assert self.stop_listening is not None
        ending = self.ending or Ending()
        if not ending.listens:
            await self.stop_listening()
        for transport in (*self._transports, *self._kept):
            if ending.resets:
                _reset(transport)
            else:
                transport.abort()
        self._kept.clear()
        if ending.listens:
            await asyncio.sleep(ending.listens)
            await self._close()
        if math.isfinite(ending.back):
            await asyncio.sleep(ending.back)
            await self._come_back()

    @property
    def is_still(self) -> bool:
        """Whether it stands still."""
        return self._released is not None

    def stand_still(self, *, splits: bool = False) -> None:
        """Stand still like a stopped process, which loses nothing.

        What arrives is accepted; nothing is answered before ``go_on``.

        :param splits: whether streams stop inside their next event.
        """
        if self.is_still:
            return
        self._released = asyncio.Event()
        self._splits = splits
        self.standstills.append((_read_clock(), math.inf))

    def go_on(self) -> None:
        """Go on with everything where it stopped."""
        if self._released is not None:
            self._released.set()
            self._released = None
            self.standstills[-1] = (self.standstills[-1][0], _read_clock())

    def resume(self) -> None:
        """Let stalled streams continue."""
        self._stalled.clear()
        self._moved.set()

    def make_app(self) -> web.Application:
        """Make the HTTP application of the replica."""
        app = web.Application(middlewares=[self._hold_answer])
        app.router.add_get('/report', self._report)
        app.router.add_post('/order', self._handle_command)
        app.router.add_get('/healthz', self._check_health)
        app.router.add_route('*', '/{path:.*}', self._serve)
        return app

    def restart(self, name: str = '') -> None:
        """Restart as a new incarnation without layers and counters.

        :param name: name of the new incarnation, if it differs.
        """
        self.name = name or self.name
        self.state = 'ready'
        self.started_at += 1000
        self.crashed = False
        self.layers = None
        self.sequence = 0
        self.fence = 0
        self.resume()

    async def _close(self) -> None:
        """Stop listening, and close the connections accepted until then."""
        assert self.stop_listening is not None
        assert self.list_connections is not None
        await self.stop_listening()
        for connection in self.list_connections():
            connection.force_close()
            if connection.transport is not None:
                connection.transport.abort()

    async def _come_back(self) -> None:
        """Start anew under the same entry, which is updated a little later."""
        assert self.listen_again is not None
        self.started_at += 1000
        self.crashed = False
        await self.listen_again()
        await asyncio.sleep(_REGISTER_SECONDS)
        self.register()

    async def _wait_released(self) -> None:
        while self._released is not None:
            await self._released.wait()

    @web.middleware
    async def _hold_answer(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        response = await handler(request)
        await self._wait_released()
        return response

    def _encode_layers(self) -> dict[str, int] | None:
        if self.layers is None:
            return None
        start, stop = self.layers
        return {'from': start, 'to': stop, 'version': 1}

    def _abort_if_crashed(self, request: web.Request) -> None:
        if self.crashed and request.transport is not None:
            request.transport.abort()

    async def _report(self, request: web.Request) -> web.Response:
        await self._wait_released()
        self._abort_if_crashed(request)
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
                'layers': self._encode_layers(),
                'born': self.started_at,
            }
        )

    async def _check_health(self, request: web.Request) -> web.Response:
        await self._wait_released()
        self._abort_if_crashed(request)
        self.health_checks += 1
        return web.Response(headers={'X-Ryelatch-Replica-Id': self.name})

    async def _handle_command(self, request: web.Request) -> web.Response:
        await self._wait_released()
        command = await request.json()
        self.commands.append(command)
        if command['op'] == 'repath':
            until = _read_clock() + self.reading_seconds
            self._reading_until[command['id']] = until
            self.resume()
            return web.json_response({}, status=202)
        if command.get('fencingToken', 0) < self.fence:
            return web.json_response({}, status=412)
        if command.get('expect', self.sequence) != self.sequence:
            return web.json_response({}, status=409)
        self.fence = command.get('fencingToken', 0)
        self.sequence += 1
        held = command['from'], command['to']
        if self.load_seconds:
            load = asyncio.create_task(self._load(held))
            self._loads.add(load)
            load.add_done_callback(self._loads.discard)
        else:
            self._hold(held)
        return web.json_response({}, status=202)

    async def _load(self, layers: tuple[int, int]) -> None:
        await asyncio.sleep(self.load_seconds)
        self._hold(layers)

    def _hold(self, layers: tuple[int, int]) -> None:
        self.layers = layers
        self.register()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        transport = request.transport
        assert transport is not None
        if self.crashed:
            transport.abort()
            return web.Response()
        self._transports.add(transport)
        try:
            return await self._answer(request)
        finally:
            self._transports.discard(transport)
            self._keep(transport)

    def _keep(self, transport: asyncio.Transport) -> None:
        """Remember a connection that may be used for another request."""
        self._kept = {kept for kept in self._kept if not kept.is_closing()}
        self._kept.add(transport)

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        identity = request.headers.get('X-Ryelatch-Request-Id', '')
        self.received.append((identity, _read_clock()))
        expected = request.headers.get('X-Ryelatch-Expect-Replica', self.name)
        if expected != self.name:
            return web.Response(
                status=421,
                headers={
                    **self._make_headers(identity),
                    'X-Ryelatch-Replica-Id': self.name,
                },
            )
        if self.accelerator and self.layers is None:
            return web.Response(
                status=421,
                headers={
                    **self._make_headers(identity),
                    'At-Server': self.address,
                },
            )
        self.arrivals.append(identity)
        if self.refuse:
            self.refusals.append(_read_clock())
            return web.Response(
                status=self.refuse,
                headers={
                    **self._make_headers(identity),
                    'X-Ryelatch-Not-Executed': '1',
                    'At-Server': self.address,
                },
            )
        run = Run(
            identity,
            request.headers.copy(),
            request.path_qs,
            await request.read(),
            port=_get_peer_port(request),
        )
        self.runs.append(run)
        try:
            return await self._run(request, run)
        except asyncio.CancelledError:
            run.cancelled = True
            raise
        finally:
            run.ended = _read_clock()

    async def _run(self, request: web.Request, run: Run) -> web.StreamResponse:
        await self._wait_released()
        if self.hang:
            run.fault = 'hung'
            await asyncio.Event().wait()
        if self._crashes_on(run):
            return await self._crash_during(request, run)
        run.fault = self._name_fault()
        headers = self._make_signed_headers(
            'other' if self.other_identity else run.identity
        )
        if self.failures:
            self.failures -= 1
            return web.Response(status=500, headers=headers, body=b'no')
        if self.fail:
            return web.Response(status=self.fail, headers=headers, body=b'no')
        if self.unframed_part:
            return await self._reset_unframed(request, headers)
        if self.unframed:
            return await self._answer_unframed(request, run, headers)
        if 'X-Ryelatch-Hop-Count' in run.headers:
            return await self._stream(request, run, headers)
        body = f'answer of {self.name}'.encode() + bytes(self.padding)
        if self.cuts_off:
            return await _cut_off(request, headers, body)
        return web.Response(body=body, headers=headers)

    def _name_fault(self) -> str:
        """Name the fault by which it spoils the next run, if any."""
        if self.failures or self.fail:
            return 'failed'
        if self.other_identity:
            return 'other identity'
        if self.unframed_part or self.unframed not in {None, Unframed.WHOLE}:
            return 'cut off without a length'
        return ''

    def _crashes_on(self, run: Run) -> bool:
        if self.crash_on and run.body == self.crash_on:
            return True
        parts = run.headers.get('X-Ryelatch-Prefix-Hash', '').split(',')
        hashes = {part.partition(':')[0] for part in parts}
        return bool(self.crash_on_part) and self.crash_on_part in hashes

    async def _crash_during(
        self, request: web.Request, run: Run
    ) -> web.StreamResponse:
        headers = self._make_signed_headers(run.identity)
        response = web.StreamResponse(headers=headers)
        if self.ending:
            await self._send_before_end(request, headers, self.ending.sent)
            await asyncio.sleep(self.ending.after)
            # The end of this connection must not cancel the crash.
            crash = asyncio.create_task(self.crash())
            self._loads.add(crash)
            crash.add_done_callback(self._loads.discard)
            await asyncio.Event().wait()
        streams = 'X-Ryelatch-Hop-Count' in run.headers
        if self.unframed:
            first = make_event(1) if streams else b'answer'
            assert request.transport is not None
            request.transport.write(_make_unframed_head(headers) + first)
        elif streams:
            await response.prepare(request)
        await asyncio.sleep(self.pause)
        await self.crash()
        return response

    async def _send_before_end(
        self, request: web.Request, headers: dict[str, str], sent: Sent
    ) -> None:
        assert request.transport is not None
        framing = {'Transfer-Encoding': 'chunked'}
        head = _make_unframed_head({**headers, **framing})
        event = make_event(1)
        chunk = b'%x\r\n%b\r\n' % (len(event), event)
        pieces = {
            Sent.NOTHING: b'',
            Sent.PART: head[: len(head) // 2],
            Sent.HEAD: head,
            Sent.EVENT: head + chunk,
        }
        request.transport.write(pieces[sent])

    async def _reset_unframed(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        assert request.transport is not None
        request.transport.writelines((_make_unframed_head(headers), b'part of'))
        await asyncio.sleep(0.05)
        _reset(request.transport)
        return web.Response()

    async def _answer_unframed(
        self, request: web.Request, run: Run, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Send an answer that ends with its connection."""
        transport = request.transport
        assert transport is not None
        ending = self.unframed
        self.unframed = Unframed.WHOLE
        transport.write(_make_unframed_head(headers))
        if ending is not Unframed.EMPTY:
            await self._write_unframed(transport, run, ending)
        if ending is Unframed.RESET:
            _reset(transport)
        else:
            transport.close()
        return web.Response()

    async def _write_unframed(
        self, transport: asyncio.Transport, run: Run, ending: Unframed | None
    ) -> None:
        pieces = self._make_pieces(run)
        if ending is not Unframed.WHOLE:
            pieces = pieces[:2]
        if ending is Unframed.INSIDE:
            pieces[-1] = pieces[-1][:-1]
        for number, piece in enumerate(pieces, start=1):
            await self._stall_if_set(run, number)
            await self._wait_released()
            transport.write(piece)
            run.first_event = run.first_event or _read_clock()
            await asyncio.sleep(self.pause)

    def _make_pieces(self, run: Run) -> list[bytes]:
        """Make the events of a stream, or the bytes of a plain body."""
        if 'X-Ryelatch-Hop-Count' in run.headers:
            last = int(run.headers.get('Last-Event-Id', '0'))
            return [
                make_event(number, numbered=self._is_numbered(run))
                for number in range(last + 1, self.events + 1)
            ]
        body = f'answer of {self.name}'.encode()
        return [body[:1], body[1:]]

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
            await self._stall_if_set(run, number)
            await self._read_after_move(run)
            event = make_event(number, numbered=self._is_numbered(run))
            if self.break_after and number > self.break_after:
                self.break_after = 0
                run.fault = 'broken off'
                await response.write(event[:9])
                assert request.transport is not None
                request.transport.abort()
                return response
            await self._write_event(response, event)
            run.first_event = run.first_event or _read_clock()
            await asyncio.sleep(self.pause)
        await self._wait_released()
        await response.write_eof()
        return response

    def _is_numbered(self, run: Run) -> bool:
        prefix = self.unnumbered_path
        return not (prefix and run.path.startswith(prefix))

    async def _write_event(
        self, response: web.StreamResponse, event: bytes
    ) -> None:
        if self.is_still and self._splits:
            middle = len(event) // 2
            await response.write(event[:middle])
            event = event[middle:]
        await self._wait_released()
        await response.write(event)

    async def _stall_if_set(self, run: Run, number: int) -> None:
        if self.stall_after and self.stalls and number > self.stall_after:
            self.stalls -= 1
            run.fault = 'stalled'
            self._stalled[run.identity] = self.stalled_address
            await self._moved.wait()

    async def _read_after_move(self, run: Run) -> None:
        until = self._reading_until.pop(run.identity, 0)
        await asyncio.sleep(max(0, until - _read_clock()))

    def _make_headers(self, identity: str) -> dict[str, str]:
        return {'X-Ryelatch-Request-Id': identity, **self.extra_headers}

    def _make_signed_headers(self, identity: str) -> dict[str, str]:
        signature = f'signed-{self.name}'
        return {
            **self._make_headers(identity),
            'X-Ryelatch-Replica-Signature': signature,
        }


async def _cut_off(
    request: web.Request, headers: dict[str, str], body: bytes
) -> web.StreamResponse:
    """Send half of an answer, and reset the connection."""
    response = web.StreamResponse(headers=headers)
    response.content_length = len(body)
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    assert request.transport is not None
    request.transport.abort()
    return response


def _get_peer_port(request: web.Request) -> int:
    assert request.transport is not None
    peer = request.transport.get_extra_info('peername')
    return int(peer[1]) if peer else 0


def _make_unframed_head(headers: dict[str, str]) -> bytes:
    lines = ''.join(f'{name}: {text}\r\n' for name, text in headers.items())
    return f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode()


def _reset(transport: asyncio.Transport) -> None:
    """Close a connection with SO_LINGER of zero, which sends a reset."""
    sock = transport.get_extra_info('socket')
    with contextlib.suppress(OSError):
        sock.setsockopt(1, 13, b'\x01\0\0\0\0\0\0\0')
    transport.abort()


def main() -> None:
    """Run a replica in a process of its own; the caller registers it."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--name', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--accelerator', default='')
    parser.add_argument('--layers', type=int, nargs=2)
    parser.add_argument('--events', type=int, default=5)
    parser.add_argument('--pause', type=float, default=0.01)
    parser.add_argument('--unframed', action='store_true')
    parser.add_argument('--stall-after', type=int, default=0)
    parser.add_argument('--stalls', type=int, default=1)
    options = parser.parse_args()
    replica = ReplicaStandIn(
        options.name,
        options.service,
        accelerator=options.accelerator,
        layers=tuple(options.layers) if options.layers else None,
        events=options.events,
        pause=options.pause,
        unframed=Unframed.WHOLE if options.unframed else None,
        stall_after=options.stall_after,
        stalls=options.stalls,
    )
    asyncio.run(serve(replica.make_app(), options.port))


if __name__ == '__main__':
    main()
