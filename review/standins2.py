"""Stand-ins for the store and replicas, and the processes of nodes.

Only the standard library is used. Everything listens on loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TENANT = 'tenant-a'
KEY = 'n2ctnfzs989anu6wsjnb'
HOST = 'ficu95.example'
MODEL = 'huvo11a'
PLAIN = 'wuno96b'
LAYERS = 80


class Record:
    """Writes lines with times to the record file."""

    def __init__(self, path):
        self.file = open(path, 'w')
        self.start = time.monotonic()

    def __call__(self, *words):
        text = f'{time.monotonic() - self.start:8.3f} ' + ' '.join(map(str, words))
        self.file.write(text + '\n')
        self.file.flush()


class Head:
    """The head of a request or an answer."""

    def __init__(self, first, headers):
        self.first = first
        self.headers = headers

    def get(self, name, default=''):
        return next((v for n, v in self.headers if n.lower() == name.lower()), default)


async def read_head(reader):
    raw = await reader.readuntil(b'\r\n\r\n')
    lines = raw[:-4].decode('latin-1').split('\r\n')
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers.append((name.strip(), value.strip()))
    return Head(lines[0], headers)


async def read_body(reader, head):
    if 'chunked' in head.get('transfer-encoding').lower():
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            if not size:
                while (await reader.readline()).strip():
                    pass
                return b''.join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    return await reader.readexactly(int(head.get('content-length', '0') or 0))


def render(status, headers=(), body=b''):
    lines = [f'HTTP/1.1 {status} X', *(f'{n}: {v}' for n, v in headers)]
    if not any(n.lower() in ('content-length', 'transfer-encoding') for n, _ in headers):
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


class Store:
    """The platform's store: objects, lists, watches and conditional writes."""

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.era = 1
        self.address = ''

    async def start(self):
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.address = '127.0.0.1:%d' % server.sockets[0].getsockname()[1]
        self.server = server

    def put(self, kind, name, spec):
        self.revision += 1
        old = self.objects.setdefault(kind, {}).get(name)
        made = old['metadata']['created'] if old else self.revision
        entry = {
            'metadata': {'name': name, 'revision': self.revision, 'created': made,
                         'finalizers': [], 'deletionPending': False},
            'spec': spec, 'status': None,
        }
        self.objects[kind][name] = entry
        self._note(kind, entry, False)
        return entry

    def drop(self, kind, name):
        entry = self.objects.get(kind, {}).pop(name, None)
        if entry is not None:
            self.revision += 1
            self._note(kind, entry, True)
        return entry

    def _note(self, kind, entry, deleted):
        self.history.append((self.revision, kind, {'object': entry, 'deleted': deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        with contextlib.suppress(Exception, asyncio.CancelledError):
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                status, answer = await self.handle(head, body)
                await asyncio.sleep(0.004)
                writer.write(render(status, [('Content-Type', 'application/json'),
                                             ('Store-Era', self.era)],
                                    json.dumps(answer).encode()))
                await writer.drain()
        writer.close()

    async def handle(self, head, body):
        method, target, _ = head.first.split(' ')
        url = urlsplit(target)
        query = {n: v[0] for n, v in parse_qs(url.query).items()}
        parts = [unquote(p) for p in url.path.split('/')[2:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ''
        if method == 'GET' and not name and 'watch' in query:
            return await self.watch(kind, int(query['watch']), int(query.get('waitMs', 0)) / 1000)
        known = self.objects.get(kind, {})
        if method == 'GET' and not name:
            names = sorted(n for n in known if n > query.get('after', ''))
            return 200, {'entries': [known[n] for n in names[:500]], 'hasMore': len(names) > 500,
                         'at': self.revision}
        if method == 'GET':
            return (200, known[name]) if name in known else (404, {})
        sent = json.loads(body) if body else {}
        wanted = sent.get('metadata', {}).get('revision', query.get('revision'))
        if method == 'POST':
            name = sent['metadata']['name']
            if name in known:
                return 409, known[name]
            return 200, self.put(kind, name, sent.get('spec'))
        if name not in known:
            return 404, {}
        if wanted is not None and int(wanted) != known[name]['metadata']['revision']:
            return 409, known[name]
        if method == 'DELETE':
            return 200, self.drop(kind, name)
        if sent.get('spec') == known[name]['spec']:
            return 200, known[name]
        return 200, self.put(kind, name, sent.get('spec'))

    async def watch(self, kind, since, wait):
        until = time.monotonic() + wait
        while True:
            changed = self.changed
            events = [e for r, k, e in self.history if r > since and k == kind]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'at': self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left)


def make_config(version=7, **more):
    """Make a configuration like that of a small deployment."""
    delays = [{'from': 'midrand-hall', 'to': 'germiston-hall', 'delay_ms': 0.5}]
    engine = {
        'slots': 96, 'kvCapacity': 50000, 'kvTokenBytes': 1180000, 'linkMbps': 400000.0,
        'stride': 4, 'models': [{'name': 'daka510000', 'pace': 1.0, 'loadS': 14.0, 'warmupS': 1.0}],
        'step_ms': 1.02, 'per_seq_ms': 0.00918, 'context_per_k': 0.0123, 'read_per_s': 164000.0,
        'pairs_per_m': 0.199, 'chunk': 512, 'report_lag_ms': 200.0, 'loadRateS': 0.0,
        'loads_at_once': 6, 'delays': delays, 'usual': {'prompt': 775, 'answer': 216},
        'layers': LAYERS, 'layerMb': 1750.0, 'activationBytes': 59000, 'pipeMbps': 13000.0,
        'kinds': [{'name': 'a100', 'sizeMb': 72000.0, 'pace': 2.4, 'readFactor': 3.2},
                  {'name': 'v100', 'sizeMb': 14400.0, 'pace': 5.3, 'readFactor': 7.9},
                  {'name': 'l4', 'sizeMb': 21600.0, 'pace': 16.0, 'readFactor': 8.2}],
    }

    def stream(name, **fields):
        return {'name': f'r-{name}', 'host': HOST, 'pathPrefix': f'/{name}/', 'routeKind': 'streaming',
                'timeoutMs': 20000, 'targetLatencyMs': 500, 'priority': 1, 'service': MODEL,
                'maxAttempts': 2, 'anonymous': False, 'sticky': True, 'resumable': True,
                'targetGapMs': 250, **fields}

    def plain(name, kind, **fields):
        return {'name': f'r-{name}', 'host': HOST, 'pathPrefix': f'/{name}/', 'routeKind': kind,
                'timeoutMs': 1500, 'targetLatencyMs': 400, 'priority': 2, 'service': PLAIN,
                'maxAttempts': 2 if kind == 'idempotent' else 1, 'anonymous': False, **fields}

    return {
        'version': version,
        'routes': [stream('plan'), stream('once', resumable=False, maxAttempts=1),
                   plain('book', 'non_idempotent'), plain('look', 'idempotent')],
        'services': [
            {'name': MODEL, 'healthPath': '/healthz', 'maxConns': 1068, 'protocol': 'h1', 'tls': False,
             'engine': engine},
            {'name': PLAIN, 'healthPath': '/healthz', 'maxConns': 110, 'protocol': 'h1', 'tls': False},
        ],
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304, 'headerTimeoutMs': 3000,
                   'idleTimeoutMs': 15000},
        'tenants': [{'name': TENANT, 'apiKeys': [KEY], 'priority': 1}],
        **more,
    }


class Replica:
    """A replica; ``answer`` writes its answers."""

    count = 0

    def __init__(self, store, record, service, answer, layers=None, host='127.0.0.1', zone='midrand-hall'):
        Replica.count += 1
        self.id = f'i-{Replica.count:04d}{random.randrange(16**4):04x}'
        self.store, self.record, self.service, self.answer = store, record, service, answer
        self.layers, self.zone, self.host = layers, zone, host
        self.state = 'ready'
        self.runs = []
        self.active = 0
        self.seq = 0
        self.writers = set()
        self.tasks = set()
        self.listening = False
        self.ended = False

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.host, port, limit=2**20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f'{self.host}:{self.port}'
        self.register()
        return self

    def register(self, state=''):
        self.state = state or self.state
        entry = {'service': self.service, 'addr': self.address, 'zone': self.zone, 'version': 'v1',
                 'slots': 96 if self.layers else 6, 'state': self.state, 'coldRemainingMs': 0, 'seq': 1}
        if self.layers:
            first, end = self.layers
            entry |= {'routeKind': 'a100', 'phase': 'colocated', 'kind': 'a100',
                      'models': [{'name': 'daka510000', 'version': 1, 'adapters': []}],
                      'layers': {'from': first, 'to': end, 'version': 1}}
        self.store.put('servers', self.id, entry)

    def unregister(self):
        self.store.drop('servers', self.id)

    def end(self, reset=False):
        """End like a process: its sockets are closed."""
        self.ended = True
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            if reset:
                with contextlib.suppress(Exception):
                    writer.get_extra_info('socket').setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0')
                writer.transport.abort()
            else:
                writer.close()

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while not self.ended:
                head = await read_head(reader)
                body = await read_body(reader, head)
                if not await self.handle(head, body, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, asyncio.LimitOverrunError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def handle(self, head, body, reader, writer):
        method, target, _ = head.first.split(' ')
        if target == '/report':
            writer.write(render(200, [('Content-Type', 'application/json')], json.dumps(self.report()).encode()))
            return True
        expected = head.get('x-ryelatch-expect-replica')
        if expected and expected != self.id:
            writer.write(render(421, [('X-Ryelatch-Replica-Id', self.id), ('X-Ryelatch-Not-Executed', 1)]))
            return True
        if target == '/healthz':
            healthy = self.state == 'ready'
            writer.write(render(200 if healthy else 503, [('X-Ryelatch-Replica-Id', self.id)]))
            return True
        if target == '/order':
            return self.order(json.loads(body), writer)
        identity = head.get('x-ryelatch-request-id')
        self.record(f'replica {self.id} gets {head.first} id={identity}')
        self.runs.append((identity, head, body, time.monotonic()))
        self.active += 1
        try:
            return await self.answer(self, head, body, reader, writer)
        finally:
            self.active -= 1

    def order(self, order, writer):
        self.record(f'replica {self.id} gets order {order}')
        if order.get('op') == 'place' and self.layers:
            wanted = (order['from'], order['to'])
            if wanted == self.layers:
                writer.write(render(200))
            elif order.get('expect', self.seq) != self.seq:
                writer.write(render(409))
            else:
                self.seq += 1
                self.layers = wanted
                writer.write(render(202))
                self.register()
        elif order.get('op') == 'repath':
            writer.write(render(404))
        else:
            writer.write(render(400))
        return True

    def report(self):
        made = {'phase': 'colocated', 'models': [], 'busy': False, 'seq': self.seq, 'queued': 0,
                'active': self.active, 'kvUsed': 0, 'kvTotal': 100000, 'handles': 0, 'stalled': [], 'pace': 1.0}
        if self.layers:
            made |= {'models': [{'name': 'daka510000', 'version': 1, 'adapters': []}], 'kind': 'a100',
                     'layers': {'from': self.layers[0], 'to': self.layers[1], 'version': 1}}
        return made


def sign(head, extra=()):
    return [('X-Ryelatch-Request-Id', head.get('x-ryelatch-request-id')),
            ('X-Ryelatch-Replica-Signature', '3e1b.07.5a2.600.0.c9f2a4d1'), *extra]


def make_event(number):
    return f'id: {number}\ndata: token {number}\n\n'.encode()


class Node:
    """A node of the system, started with the command of the deploy file."""

    def __init__(self, name, folder, store, index=1, memory=300, files=4100, zone='midrand-hall', **bounds):
        self.name, self.folder, self.store = name, Path(folder), store
        net = random.SystemRandom()
        self.ip = f'127.{net.randint(10, 250)}.{net.randint(0, 250)}.{index}'
        self.front = (self.ip, 8227)
        self.memory, self.files, self.zone = memory, files, zone
        self.bounds = {'drainMs': 2000, 'graceS': 8, 'revokeMs': 5000, 'contactMs': 3000,
                       'configApplyMs': 2000, 'retryBudgetRatio': 0.2, 'retryBudgetExtra': 200, **bounds}
        self.process = None

    async def start(self):
        text = f'''nodeName = "{self.name}"
role = "router"
machineClass = "edge"
serves = ["edge"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "gauteng"
portRange = [7340,7355]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[zones]
midrand-hall = "gauteng"
germiston-hall = "gauteng"
centurion-hall = "gauteng"
[listen]
frontend = "{self.ip}:8227"
readiness = "{self.ip}:8220"
controlPlane = "{self.ip}:8229"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = {self.memory}
maxFds = {self.files}
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = {self.bounds['contactMs']}
ackMs = 4000
catchUpS = 4
drainMs = {self.bounds['drainMs']}
graceS = {self.bounds['graceS']}
lossSlackMs = 200
configApplyMs = {self.bounds['configApplyMs']}
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = true
revokeMs = {self.bounds['revokeMs']}
retryBudgetRatio = {self.bounds['retryBudgetRatio']}
budgetWindowS = 10
retryBudgetExtra = {self.bounds['retryBudgetExtra']}
recoveryS = 12
eventDelayMs = 120
retryAfterS = 0
stall_ms = 2000
fencingEnforced = true
[platform]
addr = "{self.store.address}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
'''
        self.settings = self.folder / f'{self.name}.toml'
        self.settings.write_text(text)
        await self.launch()

    async def launch(self):
        run = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles']['router']['run'].split()
        keep = {k: os.environ[k] for k in ('PATH', 'HOME', 'LANG') if k in os.environ}
        self.log = open(self.folder / f'{self.name}.log', 'ab')
        self.process = await asyncio.create_subprocess_exec(
            *run, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={**keep, 'RYELATCH_NODE_FILE': str(self.settings), 'PYTHONPATH': str(ROOT / 'target/deps'),
                 'PYTHONDONTWRITEBYTECODE': '1'})

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                head, _ = await asyncio.wait_for(ask((self.ip, 8220), 'GET', '/readyz', raw=True), 1)
                if ' 200' in head.first:
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError(f'{self.name} is not ready')

    def rss(self):
        """Memory of the process in kB."""
        text = Path(f'/proc/{self.process.pid}/status').read_text()
        return int(text.partition('VmRSS:')[2].split()[0])

    def unread(self):
        """Bytes received and not yet read by the process."""
        inodes = set()
        for fd in Path(f'/proc/{self.process.pid}/fd').iterdir():
            with contextlib.suppress(OSError):
                link = os.readlink(fd)
                if link.startswith('socket:['):
                    inodes.add(link[8:-1])
        total = 0
        for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
            fields = line.split()
            if fields[9] in inodes and fields[3] != '0A':
                total += int(fields[4].partition(':')[2], 16)
        return total

    def signal(self, number):
        self.process.send_signal(number)

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def ask(address, method, path, headers=(), body=b'', raw=False):
    """Send one request on a new connection; returns the head and the body."""
    reader, writer = await asyncio.open_connection(*address, limit=2**22)
    try:
        lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}', *(f'{n}: {v}' for n, v in headers)]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join([*lines, '', '']).encode('latin-1') + body)
        await writer.drain()
        head = await read_head(reader)
        return head, await read_answer_body(reader, head)
    finally:
        writer.transport.abort()


async def read_answer_body(reader, head):
    """Read a whole body; raises if it is cut off."""
    if 'chunked' in head.get('transfer-encoding').lower() or head.get('content-length'):
        return await read_body(reader, head)
    return await reader.read(-1)


def make_headers(identity, deadline=1500, **more):
    return [('X-Ryelatch-Request-Id', identity), ('X-Ryelatch-Deadline-Ms', deadline), ('Api-Key', KEY),
            *more.items()]


def make_stream_headers(identity, deadline=20000):
    return [('X-Ryelatch-Request-Id', identity), ('X-Ryelatch-Deadline-Ms', deadline), ('Api-Key', KEY),
            ('X-Ryelatch-Model', 'daka510000'), ('X-Ryelatch-Token-Usage', '800,200'),
            ('X-Ryelatch-Prefix-Hash', '5c1e07a2:40,91bd3f06:760')]


@contextlib.asynccontextmanager
async def run_nodes(folder, store, count=1, **options):
    nodes = [Node(f'edge-midrand-hall-{n}', folder, store, n, **options) for n in range(1, count + 1)]
    try:
        for node in nodes:
            await node.start()
        for node in nodes:
            await node.wait_ready()
        yield nodes
    finally:
        for node in nodes:
            await node.stop()
