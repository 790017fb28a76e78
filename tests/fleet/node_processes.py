"""Nodes as real processes, started as the platform starts them."""

import asyncio
import json
import os
import random
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from aiohttp import ClientError, ClientSession

from fleet.running import KEY

_GRACE_SECONDS = 8
_READY_SECONDS = 30
_SETTINGS = """
nodeName = "{name}"
zone = "zone-a"
[listen]
frontend = "{host}:8227"
readiness = "{host}:8220"
[bounds]
graceS = {grace}
[platform]
addr = "{store}"
"""


@dataclass
class NodeProcess:
    """The process of a running node.

    :param host: the node's own loopback address, so that nodes share no port.
    """

    name: str
    host: str
    process: asyncio.subprocess.Process

    def open(self, http: ClientSession, path: str, identity: str) -> Any:
        """Send a request."""
        headers = {
            'Host': 'city.example',
            'Api-Key': KEY,
            'X-Ryelatch-Request-Id': identity,
            'X-Ryelatch-Token-Usage': '100,40',
        }
        url = f'http://{self.host}:8227{path}'
        return http.post(url, headers=headers, data=b'question')

    def read_peak(self) -> int:
        """Read the most memory that the process has had so far, in kB."""
        status = Path(f'/proc/{self.process.pid}/status').read_text()
        line = next(
            line for line in status.splitlines() if line.startswith('VmHWM')
        )
        return int(line.split()[1])

    def count_files(self) -> int:
        """Count the open files of the process, connections among them."""
        return len(list(Path(f'/proc/{self.process.pid}/fd').iterdir()))

    async def stop(self, number: signal.Signals) -> list[dict[str, object]]:
        """Send a signal and wait until the process terminates.

        :returns: the log lines that the process wrote.
        """
        self.process.send_signal(number)
        output, _ = await self.process.communicate()
        return [json.loads(line) for line in output.splitlines()]


def write_settings(
    folder: Path,
    name: str,
    host: str,
    store: str,
    grace: float = _GRACE_SECONDS,
) -> Path:
    """Write the settings file of a node, and return its path."""
    path = folder / f'{name}.toml'
    path.write_text(
        _SETTINGS.format(name=name, host=host, store=store, grace=grace)
    )
    return path


async def start_node(name: str, store: str, folder: Path) -> NodeProcess:
    """Start a node at an address of its own.

    :param store: host and port of the object store.
    :param folder: for its settings file.
    """
    host = f'127.{random.randint(1, 250)}.{random.randint(0, 250)}.7'
    path = write_settings(folder, name, host, store)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'ryelatch_platform',
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, 'RYELATCH_NODE_FILE': str(path)},
    )
    return NodeProcess(name, host, process)


async def wait_ready(http: ClientSession, node: NodeProcess) -> None:
    """Wait until a node reports that it is ready."""
    async with asyncio.timeout(_READY_SECONDS):
        while not await _is_ready(http, node):
            await asyncio.sleep(0.05)


async def _is_ready(http: ClientSession, node: NodeProcess) -> bool:
    try:
        async with http.get(f'http://{node.host}:8220/readyz') as response:
            return response.status == 200
    except ClientError:
        return False
