"""A replica in a process of its own that is to be killed.

It writes what it receives to a file before it answers, so that the file tells
all of it, also after the process was killed. Many of its answers have neither a
length nor chunks and end with their connection.
"""

import argparse
import asyncio
import json
import os
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from aiohttp import web

from standins.replica import ReplicaStandIn, Run, make_event

PLAIN_PIECES = 6
"""Parts in which a plain body is sent, with a pause after each."""

FINISH_SECONDS = 20
"""Time that answers have after SIGTERM; the process ends with the last one."""

_FLUSH_SECONDS = 0.02
"""Time until what was written has left the process for sure."""

_PARENT_SECONDS = 1.0

_Write = Callable[[bytes], Awaitable[None]]


def make_plain_piece(name: str) -> bytes:
    """Make each of the parts of a plain answer of a replica."""
    return f'answer of {name};'.encode()


@dataclass(frozen=True)
class Record:
    """File with what a process did, one line each."""

    descriptor: int

    @classmethod
    def open(cls, path: Path) -> 'Record':
        """Open a file to add lines to it."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        return cls(os.open(path, flags))

    def write(self, kind: str, **fields: Any) -> None:
        """Write a line with the time, without a buffer."""
        now = asyncio.get_running_loop().time()
        line = json.dumps({'kind': kind, 'at': now, **fields})
        os.write(self.descriptor, f'{line}\n'.encode())


@dataclass(eq=False)
class KillableReplica(ReplicaStandIn):
    """A replica that can kill its own process amid an answer.

    :param record: receives what it does.
    :param random_source: decides how each answer is framed.
    :param unframed_ratio: share of answers with neither a length nor chunks.
    :param armed: whether it kills its process during its next answer.
    """

    record: Record = field(kw_only=True)
    random_source: random.Random = field(kw_only=True)
    unframed_ratio: float = 0.6
    armed: bool = False

    def arm(self) -> None:
        """Let the process be killed during its next answer."""
        self.armed = True
        self.record.write('armed')

    def announce_leaving(self) -> None:
        """Say in all answers from now on that it leaves."""
        self.extra_headers = {'Server-Leaving': '1'}

    def register(self, state: str = '') -> None:
        """Write down which layers it holds; the soak writes the entry."""
        self.record.write('held', layers=self.layers, sequence=self.sequence)

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        identity = request.headers.get('X-Ryelatch-Request-Id', '')
        self.record.write('arrival', identity=identity)
        return await super()._answer(request)

    async def _run(self, request: web.Request, run: Run) -> web.StreamResponse:
        number = len(self.runs)
        self.record.write(
            'run',
            number=number,
            identity=run.identity,
            headers=list(run.headers.items()),
            path=run.path,
            port=run.port,
        )
        try:
            return await self._send(request, run, number)
        finally:
            self.record.write('ended', number=number)

    async def _send(
        self, request: web.Request, run: Run, number: int
    ) -> web.StreamResponse:
        """Send an answer piece by piece, and be killed at one if armed."""
        pieces = self._list_pieces(run)
        death = -1
        if self.armed and pieces:
            self.armed = False
            death = self.random_source.randrange(len(pieces))
        unframed = death >= 0 or self.random_source.random() < (
            self.unframed_ratio
        )
        response = web.StreamResponse(
            headers=self._make_signed_headers(run.identity)
        )
        if 'X-Ryelatch-Hop-Count' not in run.headers:
            response.content_length = sum(map(len, pieces))
        write: _Write = response.write
        if unframed:
            write = self._begin_unframed(request, response)
        else:
            await response.prepare(request)
        for position, piece in enumerate(pieces):
            if position == death:
                await self._die(write, piece)
            await write(piece)
            if position == 0:
                self.record.write('event', number=number)
            await asyncio.sleep(self.pause)
        if unframed:
            assert request.transport is not None
            request.transport.close()
            return web.Response()
        await response.write_eof()
        return response

    def _begin_unframed(
        self, request: web.Request, response: web.StreamResponse
    ) -> _Write:
        """Send the head of an answer that ends with its connection."""
        transport = request.transport
        assert transport is not None
        lines = ''.join(
            f'{name}: {text}\r\n'
            for name, text in response.headers.items()
            if name.lower() != 'content-length'
        )
        transport.write(f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode())

        async def write(piece: bytes) -> None:
            transport.write(piece)

        return write

    def _list_pieces(self, run: Run) -> list[bytes]:
        if 'X-Ryelatch-Hop-Count' not in run.headers:
            return [make_plain_piece(self.name)] * PLAIN_PIECES
        last = int(run.headers.get('Last-Event-Id', '0'))
        return [
            make_event(number, numbered=self._is_numbered(run))
            for number in range(last + 1, self.events + 1)
        ]

    async def _die(self, write: _Write, piece: bytes) -> None:
        """Kill the process, before a piece or inside it."""
        if self.random_source.randrange(2):
            await write(piece[: len(piece) // 2])
        await asyncio.sleep(_FLUSH_SECONDS)
        self.record.write('killed')
        os.kill(os.getpid(), signal.SIGKILL)


async def serve(replica: KillableReplica, host: str, port: int) -> None:
    """Serve until SIGTERM, and then until the last answer has ended.

    SIGUSR1 arms the replica, SIGUSR2 makes it announce that it leaves.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, replica.arm)
    loop.add_signal_handler(signal.SIGUSR2, replica.announce_leaving)
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    runner = web.AppRunner(
        replica.make_app(),
        access_log=None,
        shutdown_timeout=FINISH_SECONDS,
        handler_cancellation=True,
    )
    await runner.setup()
    await web.TCPSite(runner, host, port, backlog=1024).start()
    bound = runner.addresses[0][1]
    replica.address = f'{host}:{bound}'
    print(f'READY {bound}', flush=True)
    ending = asyncio.create_task(_stop_with_parent(stop))
    await stop.wait()
    ending.cancel()
    await runner.cleanup()


async def _stop_with_parent(stop: asyncio.Event) -> None:
    """End with the soak, also when that was killed."""
    parent = os.getppid()
    while os.getppid() == parent:
        await asyncio.sleep(_PARENT_SECONDS)
    stop.set()


async def _run() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--host', required=True)
    parser.add_argument('--name', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--accelerator', default='')
    parser.add_argument('--layers', type=int, nargs=2)
    parser.add_argument('--born', type=int, required=True)
    parser.add_argument('--events', type=int, required=True)
    parser.add_argument('--pause', type=float, required=True)
    parser.add_argument('--load-seconds', type=float, default=0)
    parser.add_argument('--unnumbered-path', default='')
    parser.add_argument('--seed', required=True)
    parser.add_argument('--record', type=Path, required=True)
    options = parser.parse_args()
    replica = KillableReplica(
        options.name,
        options.service,
        accelerator=options.accelerator,
        layers=tuple(options.layers) if options.layers else None,
        events=options.events,
        pause=options.pause,
        unnumbered_path=options.unnumbered_path,
        load_seconds=options.load_seconds,
        started_at=options.born,
        record=Record.open(options.record),
        random_source=random.Random(options.seed),
    )
    await serve(replica, options.host, options.port)


if __name__ == '__main__':
    asyncio.run(_run())
