"""Starts the nodes with the command of the deploy file, and sends requests."""

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import aiohttp

ROOT = Path(__file__).resolve().parents[1]

# The bounds of the small deployments.
BOUNDS = """
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 200
recoveryS = 12
eventDelayMs = 120
retryAfterS = 0
stall_ms = 2000
fencingEnforced = true
"""

SETTINGS = """
nodeName = "{name}"
role = "router"
machineClass = "edge"
serves = ["edge"]
ip = "{host}"
zone = "{zone}"
region = "gauteng"
portRange = [7340, 7355]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
midrand-hall = "gauteng"
germiston-hall = "gauteng"
centurion-hall = "gauteng"
[listen]
frontend = "{host}:8227"
readiness = "{host}:8220"
[limits]
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
[platform]
addr = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
""" + BOUNDS

ZONES = ('midrand-hall', 'germiston-hall', 'centurion-hall')
HOST = 'desk.example'


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self._file = open(path, 'w')
        self._start = time.monotonic()

    @property
    def now(self):
        """Seconds since the start."""
        return time.monotonic() - self._start

    def write(self, what, **detail):
        """Write a line."""
        text = ' '.join(f'{key}={value!r}' for key, value in detail.items())
        self._file.write(f'{self.now:8.3f} {what} {text}\n')
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


class Node:
    """A process of the system on a loopback address of its own."""

    def __init__(self, name, zone, folder, store):
        low, high = random.randint(1, 250), random.randint(0, 250)
        self.name = name
        self.host = f'127.{low}.{high}.{random.randint(2, 250)}'
        self.settings = folder / f'{name}.toml'
        self.settings.write_text(
            SETTINGS.format(name=name, host=self.host, zone=zone, store=store)
        )
        self.log = folder / f'{name}.log'
        self.process = None

    def start(self):
        """Start the process as the platform does."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles']['router']['run'].split()
        if words[0] == 'python3':
            words[0] = sys.executable
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                words, cwd=ROOT, stdout=output, stderr=output,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', ''),
                    'LANG': os.environ.get('LANG', 'C.UTF-8'),
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'RYELATCH_NODE_FILE': str(self.settings),
                },
            )

    def send(self, number):
        """Send a signal."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def read_lines(self):
        """Read the log lines of the node."""
        found = []
        for line in self.log.read_text(errors='replace').splitlines():
            try:
                found.append(json.loads(line))
            except ValueError:
                found.append({'name': 'no-json', 'text': line})
        return found


async def serve(app, host='127.0.0.1'):
    """Serve an application on a free port; returns its runner and address."""
    from aiohttp import web

    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=0.1, handler_cancellation=True
    )
    await runner.setup()
    await web.TCPSite(runner, host, 0).start()
    return runner, f'{host}:{runner.addresses[0][1]}'


async def is_ready(http, node):
    """Ask a node for its readiness."""
    try:
        async with http.get(
            f'http://{node.host}:8220/readyz',
            timeout=aiohttp.ClientTimeout(total=1),
        ) as response:
            return response.status == 200
    except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
        return False


async def wait_ready(nodes, seconds=25):
    """Wait until all nodes are ready."""
    async with aiohttp.ClientSession() as http:
        async with asyncio.timeout(seconds):
            for node in nodes:
                while not await is_ready(http, node):
                    await asyncio.sleep(0.1)


def make_route(name, kind, service, **changes):
    """Make a route like those of the small deployments."""
    return {
        'name': f'r-{name}', 'host': HOST, 'pathPrefix': f'/{name}/',
        'routeKind': kind, 'timeoutMs': 800, 'targetLatencyMs': 300,
        'priority': 2, 'service': service,
        'maxAttempts': 2 if kind == 'idempotent' else 1,
        'anonymous': False, 'sticky': False, 'resumable': False, **changes,
    }


def make_limits():
    """Make the limits of a configuration."""
    return {
        'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
        'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
    }
