"""A planned stop of a node, and a sound replica that is silent for a second."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
COMMON = HERE.parent
sys.path.insert(0, str(COMMON))

import aiohttp  # noqa: E402

import fleet  # noqa: E402
from stand_in_store import Store  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
NODES = 2
ENGINES = 4
STREAMS = 8
EVENTS = 24
PAUSE_S = 0.1
SILENT_S = float(os.environ.get('SILENT_S', '1.0'))
KEY = 'key-1'


def make_configuration():
    """Make a configuration with a stream that may not be resumed."""
    return {
        'version': 3,
        'routes': [
            fleet.make_route(
                'manifest', 'streaming', 'ryelatch-model', timeoutMs=20000,
                targetLatencyMs=500, maxAttempts=2, targetGapMs=250,
                sticky=True, resumable=False,
            ),
        ],
        'services': [{
            'name': 'ryelatch-model', 'healthPath': '/healthz',
            'maxConns': 1068,
            'engine': {
                'layers': 8, 'layerMb': 1000, 'kvTokenBytes': 80000,
                'step_ms': 1.02, 'per_seq_ms': 0.00459,
                'context_per_k': 0.00615, 'stride': 4, 'read_per_s': 164000,
                'chunk': 512, 'report_lag_ms': 200,
                'models': [{'name': 'm', 'loadS': 14}],
                'usual': {'prompt': 800, 'answer': 200},
                'kinds': [{'name': 'a100', 'sizeMb': 72000, 'pace': 2.4}],
            },
        }],
        'limits': fleet.make_limits(),
        'tenants': [{'name': 'umoya', 'apiKeys': [KEY]}],
    }


class EngineProcess:
    """The process of a replica."""

    def __init__(self, number, folder, store):
        self.name = f'i-{number}'
        self.log = folder / f'{self.name}.engine'
        self.log.touch()
        self.process = subprocess.Popen(
            [sys.executable, '-B', str(COMMON / 'stand_in_engine.py'), self.name,
             str(EVENTS), str(PAUSE_S), str(self.log)],
            stdout=subprocess.PIPE, text=True,
        )
        self.address, born = self.process.stdout.readline().split()
        store.put('servers', self.name, {
            'service': 'ryelatch-model', 'addr': self.address,
            'zone': fleet.ZONES[number % 2], 'version': 'v1', 'slots': 96,
            'state': 'ready', 'seq': 1, 'coldRemainingMs': 0,
            'born': int(born), 'phase': 'colocated', 'routeKind': 'a100',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'layers': {'from': 0, 'to': 8, 'version': 1},
        })

    def read(self, what):
        """List the requests that its log names."""
        lines = map(json.loads, self.log.read_text().splitlines())
        return [line['request'] for line in lines if line['what'] == what]

    def kill(self):
        """End the process."""
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()


async def ask(http, node, identity, record):
    """Send a request for a stream; returns what arrived of it."""
    record.write('sent', request=identity, node=node.name)
    text, complete = b'', False
    try:
        async with http.post(
            f'http://{node.host}:8227/manifest/1', data=b'prompt',
            headers={
                'Host': fleet.HOST, 'Api-Key': KEY,
                'X-Ryelatch-Request-Id': identity,
                'X-Ryelatch-Model': 'm', 'X-Ryelatch-Token-Usage': '800,200',
                'X-Ryelatch-Prefix-Hash': f'5c1e07a2:40,{identity}:760',
                'X-Ryelatch-Deadline-Ms': '20000',
            },
        ) as response:
            status = response.status
            async for piece in response.content.iter_any():
                text += piece
            complete = True
    except (aiohttp.ClientError, OSError) as error:
        status = f'{type(error).__name__} in the answer'
    events = text.count(b'\n\n')
    record.write(
        'answered', request=identity, status=status, events=events,
        complete=complete,
    )
    return complete, status, events


async def play(folder, record):
    """Play the case; returns the exit status."""
    store = Store()
    store.put('config', 'main', make_configuration())
    runner, address = await fleet.serve(store.make_app())
    engines, nodes = [], []
    try:
        engines += [
            EngineProcess(number, folder, store) for number in range(ENGINES)
        ]
        nodes += [
            fleet.Node(f'edge-{number}', fleet.ZONES[number], folder, address)
            for number in range(NODES)
        ]
        for node in nodes:
            node.start()
        await fleet.wait_ready(nodes)
        await asyncio.sleep(5)
        return await disrupt(nodes, engines, record)
    finally:
        for node in nodes:
            node.kill()
        for engine in engines:
            engine.kill()
        await runner.cleanup()


async def disrupt(nodes, engines, record):
    """Stop a node as planned while a replica is silent, and judge."""
    timeout = aiohttp.ClientTimeout(total=25)
    connector = aiohttp.TCPConnector(force_close=True, limit=0)
    async with aiohttp.ClientSession(
        timeout=timeout, connector=connector
    ) as http:
        tasks = {
            f'{number:08x}': asyncio.create_task(
                ask(http, nodes[0], f'{number:08x}', record)
            )
            for number in range(1, STREAMS + 1)
        }
        await asyncio.sleep(0.6)
        silent = max(engines, key=lambda engine: len(engine.read('run')))
        if TROUBLE:
            record.write('SIGTERM', node=nodes[0].name)
            nodes[0].send(signal.SIGTERM)
            await asyncio.sleep(0.2)
            record.write('silent', replica=silent.name, seconds=SILENT_S)
            silent.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(SILENT_S)
            silent.process.send_signal(signal.SIGCONT)
            record.write('goes on', replica=silent.name)
        results = dict(
            zip(tasks, await asyncio.gather(*tasks.values()), strict=True)
        )
    for engine in engines:
        for what in ('run', 'cut', 'done'):
            for identity in engine.read(what):
                record.write(what, replica=engine.name, request=identity)
    return judge(results, silent, record)


def judge(results, silent, record):
    """Judge the rule by what the clients got."""
    on_silent = silent.read('run')
    lost = [
        identity for identity, (complete, status, events) in results.items()
        if not complete and identity in on_silent
    ]
    whole = [
        identity for identity, (complete, status, events) in results.items()
        if complete and status == 200 and events == EVENTS
    ]
    record.write(
        'judged', sent=len(results), whole=len(whole),
        on_the_silent_replica=len(on_silent), lost=lost,
    )
    if not on_silent or (not lost and len(whole) < len(results)):
        return 2
    return 1 if lost else 0


def main():
    """Play the case once."""
    record = fleet.Record(HERE / 'record.txt')
    try:
        with tempfile.TemporaryDirectory() as folder:
            status = asyncio.run(play(Path(folder), record))
            if os.environ.get('KEEP_LOGS'):
                for log in sorted(Path(folder).glob('*.log')):
                    Path(os.environ['KEEP_LOGS'], log.name).write_text(
                        log.read_text()
                    )
    except (OSError, TimeoutError, asyncio.TimeoutError) as error:
        record.write('could not run', error=repr(error))
        status = 2
    record.write('exit', status=status, trouble=TROUBLE)
    record.close()
    sys.exit(status)


main()
