"""Nodes as real processes, started as the platform starts them."""

import asyncio
import contextlib
import json
import os
import random
import resource
import signal
import subprocess
import sys
from collections.abc import Mapping
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
        return self._read_status('VmHWM')

    def read_memory(self) -> int:
        """Read the memory that the process has, in kB."""
        return self._read_status('VmRSS')

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

    def _read_status(self, name: str) -> int:
        status = Path(f'/proc/{self.process.pid}/status').read_text()
        line = next(
            line for line in status.splitlines() if line.startswith(name)
        )
        return int(line.split()[1])


def write_settings(
    folder: Path,
    name: str,
    host: str,
    store: str,
    grace: float = _GRACE_SECONDS,
    limits: Mapping[str, int] | None = None,
) -> Path:
    """Write the settings file of a node, and return its path.

    :param limits: resources of its VM, by the names of the settings file.
    """
    path = folder / f'{name}.toml'
    settings = _SETTINGS.format(name=name, host=host, store=store, grace=grace)
    lines = [f'{key} = {entry}\n' for key, entry in (limits or {}).items()]
    path.write_text(''.join((settings, '[limits]\n', *lines)))
    return path


async def start_node(
    name: str,
    store: str,
    folder: Path,
    *,
    limits: Mapping[str, int] | None = None,
    max_files: int | None = None,
    output: Path | None = None,
) -> NodeProcess:
    """Start a node at an address of its own.

    :param store: host and port of the object store.
    :param folder: for its settings file.
    :param limits: resources of its VM, by the names of the settings file.
    :param max_files: descriptors that the system lets it open.
    :param output: file for its log; a pipe by default.
    """
    host = f'127.{random.randint(1, 250)}.{random.randint(0, 250)}.7'
    path = write_settings(folder, name, host, store, limits=limits)

    def limit_files() -> None:
        if max_files is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (max_files, max_files))

    with contextlib.ExitStack() as stack:
        stdout: Any = subprocess.PIPE
        if output is not None:
            stdout = stack.enter_context(output.open('wb'))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'ryelatch_platform',
            stdout=stdout,
            env={**os.environ, 'RYELATCH_NODE_FILE': str(path)},
            preexec_fn=limit_files if max_files else None,
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
