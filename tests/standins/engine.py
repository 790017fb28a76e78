"""Stand-in for a model engine that has a range of layers loaded."""

import argparse
import asyncio
import contextlib
import heapq
import itertools
import uuid
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import msgspec
from aiohttp import WSMsgType, web

from ryelatch_core.pipeline import (
    Cancel,
    Frame,
    Hello,
    Ping,
    Pong,
    Receipt,
    Refusal,
    Step,
    decode_frames,
    encode_frames,
)
from standins import model
from standins.server import make_app, serve

WORD_BYTES = 8
_MAX_KEPT_RECEIPTS = 64
_MAX_BATCH_POSITIONS = 512
_GATHER_RATIO = 0.1
_MAX_LEDGER_ENTRIES = 2_000_000


@dataclass
class Stream:
    """KV cache of a stream, and recent receipts for repeated steps.

    :param caches: one value for each loaded layer.
    :param length: number of positions in the cache.
    :param receipts: by position of their step.
    """

    attempt: int
    caches: list[int]
    length: int = 0
    receipts: dict[int, Receipt] = field(default_factory=dict)


@dataclass(eq=False)
class Connection:
    """Connection of a node.

    :param silent: whether frames are dropped in both directions.
    """

    socket: web.WebSocketResponse
    outbox: list[Frame] = field(default_factory=list)
    silent: bool = False


class Engine:
    """Runs steps in batches, and records each in a ledger."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.hello = Hello(
            options.name,
            uuid.uuid4().hex,
            options.model,
            options.version,
            options.first,
            options.last,
            options.kind,
            _MAX_BATCH_POSITIONS / (options.step_ms / 1000),
        )
        self.connections: set[Connection] = set()
        self.streams: dict[str, Stream] = {}
        self.ledger: deque[tuple[str, int, int, int, int, int]] = deque(
            maxlen=_MAX_LEDGER_ENTRIES
        )
        self.cancelled: dict[str, int] = {}
        self.commands: list[dict[str, Any]] = []
        self.faults: dict[str, Any] = {}
        self.last_receipts: list[tuple[Connection, Receipt]] = []
        self._queue: list[tuple[int, int, Step, Connection]] = []
        self._numbers = itertools.count()
        self._work_available = asyncio.Event()

    def update_hello(self, **fields: Any) -> None:
        """Change fields of the engine's ``Hello``, and send it to all nodes."""
        self.hello = msgspec.structs.replace(self.hello, **fields)
        for connection in self.connections:
            connection.outbox.append(self.hello)
        self._work_available.set()

    def enqueue(self, step: Step, connection: Connection) -> None:
        """Queue a step, in the order of priority and arrival."""
        entry = (-step.priority, next(self._numbers), step, connection)
        heapq.heappush(self._queue, entry)
        self._work_available.set()

    async def run(self) -> None:
        """Run one batch per step time while steps are queued."""
        while True:
            await self._work_available.wait()
            self._work_available.clear()
            if self._queue:
                # Streams whose receipts were just sent return with their next
                # steps a moment later. A batch started at once would miss
                # them, and split the streams into alternating groups.
                await asyncio.sleep(self.options.step_ms / 1000 * _GATHER_RATIO)
            positions = 0
            batch: list[tuple[Step, Connection]] = []
            while self._queue and positions < _MAX_BATCH_POSITIONS:
                _, _, step, connection = heapq.heappop(self._queue)
                batch.append((step, connection))
                positions += step.count
            if batch:
                remaining_ratio = 1 - _GATHER_RATIO
                await asyncio.sleep(
                    self.options.step_ms / 1000 * remaining_ratio
                    + positions * self.options.position_us / 1e6
                )
            for step, connection in batch:
                self._send_result(step, connection)
            if self._queue:
                self._work_available.set()
            await asyncio.gather(
                *(self._flush(connection) for connection in self.connections)
            )

    def handle_frame(self, frame: Frame, connection: Connection) -> None:
        """Handle a frame from a node."""
        match frame:
            case Step():
                self.enqueue(frame, connection)
            case Ping():
                waiting = sum(entry[2].count for entry in self._queue)
                connection.outbox.append(Pong(frame.number, waiting))
                self._work_available.set()
            case Cancel():
                self.cancelled[frame.stream] = frame.attempt
                stream = self.streams.get(frame.stream)
                if stream and stream.attempt <= frame.attempt:
                    del self.streams[frame.stream]

    def _send_result(self, step: Step, connection: Connection) -> None:
        result = self._run_step(step)
        if isinstance(result, Receipt):
            if self.faults.get('lose', 0) > 0:
                self.faults['lose'] -= 1
                return
            if self.faults.get('stale') and self.last_receipts:
                connection.outbox.append(self.last_receipts[-1][1])
            if self.faults.get('double'):
                connection.outbox.append(result)
            if self.faults.get('lie'):
                result = msgspec.structs.replace(result, last=result.last + 1)
            self.last_receipts = [(connection, result)]
        connection.outbox.append(result)

    def _refuse(self, step: Step, reason: str) -> Refusal:
        return Refusal(step.stream, step.attempt, step.position, reason)

    def _run_step(self, step: Step) -> Receipt | Refusal:
        hello = self.hello
        if (step.first, step.last) != (hello.first, hello.last):
            return self._refuse(step, 'layers')
        if step.version != hello.version:
            return self._refuse(step, 'version')
        if self.cancelled.get(step.stream, 0) >= step.attempt:
            return self._refuse(step, 'cancelled')
        stream = self.streams.get(step.stream)
        if stream is None or stream.attempt < step.attempt:
            caches = [0] * (hello.last - hello.first)
            stream = Stream(step.attempt, caches)
            self.streams[step.stream] = stream
        if stream.attempt > step.attempt:
            return self._refuse(step, 'old-attempt')
        if step.position in stream.receipts:
            return stream.receipts[step.position]
        if step.position != stream.length:
            return self._refuse(step, 'gap')
        receipt = self._compute(stream, step)
        stream.receipts[step.position] = receipt
        if len(stream.receipts) > _MAX_KEPT_RECEIPTS:
            stream.receipts.pop(next(iter(stream.receipts)))
        return receipt

    def _compute(self, stream: Stream, step: Step) -> Receipt:
        hello = self.hello
        size = max(WORD_BYTES, self.options.activation_bytes)
        activations = (
            [model.embed(token) for token in step.tokens]
            if hello.first == 0
            else [
                int.from_bytes(step.payload[start : start + WORD_BYTES], 'big')
                for start in range(0, len(step.payload), size)
            ]
        )
        outputs = [self._run_position(stream, entry) for entry in activations]
        stream.length += step.count
        self.ledger.append(
            (
                step.stream,
                step.attempt,
                step.position,
                step.count,
                hello.first,
                hello.last,
            )
        )
        is_last = hello.last == self.options.layers
        return Receipt(
            step.stream,
            step.attempt,
            step.position,
            step.count,
            hello.first,
            hello.last,
            hello.version,
            (model.sample(outputs[-1]),) if is_last and step.sample else (),
            b''
            if is_last
            else b''.join(
                output.to_bytes(WORD_BYTES, 'big').ljust(size, b'\0')
                for output in outputs
            ),
        )

    def _run_position(self, stream: Stream, activation: int) -> int:
        for index, layer in enumerate(range(self.hello.first, self.hello.last)):
            stream.caches[index], activation = model.run_layer(
                layer, stream.caches[index], activation
            )
        return activation

    async def _flush(self, connection: Connection) -> None:
        frames, connection.outbox = connection.outbox, []
        if frames and not connection.silent:
            with contextlib.suppress(ConnectionError):
                await connection.socket.send_bytes(encode_frames(frames))


ENGINE = web.AppKey('engine', Engine)


async def open_steps(request: web.Request) -> web.WebSocketResponse:
    """Serve the WebSocket connection of a node."""
    engine = request.app[ENGINE]
    socket = web.WebSocketResponse(max_msg_size=64 * 2**20, compress=False)
    await socket.prepare(request)
    await socket.send_bytes(encode_frames([engine.hello]))
    connection = Connection(socket)
    engine.connections.add(connection)
    try:
        async for message in socket:
            if message.type is WSMsgType.BINARY and not connection.silent:
                for frame in decode_frames(message.data):
                    engine.handle_frame(frame, connection)
    finally:
        engine.connections.discard(connection)
    return socket


async def handle_command(request: web.Request) -> web.Response:
    """Handle a command to load other layers or another version."""
    engine = request.app[ENGINE]
    command = await request.json()
    fence = command.pop('fence')
    if engine.options.fencing and fence < engine.hello.fence:
        return web.json_response({'error': 'old fence'}, status=409)
    engine.commands.append({'fence': fence, **command})
    await asyncio.sleep(engine.options.load_ms / 1000)
    engine.streams.clear()
    engine.update_hello(fence=max(fence, engine.hello.fence), **command)
    return web.json_response({'fence': engine.hello.fence})


async def show_ledger(request: web.Request) -> web.Response:
    """Serve the ledger, the open streams and the received commands."""
    engine = request.app[ENGINE]
    return web.json_response(
        {
            'ledger': list(engine.ledger),
            'streams': sorted(engine.streams),
            'orders': engine.commands,
        }
    )


async def set_faults(request: web.Request) -> web.Response:
    """Set faults, step and load times, or fields of the engine's ``Hello``."""
    engine = request.app[ENGINE]
    changes = await request.json()
    engine.faults = changes.pop('faults', engine.faults)
    for name in ('step_ms', 'load_ms'):
        if name in changes:
            setattr(engine.options, name, changes.pop(name))
    if changes:
        engine.update_hello(**changes)
    return web.json_response({})


async def complete_directly(request: web.Request) -> web.StreamResponse:
    """Stream a completion without a router, as a baseline of its speed."""
    engine = request.app[ENGINE]
    wanted = await request.json()
    response = web.StreamResponse()
    response.content_type = 'text/event-stream'
    await response.prepare(request)
    for _ in range(wanted['max_tokens']):
        # In two parts as in ``run``, since each sleep adds its timer error.
        for ratio in (_GATHER_RATIO, 1 - _GATHER_RATIO):
            await asyncio.sleep(engine.options.step_ms / 1000 * ratio)
        await response.write(b'data: {"choices":[{"text":"x"}]}\n\n')
    await response.write(b'data: [DONE]\n\n')
    return response


def parse_options() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--name', required=True)
    parser.add_argument('--model', required=True)
    parser.add_argument('--version', default='1')
    parser.add_argument('--layers', type=int, required=True)
    parser.add_argument('--first', type=int, required=True)
    parser.add_argument('--last', type=int, required=True)
    parser.add_argument('--kind', default='gpu-a')
    parser.add_argument('--step-ms', type=float, default=2)
    parser.add_argument('--position-us', type=float, default=0)
    parser.add_argument('--load-ms', type=float, default=50)
    parser.add_argument('--activation-bytes', type=int, default=WORD_BYTES)
    parser.add_argument('--fencing', action='store_true')
    return parser.parse_args()


def main() -> None:
    """Run the stand-in."""
    options = parse_options()
    asyncio.run(_serve(options))


async def _serve(options: argparse.Namespace) -> None:
    engine = Engine(options)
    app = make_app()
    app[ENGINE] = engine
    app['on_silence'].append(lambda: _silence(engine))
    app.add_routes(
        [
            web.get('/v1/steps', open_steps),
            web.post('/v1/orders', handle_command),
            web.post('/v1/completions', complete_directly),
            web.get('/control/ledger', show_ledger),
            web.put('/control/state', set_faults),
        ]
    )
    running = asyncio.create_task(engine.run())
    await serve(app, options.port)
    running.cancel()


def _silence(engine: Engine) -> None:
    for connection in engine.connections:
        connection.silent = True


if __name__ == '__main__':
    main()
