"""Replicas of a soak that are processes of their own."""

import asyncio
import json
import signal
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from multidict import CIMultiDict

from fleet.processes import Process, spawn_standin
from standins.replica import ReplicaStandIn, Run

LOAD_SECONDS = 0.3

_POLL_SECONDS = 0.01


@dataclass(eq=False)
class ReplicaProcess:
    """A process of a replica, and what is known of it here.

    :param stand_in: its entry, what it received, and what the soak did to it;
        this one serves nothing itself.
    :param record: file into which the process writes.
    :param leaving: whether it was told to leave.
    :ivar armed: whether it has said that its next answer ends it.
    """

    stand_in: ReplicaStandIn
    process: Process
    record: Path
    leaving: bool = False
    armed: bool = False
    _runs: dict[int, Run] = field(default_factory=dict)
    _offset: int = 0

    @property
    def is_running(self) -> bool:
        """Whether the process runs, as far as the soak has noticed."""
        return self.process.child.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        self.process.send(number)

    def kill(self) -> None:
        """Kill the process; its connections end in an orderly way."""
        if self.is_running:
            # Before the signal: what ends with it ends later.
            self._record_crash(asyncio.get_running_loop().time())
            self.send(signal.SIGKILL)

    async def arm(self) -> None:
        """Let the process be killed in its next answer; wait until it will.

        A signal may reach it after a request that is sent later.
        """
        self.send(signal.SIGUSR1)
        while self.is_running and not self.armed:
            await asyncio.sleep(_POLL_SECONDS)
            self.follow()

    def stand_still(self) -> None:
        """Stop the process for a while."""
        if self.is_running and not self.stand_in.is_still:
            self.stand_in.stand_still()
            self.send(signal.SIGSTOP)

    def go_on(self) -> None:
        """Let the process go on."""
        self.send(signal.SIGCONT)
        self.stand_in.go_on()

    def follow(self) -> None:
        """Read what the process has written since the last time."""
        for line in self._read_lines():
            self._apply(line)

    def _read_lines(self) -> Iterator[dict[str, Any]]:
        with self.record.open('rb') as record:
            record.seek(self._offset)
            for line in record:
                if not line.endswith(b'\n'):
                    return
                self._offset += len(line)
                yield json.loads(line)

    def _apply(self, line: dict[str, Any]) -> None:
        match line['kind']:
            case 'arrival':
                arrival = line['identity'], line['at']
                self.stand_in.received.append(arrival)
            case 'run':
                self._add_run(line)
            case 'event':
                self._runs[line['number']].first_event = line['at']
            case 'ended':
                self._runs[line['number']].ended = line['at']
            case 'killed':
                self._record_crash(line['at'])
            case 'held':
                self._hold(line)
            case 'armed':
                self.armed = True

    def _add_run(self, line: dict[str, Any]) -> None:
        run = Run(
            line['identity'],
            CIMultiDict(line['headers']),
            line['path'],
            b'',
            at=line['at'],
            port=line['port'],
        )
        self._runs[line['number']] = run
        self.stand_in.runs.append(run)

    def _hold(self, line: dict[str, Any]) -> None:
        """Write the new layers into its entry."""
        self.stand_in.layers = tuple(line['layers'])
        if self.is_running:
            self.stand_in.register()

    def _record_crash(self, at: float) -> None:
        self.stand_in.crashed = True
        self.stand_in.crashed_at = min(at, self.stand_in.crashed_at)
        self.stand_in.go_on()


async def start_process(
    stand_in: ReplicaStandIn,
    host: str,
    record: Path,
    port: int = 0,
) -> ReplicaProcess:
    """Start the process of a replica, and register it.

    :param host: address on which no other soak listens.
    :param port: of the replica before it, whose address it takes; by default,
        the system chooses one.
    """
    stand_in.started_at = round(time.time() * 1000)
    options = {
        'name': stand_in.name,
        'service': stand_in.service,
        'accelerator': stand_in.accelerator,
        'host': host,
        'born': stand_in.started_at,
        'events': stand_in.events,
        'pause': stand_in.pause,
        'unnumbered-path': stand_in.unnumbered_path,
        'load-seconds': LOAD_SECONDS,
        'seed': record.stem,
        'record': record.absolute(),
    }
    held = map(str, stand_in.layers or ())
    arguments = (
        *(f'--{name}={option}' for name, option in options.items()),
        *(('--layers', *held) if stand_in.layers else ()),
    )
    try:
        process = await spawn_standin(
            stand_in.name, 'killable', *arguments, port=port
        )
    except RuntimeError:
        if not port:
            raise
        # Another process of the soak has got that address meanwhile.
        process = await spawn_standin(stand_in.name, 'killable', *arguments)
    bound = process.address.partition(':')[2]
    stand_in.address = f'{host}:{bound}'
    stand_in.register()
    return ReplicaProcess(stand_in, process, record)
