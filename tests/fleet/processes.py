"""Starts and ends the processes of a fleet on this machine."""

import asyncio
import os
import signal
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

BIN = Path(sys.executable).parent
TESTS = Path(__file__).parent.parent
_READY_SECONDS = 30
_STOP_SECONDS = 30


@dataclass
class Process:
    """A process that was started.

    :param address: host and port on which it listens; empty until known.
    :param log: lines of its standard error.
    """

    name: str
    child: asyncio.subprocess.Process
    address: str = ''
    log: list[str] = field(default_factory=list)
    _reader: asyncio.Task[None] | None = None

    @property
    def url(self) -> str:
        """The base URL of the process."""
        return f'http://{self.address}'

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.child.returncode is None:
            self.child.send_signal(number)

    async def kill(self) -> None:
        """End the process by ``SIGKILL``."""
        self.send(signal.SIGKILL)
        await self.child.wait()

    async def stop(self) -> int:
        """Send ``SIGTERM`` and wait for the end.

        :returns: exit code.
        """
        self.send(signal.SIGTERM)
        async with asyncio.timeout(_STOP_SECONDS):
            return await self.child.wait()

    def follow(self) -> None:
        """Collect the lines of standard error in the background."""
        self._reader = asyncio.create_task(self._read())

    async def _read(self) -> None:
        if self.child.stderr is not None:
            async for line in self.child.stderr:
                self.log.append(line.decode(errors='replace').rstrip())


async def spawn(name: str, command: Sequence[str]) -> Process:
    """Start a program, and collect its standard error."""
    child = await asyncio.create_subprocess_exec(
        *command,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        cwd=TESTS,
        env=os.environ | {'PYTHONUNBUFFERED': '1'},
        limit=2**20,
    )
    process = Process(name, child)
    process.follow()
    return process


async def spawn_standin(
    name: str,
    kind: str,
    *arguments: str,
    port: int = 0,
) -> Process:
    """Start a stand-in, and wait until it listens.

    :param kind: name of its module in the package ``standins``.
    :param port: port to listen on; 0 lets the system choose.
    :raises RuntimeError: if it did not start.
    """
    process = await spawn(
        name,
        [
            sys.executable,
            '-m',
            f'standins.{kind}',
            '--port',
            str(port),
            *arguments,
        ],
    )
    if process.child.stdout is None:
        raise RuntimeError(f'{name} has no standard output')
    async with asyncio.timeout(_READY_SECONDS):
        line = await process.child.stdout.readline()
    if not line.startswith(b'READY'):
        raise RuntimeError(f'{name} did not start: {process.log}')
    process.address = f'127.0.0.1:{line.split()[1].decode()}'
    return process
