"""Starts a complete fleet: platform, engines, non-model services and nodes."""

import asyncio
import json
import os
import tempfile
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import yaml

from fleet.processes import BIN, Process, spawn, spawn_standin
from ryelatch_core.settings import hash_key

EXAMPLES = Path(__file__).parent.parent.parent / 'examples'
OPERATOR_KEY = 'operator-key'
PLATFORM_TOKEN = 'platform-token'
_WAIT_SECONDS = 30
_POLL_SECONDS = 0.02


@dataclass(frozen=True)
class EngineSpec:
    """An engine to start.

    :param first: first layer that it runs.
    :param last: the layer after the last that it runs.
    :param options: further command-line options of the stand-in.
    """

    name: str
    zone: str
    first: int
    last: int
    options: tuple[str, ...] = ()


@dataclass(frozen=True)
class Shape:
    """The processes and settings of a fleet.

    :param settings: file name of the example settings.
    :param role: role of the non-model upstreams, as the settings name it.
    :param nodes: availability zone by name of the node.
    :param non_model: availability zone by name of the non-model upstream.
    :param startup: start-up settings that all nodes share.
    :param tweak: changes the example settings before they are applied.
    """

    settings: str
    model: str
    layers: int
    role: str
    nodes: dict[str, str]
    engines: tuple[EngineSpec, ...]
    non_model: dict[str, str]
    startup: dict[str, Any] = field(default_factory=dict)
    tweak: Callable[[dict[str, Any]], object] | None = None


def make_shape(
    stages: int = 3,
    replicas: int = 2,
    options: tuple[str, ...] = (),
    nodes: int = 3,
    tweak: Callable[[dict[str, Any]], object] | None = None,
    **startup: Any,
) -> Shape:
    """Make a small fleet after the Saigon example.

    :param stages: number of stages that the model's layers are split into.
    :param replicas: number of engines for each stage.
    :param options: further command-line options of all engines.
    :param startup: start-up settings that all nodes share.
    """
    zones = ('hcm-q1', 'hcm-td', 'hcm-bt')
    layers = 12
    width = layers // stages
    engines = tuple(
        EngineSpec(
            f'engine-{stage}{"abcdefgh"[replica]}',
            zones[replica % len(zones)],
            stage * width,
            (stage + 1) * width,
            options,
        )
        for stage in range(stages)
        for replica in range(replicas)
    )
    return Shape(
        'saigon.yaml',
        'textile-care',
        layers,
        'booking',
        {
            f'node-{"abcdefgh"[index]}': zones[index % len(zones)]
            for index in range(nodes)
        },
        engines,
        {'booking-1': zones[0], 'booking-2': zones[1], 'booking-3': zones[2]},
        {'drain_notice': 0.2} | startup,
        tweak,
    )


class Fleet:
    """The running processes of a fleet, and helpers to control them.

    :param shape: the processes to start.
    :param folder: folder for settings files.
    """

    def __init__(self, shape: Shape, folder: Path) -> None:
        self.shape = shape
        self.folder = folder
        self.http = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(60),
            connector=aiohttp.TCPConnector(limit=0),
        )
        self.processes: dict[str, Process] = {}
        self.vms: dict[str, dict[str, Any]] = {}

    @property
    def platform(self) -> Process:
        """The process that stands in for the platform."""
        return self.processes['platform']

    @property
    def nodes(self) -> list[Process]:
        """The nodes that have been started, in the order of the shape."""
        return [
            self.processes[name]
            for name in self.shape.nodes
            if name in self.processes
        ]

    async def start_platform(self) -> None:
        """Start the platform's stand-in."""
        self.processes['platform'] = await spawn_standin(
            'platform', 'platform', '--token', PLATFORM_TOKEN
        )

    async def start_upstreams(self) -> None:
        """Start all engines and non-model services."""
        await asyncio.gather(
            *(self.start_engine(spec) for spec in self.shape.engines),
            *(
                self.start_non_model(name, zone)
                for name, zone in self.shape.non_model.items()
            ),
        )

    async def start_engine(self, spec: EngineSpec, port: int = 0) -> Process:
        """Start an engine, and add it to the platform's list of VMs."""
        shape = self.shape
        process = await spawn_standin(
            spec.name,
            'engine',
            *('--name', spec.name, '--model', shape.model),
            *('--layers', str(shape.layers)),
            *('--first', str(spec.first), '--last', str(spec.last)),
            *spec.options,
            port=port,
        )
        await self._add_vm(process, 'engine', spec.zone)
        return process

    async def start_non_model(self, name: str, zone: str) -> Process:
        """Start a non-model service, and add it to the list of VMs."""
        process = await spawn_standin(name, 'booking')
        await self._add_vm(process, self.shape.role, zone)
        return process

    async def start_node(self, name: str, **extra: Any) -> Process:
        """Start a node, wait until it listens, and add it to the list of VMs.

        :param extra: start-up settings of this node only.
        :raises RuntimeError: if the node exits instead; holds its log.
        """
        startup: dict[str, Any] = {
            'name': name,
            'zone': self.shape.nodes[name],
            'listen': {'host': '127.0.0.1', 'port': 0},
            'peers': {'host': '127.0.0.1', 'port': 0},
            'platform': {'url': self.platform.url, 'token': PLATFORM_TOKEN},
            'peer_key': 'peer-key-of-the-fleet',
            'operator_keys': [hash_key(OPERATOR_KEY)],
        }
        file = self.folder / f'{name}.yaml'
        file.write_text(yaml.safe_dump(startup | self.shape.startup | extra))
        process = await spawn(name, [str(BIN / 'ryelatch-node'), str(file)])
        self.processes[name] = process
        await self.wait_until(
            lambda: _find_ports(process) or _has_exited(process)
        )
        ports = _find_ports(process)
        if not ports:
            raise RuntimeError('\n'.join(process.log))
        process.address = f'127.0.0.1:{ports["port"]}'
        address = f'127.0.0.1:{ports["peers"]}'
        self.vms[name] = _make_vm(name, 'node', address, startup['zone'])
        await self.publish_vms()
        return process

    async def publish_vms(self) -> None:
        """Send the list of VMs to the platform."""
        await self.control(self.platform, 'vms', list(self.vms.values()))

    async def remove_vm(self, name: str) -> None:
        """Remove a VM from the platform's list."""
        self.vms.pop(name, None)
        await self.publish_vms()

    async def control(self, process: Process, endpoint: str, body: Any) -> None:
        """Change the behaviour of a stand-in through its control interface."""
        url = f'{process.url}/control/{endpoint}'
        async with self.http.put(url, json=body) as response:
            response.raise_for_status()

    async def inspect(self, process: Process, endpoint: str) -> Any:
        """Read a record of a stand-in through its control interface."""
        url = f'{process.url}/control/{endpoint}'
        async with self.http.get(url) as response:
            return json.loads(await response.text())

    async def silence_connections(self, process: Process) -> None:
        """Stop all traffic on the open connections of a stand-in for good.

        The connections stay open, so only a timeout shows the fault.
        """
        url = f'{process.url}/control/silence'
        async with self.http.post(url) as response:
            response.raise_for_status()

    async def run_cli(self, *arguments: str) -> tuple[int, str, str]:
        """Run the ``ryelatch`` command against this fleet.

        :returns: exit code, standard output, standard error.
        """
        env = os.environ | {
            'RYELATCH_PLATFORM_URL': self.platform.url,
            'RYELATCH_PLATFORM_TOKEN': PLATFORM_TOKEN,
            'RYELATCH_NODES': ','.join(
                node.url for node in self.nodes if not _has_exited(node)
            ),
            'RYELATCH_OPERATOR_KEY': OPERATOR_KEY,
            'COLUMNS': '200',
        }
        child = await asyncio.create_subprocess_exec(
            str(BIN / 'ryelatch'),
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env=env,
        )
        output, errors = await child.communicate()
        return child.returncode or 0, output.decode(), errors.decode()

    async def apply(self, file: Path | None = None) -> str:
        """Apply settings by ``ryelatch settings apply``.

        :param file: settings to apply; by default those of the shape.
        :returns: output of the command.
        :raises RuntimeError: if the command fails; holds its output.
        """
        path = file or self.write_settings(self.shape.tweak)
        code, output, errors = await self.run_cli(
            'settings', 'apply', str(path)
        )
        if code:
            raise RuntimeError(output + errors)
        return output

    def write_settings(
        self,
        tweak: Callable[[dict[str, Any]], object] | None = None,
        name: str = 'settings.yaml',
    ) -> Path:
        """Write the example settings to a file, after changes by ``tweak``."""
        example = EXAMPLES / self.shape.settings
        tree = yaml.safe_load(example.read_text())
        if tweak is not None:
            tweak(tree)
        path = self.folder / name
        path.write_text(yaml.safe_dump(tree, sort_keys=False))
        return path

    async def status(self, node: Process) -> dict[str, Any]:
        """Read the status of a node."""
        answer: dict[str, Any] = await self.ask_admin(node, 'status')
        return answer

    async def ask_admin(self, node: Process, path: str) -> Any:
        """Call an admin endpoint of a node with an operator's key."""
        async with self.http.get(
            f'{node.url}/admin/{path}',
            headers={'Authorization': f'Bearer {OPERATOR_KEY}'},
        ) as response:
            return await response.json()

    async def wait_connected(
        self,
        count: int | None = None,
        *,
        peers: bool = True,
    ) -> None:
        """Wait until all nodes are connected to engines and to each other.

        :param count: number of engines; by default all of the shape.
        :param peers: whether to wait for connections between nodes as well.
        """
        other_nodes = (
            len([node for node in self.nodes if not _has_exited(node)]) - 1
        )
        wanted = len(self.shape.engines) if count is None else count
        running = [node for node in self.nodes if not _has_exited(node)]

        async def connected() -> bool:
            found = [await self.status(node) for node in running]
            return all(
                sum(
                    upstream['connected'] and not upstream['leaving']
                    for upstream in status['upstreams']
                )
                >= wanted
                and len(status['peers']) >= other_nodes * peers
                for status in found
            )

        await self.wait_for(connected)

    async def wait_for(self, condition: Callable[[], Any]) -> None:
        """Wait until an asynchronous condition is true."""
        async with asyncio.timeout(_WAIT_SECONDS):
            while not await condition():
                await asyncio.sleep(_POLL_SECONDS)

    async def wait_until(self, condition: Callable[[], Any]) -> None:
        """Wait until a condition is true."""
        async with asyncio.timeout(_WAIT_SECONDS):
            while not condition():
                await asyncio.sleep(_POLL_SECONDS)

    async def close(self) -> None:
        """Kill all processes."""
        await self.http.close()
        await asyncio.gather(
            *(process.kill() for process in self.processes.values())
        )

    async def _add_vm(self, process: Process, role: str, zone: str) -> None:
        self.processes[process.name] = process
        self.vms[process.name] = _make_vm(
            process.name, role, process.address, zone
        )
        await self.publish_vms()


def _make_vm(name: str, role: str, address: str, zone: str) -> dict[str, Any]:
    return {
        'name': name,
        'role': role,
        'address': address,
        'zone': zone,
        'leaving': False,
    }


def _find_ports(node: Process) -> dict[str, str]:
    """Read the ports that the system chose from a node's start event."""
    lines = [line for line in node.log if 'RL1101' in line]
    words = lines[0].split() if lines else []
    return dict(word.split('=', 1) for word in words if '=' in word)


def _has_exited(process: Process) -> bool:
    return process.child.returncode is not None


@asynccontextmanager
async def run_fleet(
    shape: Shape,
    *,
    isolate_nodes: bool = False,
) -> AsyncIterator[Fleet]:
    """Start a fleet, apply its settings, and kill it afterwards.

    :param isolate_nodes: whether each node gets a peer key of its own, so that
        nodes refuse each other's connections.
    """
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        fleet = Fleet(shape, Path(folder))
        stack.push_async_callback(fleet.close)
        await fleet.start_platform()
        await fleet.start_upstreams()
        keys = {
            name: {'peer_key': f'key of the peer {name}'}
            if isolate_nodes
            else {}
            for name in shape.nodes
        }
        await asyncio.gather(
            *(fleet.start_node(name, **key) for name, key in keys.items())
        )
        await fleet.apply()
        await fleet.wait_connected(peers=not isolate_nodes)
        yield fleet
