"""Runs processes of the deploy file before stand-ins, for the cases here.

The store is the project's own stand-in. The replicas are small servers whose
behaviour each case writes itself, so that all bytes can be recorded.
"""

import asyncio
import contextlib
import os
import random
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from aiohttp import web

from standins.objects import ObjectStore

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, UNABLE = 0, 1, 2
KEY = 'ward-1-key'
HOST = 'city.example'
LAYERS = 8

_SETTINGS = """
nodeName = "{name}"
role = "router"
machineClass = "edge"
serves = ["edge"]
ip = "{host}"
zone = "zone-a"
region = "region-a"
portRange = [7340, 7355]
seeds = []
bootstrap = true
[zones]
zone-a = "region-a"
[listen]
frontend = "{host}:8227"
readiness = "{host}:8220"
controlPlane = "{host}:8229"
[limits]
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
strictRevoke = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 200
stall_ms = 2000
fencingEnforced = true
[platform]
addr = "{store}"
form = "objects"
"""


class Record:
    """Writes down what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self._start = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        line = f'{time.monotonic() - self._start:8.3f}  {text}'
        self._file.write(line + '\n')
        self._file.flush()
        print(line, flush=True)


@dataclass
class Seen:
    """A request as it arrived at a replica, byte for byte."""

    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def find(self, name: str) -> bytes:
        """Return the last header with a name."""
        found = [text for key, text in self.headers if key == name.encode()]
        return found[-1] if found else b''


Answer = Callable[[Seen], Awaitable[None]]


async def read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Seen | None:
    """Read one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].split(b'\r\n')
    method, target, _ = first.split(b' ', 2)
    headers = []
    for line in lines:
        name, _, text = line.partition(b':')
        headers.append((name.strip().lower(), text.strip()))
    values = dict(headers)
    body = b''
    if b'content-length' in values:
        body = await reader.readexactly(int(values[b'content-length']))
    elif b'chunked' in values.get(b'transfer-encoding', b''):
        while size := int((await reader.readline()).strip() or b'0', 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    return Seen(method.decode(), target, headers, body, reader, writer)


def make_head(seen: Seen, name: str, *, length: int | None, **more: str) -> bytes:
    """Make the head of a signed answer; without a length it ends by itself."""
    lines = [
        b'HTTP/1.1 200 OK',
        b'X-Ryelatch-Request-Id: ' + seen.find('x-ryelatch-request-id'),
        b'X-Ryelatch-Replica-Signature: sig-' + name.encode(),
    ]
    lines += [f'{key}: {text}'.encode() for key, text in more.items()]
    if length is not None:
        lines.append(b'Content-Length: %d' % length)
    return b'\r\n'.join(lines) + b'\r\n\r\n'


async def serve_replica(
    name: str, host: str, answer: Answer, port: int = 0
) -> asyncio.Server:
    """Serve a replica: health, reports, 421 and requests by ``answer``."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while seen := await read_request(reader, writer):
                path = seen.target.decode('latin-1')
                expected = seen.find('x-ryelatch-expect-replica').decode()
                if expected not in {'', name}:
                    writer.write(
                        b'HTTP/1.1 421 Misdirected Request\r\n'
                        b'X-Ryelatch-Replica-Id: %b\r\n'
                        b'Content-Length: 0\r\n\r\n' % name.encode()
                    )
                elif path == '/healthz':
                    writer.write(
                        b'HTTP/1.1 200 OK\r\nX-Ryelatch-Replica-Id: %b\r\n'
                        b'Content-Length: 0\r\n\r\n' % name.encode()
                    )
                else:
                    await answer(seen)
                    if writer.is_closing():
                        return
        except ConnectionError:
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, host, port, backlog=1024)


def make_route(name: str, **changes: Any) -> dict[str, Any]:
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'routeKind': 'idempotent',
        'timeoutMs': 3000,
        'targetLatencyMs': 500,
        'priority': 1,
        'service': 'booking',
        'maxAttempts': 2,
        **changes,
    }


def make_configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    return {
        'version': version,
        'routes': [
            make_route('ping'),
            make_route('book', routeKind='non_idempotent', maxAttempts=1),
            make_route(
                'plan', routeKind='streaming', resumable=True, service='model',
                timeoutMs=20_000,
            ),
        ],
        'services': [
            {
                'name': 'model',
                'healthPath': '/healthz',
                'maxConns': 1068,
                'engine': {
                    'layers': LAYERS, 'layerMb': 1000, 'kvTokenBytes': 80_000,
                    'step_ms': 1, 'per_seq_ms': 0.01, 'read_per_s': 100_000,
                    'models': [{'name': 'm', 'loadS': 1}],
                    'usual': {'prompt': 100, 'answer': 20},
                    'kinds': [
                        {'name': 'big', 'sizeMb': 9000, 'pace': 1},
                        {'name': 'small', 'sizeMb': 5000, 'pace': 2},
                    ],
                },
            },
            {'name': 'booking', 'healthPath': '/healthz', 'maxConns': 110},
        ],
        'limits': {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 1_000_000,
            'headerTimeoutMs': 3000, 'idleTimeoutMs': 15_000,
        },
        'tenants': [{'name': 'ward-1', 'apiKeys': [KEY]}],
        **changes,
    }


@dataclass
class Node:
    name: str
    host: str
    settings: Path
    log: Path
    process: subprocess.Popen[bytes] | None = None


@dataclass
class World:
    folder: Path
    record: Record
    prefix: str
    store: ObjectStore = field(default_factory=ObjectStore)
    store_address: str = ''
    nodes: list[Node] = field(default_factory=list)
    servers: list[asyncio.Server] = field(default_factory=list)
    runner: web.AppRunner | None = None
    children: list[subprocess.Popen[bytes]] = field(default_factory=list)
    replicas: list[asyncio.subprocess.Process] = field(default_factory=list)

    async def start_store(self) -> None:
        self.runner = web.AppRunner(
            self.store.make_app(), access_log=None, shutdown_timeout=0.1,
            handler_cancellation=True,
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, f'{self.prefix}.250', 0).start()
        host, port = self.runner.addresses[0][:2]
        self.store_address = f'{host}:{port}'

    def start_node(self, number: int) -> Node:
        host = f'{self.prefix}.{10 + number}'
        name = f'edge-{number}'
        settings = self.folder / f'{name}.toml'
        settings.write_text(
            _SETTINGS.format(name=name, host=host, store=self.store_address)
        )
        node = Node(name, host, settings, self.folder / f'{name}.log')
        self.nodes.append(node)
        self.launch(node)
        return node

    def launch(self, node: Node) -> None:
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = shlex.split(deploy['roles']['router']['run'])
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'RYELATCH_NODE_FILE': str(node.settings),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        with node.log.open('ab') as output:
            node.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=output, stderr=output,
            )
        self.children.append(node.process)

    async def wait_ready(self, seconds: float = 30) -> None:
        try:
            async with asyncio.timeout(seconds):
                for node in self.nodes:
                    while await get_readiness(node) != 200:
                        await asyncio.sleep(0.1)
        except TimeoutError:
            for node in self.nodes:
                print(node.name, node.log.read_text()[-2000:])
            raise

    async def add_replica(
        self, name: str, service: str, answer: Answer, **changes: Any
    ) -> str:
        server = await serve_replica(name, f'{self.prefix}.200', answer)
        self.servers.append(server)
        host, port = server.sockets[0].getsockname()
        address = f'{host}:{port}'
        self.register(name, service, address, **changes)
        return address

    def register(
        self, name: str, service: str, address: str, **changes: Any
    ) -> None:
        entry = {
            'service': service, 'addr': address, 'zone': 'zone-a',
            'slots': 6, 'state': 'ready', 'seq': 1, 'version': 'v1',
            'coldRemainingMs': 0, **changes,
        }
        self.store.put('servers', name, entry)

    async def stop(self) -> None:
        for child in self.children:
            if child.poll() is None:
                with contextlib.suppress(OSError):
                    child.send_signal(signal.SIGCONT)
                    child.kill()
                child.wait()
        for replica in self.replicas:
            if replica.returncode is None:
                replica.kill()
            await replica.wait()
        for server in self.servers:
            server.close()
        if self.runner is not None:
            await self.runner.cleanup()

async def get_readiness(node: Node) -> int:
    try:
        reader, writer = await asyncio.open_connection(node.host, 8220)
        writer.write(b'GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n')
        line = await reader.readline()
        writer.close()
        return int(line.split()[1])
    except (OSError, IndexError, ValueError):
        return 0


@dataclass
class Reply:
    """What a client got: complete tells what its protocol told it."""

    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b''
    complete: bool = False
    closed: str = ''


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Read an answer as a client of HTTP/1.1 does."""
    reply = Reply()
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        first, *lines = head[:-4].split(b'\r\n')
        reply.status = int(first.split()[1])
        for line in lines:
            name, _, text = line.partition(b':')
            reply.headers[name.strip().lower()] = text.strip()
        if b'chunked' in reply.headers.get(b'transfer-encoding', b''):
            while size := int((await reader.readuntil(b'\r\n')).strip(), 16):
                reply.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b'\r\n')
        else:
            length = int(reply.headers.get(b'content-length', b'0'))
            reply.body = await reader.readexactly(length)
        reply.complete = True
    except asyncio.IncompleteReadError as error:
        reply.closed = 'closed'
        reply.body += error.partial
    except ConnectionError:
        reply.closed = 'reset'
    return reply


def make_request(
    identity: bytes | str, target: bytes | str, *, method: str = 'POST',
    body: bytes = b'', deadline_ms: int = 1500, key: str = KEY,
    **more: bytes | str,
) -> bytes:
    def encode(text: bytes | str) -> bytes:
        return text if isinstance(text, bytes) else text.encode()

    lines = [
        b'%b %b HTTP/1.1' % (method.encode(), encode(target)),
        b'Host: ' + HOST.encode(),
        b'X-Ryelatch-Request-Id: ' + encode(identity),
        b'X-Ryelatch-Deadline-Ms: %d' % deadline_ms,
        b'Api-Key: ' + key.encode(),
    ]
    lines += [
        name.replace('_', '-').encode() + b': ' + encode(text)
        for name, text in more.items()
    ]
    if body or method == 'POST':
        lines.append(b'Content-Length: %d' % len(body))
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


async def ask(node: Node, request: bytes, seconds: float = 10) -> Reply:
    """Send a request on a new connection, and read its answer."""
    try:
        reader, writer = await asyncio.open_connection(node.host, 8227)
    except OSError as error:
        return Reply(closed=type(error).__name__)
    try:
        writer.write(request)
        async with asyncio.timeout(seconds):
            return await read_reply(reader)
    except TimeoutError:
        return Reply(closed='time is over')
    finally:
        writer.close()


@contextlib.asynccontextmanager
async def open_world(case: Path) -> AsyncIterator[World]:
    source = random.SystemRandom()
    prefix = f'127.{source.randint(1, 250)}.{source.randint(1, 250)}'
    with tempfile.TemporaryDirectory() as folder:
        world = World(Path(folder), Record(case / 'record.txt'), prefix)
        try:
            await world.start_store()
            yield world
        finally:
            await world.stop()


def run_case(play: Callable[[World], Awaitable[int]], case: Path) -> None:
    """Play a case, and exit with its result."""

    async def run() -> int:
        try:
            async with asyncio.timeout(110), open_world(case) as world:
                result = await play(world)
                names = {HELD: 'HELD', BROKEN: 'BROKEN', UNABLE: 'UNABLE'}
                world.record.write(f'result: {names[result]}')
                return result
        except (TimeoutError, OSError) as error:
            print('the case could not run:', repr(error))
            traceback.print_exc()
            return UNABLE

    sys.exit(asyncio.run(run()))
