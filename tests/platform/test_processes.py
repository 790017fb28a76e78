"""Nodes as real processes, with signals and settings files."""

import asyncio
import os
import random
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import pytest
from aiohttp import ClientError, ClientSession

from fleet.node_processes import (
    NodeProcess,
    start_node,
    wait_ready,
    write_settings,
)
from fleet.running import (
    make_configuration,
    make_event_stream,
    make_model_replicas,
    make_non_model_replicas,
    serve_app,
)
from standins.objects import ObjectStore
from standins.replica import ReplicaStandIn


@dataclass
class RunningProcesses:
    """A store, replicas and two nodes."""

    nodes: list[NodeProcess]
    replicas: list[ReplicaStandIn]
    http: ClientSession

    def open(self, number: int, path: str, identity: str) -> object:
        """Send a request to a node."""
        return self.nodes[number].open(self.http, path, identity)


@asynccontextmanager
async def run_processes(folder: Path) -> AsyncIterator[RunningProcesses]:
    """Start a store, replicas and two nodes; kill the nodes left at exit."""
    store = ObjectStore()
    store.put('config', 'main', make_configuration())
    runners = []
    runner, port = await serve_app(store.make_app())
    address = f'127.0.0.1:{port}'
    runners.append(runner)
    replicas = [
        *make_model_replicas((0, 8), (0, 8)),
        *make_non_model_replicas(2),
    ]
    for replica in replicas:
        replica.store = store
        replica.pause = 0.2
        runner, port = await serve_app(replica.make_app())
        replica.address = f'127.0.0.1:{port}'
        runners.append(runner)
        replica.register()
    nodes = [
        await start_node(f'node-{number}', address, folder)
        for number in range(2)
    ]
    async with ClientSession() as http:
        try:
            for node in nodes:
                await wait_ready(http, node)
            yield RunningProcesses(nodes, replicas, http)
        finally:
            for node in nodes:
                if node.process.returncode is None:
                    node.process.kill()
                    await node.process.communicate()
            for runner in runners:
                await runner.cleanup()


async def test_stop_of_a_process_cuts_nothing(tmp_path: Path) -> None:
    """SIGTERM cuts off a stream in progress.

    The stream must complete, the process exit with 0, and its log include the
    node's start and end with its stop.
    """
    async with run_processes(tmp_path) as running:
        async with running.open(0, '/plan/x', 'r-1') as response:  # type: ignore
            begun = await response.content.readuntil(b'token 1\n\n')
            stopping = asyncio.create_task(
                running.nodes[0].stop(signal.SIGTERM)
            )
            rest = await response.read()
        assert begun + rest == make_event_stream(5)
        lines = await stopping
        assert running.nodes[0].process.returncode == 0
        names = [line['name'] for line in lines]
        assert 'node-started' in names
        assert names[-1] == 'node-stopped'


async def test_kill_of_a_process_is_seen_and_survived(tmp_path: Path) -> None:
    """The kill of a node looks like a complete answer, or stops another node.

    A node is killed in the middle of a stream. Its client must see that the
    answer is incomplete. The other node must go on, also with a booking, and
    the replicas must be free of the lost stream.
    """
    async with run_processes(tmp_path) as running:
        async with running.open(0, '/plan/x', 'r-1') as response:  # type: ignore
            await response.content.readuntil(b'token 1\n\n')
            await running.nodes[0].stop(signal.SIGKILL)
            with pytest.raises(ClientError):
                await response.read()
        async with running.open(1, '/plan/x', 'r-2') as response:  # type: ignore
            assert await response.read() == make_event_stream(5)
        async with running.open(1, '/book/x', 'r-3') as response:  # type: ignore
            assert response.status == 200
        runs = [run for replica in running.replicas for run in replica.runs]
        assert sorted(run.identity for run in runs) == ['r-1', 'r-2', 'r-3']


async def test_wrong_settings_end_the_process(tmp_path: Path) -> None:
    """A process with an incomplete settings file starts, or hides the cause."""
    path = tmp_path / 'wrong.toml'
    path.write_text('nodeName = "x"\n')
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'ryelatch_platform',
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, 'RYELATCH_NODE_FILE': str(path)},
    )
    _, output = await process.communicate()
    assert process.returncode == 2
    assert b'wrong.toml' in output
    assert b'zone' in output


async def test_notice_during_the_start_is_survived() -> None:
    """SIGHUP terminates a process that is still loading its libraries.

    It announces changed settings, and no handler is installed yet. Loading
    takes most of the start, so the signal is ignored before it begins.
    """
    script = (
        'import runpy, signal, sys\n'
        'class Finder:\n'
        '    def find_spec(self, name, path=None, target=None):\n'
        '        if name == "ryelatch_platform._begin":\n'
        '            print(signal.getsignal(signal.SIGHUP).name)\n'
        '            sys.exit()\n'
        'sys.meta_path.insert(0, Finder())\n'
        'runpy.run_module("ryelatch_platform", run_name="__main__")\n'
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable, '-c', script, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    assert output == b'SIG_IGN\n'


_CHANGE_DURING_START = """
import os, pathlib, runpy, signal, sys
class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "ryelatch_platform._main":
            path = pathlib.Path(os.environ["RYELATCH_NODE_FILE"])
            changed = path.read_text().replace("graceS = 8", "graceS = 2")
            path.write_text(changed)
            os.kill(os.getpid(), signal.SIGHUP)
sys.meta_path.insert(0, Finder())
runpy.run_module("ryelatch_platform", run_name="__main__")
"""


async def test_settings_changed_during_the_start_apply(tmp_path: Path) -> None:
    """Settings that change after a start has read them are never applied."""
    store = ObjectStore()
    store.put('config', 'main', make_configuration())
    runner, port = await serve_app(store.make_app())
    host = f'127.{random.randint(1, 250)}.{random.randint(0, 250)}.7'
    path = write_settings(tmp_path, 'node', host, f'127.0.0.1:{port}')
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        _CHANGE_DURING_START,
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, 'RYELATCH_NODE_FILE': str(path)},
    )
    node = NodeProcess('node', host, process)
    async with ClientSession() as http:
        await wait_ready(http, node)
    lines = await node.stop(signal.SIGTERM)
    await runner.cleanup()
    reloaded = [
        line['changed'] for line in lines if line['name'] == 'settings-reloaded'
    ]
    assert reloaded == [True]


async def test_clients_wait_while_libraries_load(tmp_path: Path) -> None:
    """Clients are refused connections while nodes load their libraries.

    All nodes are killed and restarted, and clients retry at once. Loading
    takes half a second; clients retry only once, so their requests are lost.
    """
    host = f'127.{random.randint(1, 250)}.{random.randint(0, 250)}.7'
    path = write_settings(tmp_path, 'node', host, '127.0.0.1:1', grace=1)
    script = (
        'import runpy, socket, sys\n'
        'class Finder:\n'
        '    def find_spec(self, name, path=None, target=None):\n'
        '        if name == "ryelatch_platform._main":\n'
        f'            socket.create_connection(("{host}", 8227), 5)\n'
        '            print("connected")\n'
        '            sys.exit()\n'
        'sys.meta_path.insert(0, Finder())\n'
        'runpy.run_module("ryelatch_platform", run_name="__main__")\n'
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        script,
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, 'RYELATCH_NODE_FILE': str(path)},
    )
    output, _ = await process.communicate()
    assert output == b'connected\n'
