"""A whole fleet: platform, engines, plain services, nodes."""

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
    """An engine to start."""

    name: str
    zone: str
    first: int
    last: int
    options: tuple[str, ...] = ()


@dataclass(frozen=True)
class Shape:
    """What a fleet consists of.

    :param nodes: availability zone by name of the node.
    :param non_model: availability zone by name of the plain upstream.
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
    """Make the shape of the Saigon example, in small."""
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
    """Running processes, and short ways to use them."""

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
        """The stand-in for the platform."""
        return self.processes['platform']

    @property
    def nodes(self) -> list[Process]:
        """The nodes that were started, by name."""
        return [
            self.processes[name]
            for name in self.shape.nodes
            if name in self.processes
        ]

    async def start_platform(self) -> None:
        """Start the platform."""
        self.processes['platform'] = await spawn_standin(
            'platform', 'platform', '--token', PLATFORM_TOKEN
        )

    async def start_upstreams(self) -> None:
        """Start all engines and plain services."""
        await asyncio.gather(
            *(self.start_engine(spec) for spec in self.shape.engines),
            *(
                self.start_non_model(name, zone)
                for name, zone in self.shape.non_model.items()
            ),
        )

    async def start_engine(self, spec: EngineSpec, port: int = 0) -> Process:
        """Start an engine and list it."""
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
        await self._list(process, 'engine', spec.zone)
        return process

    async def start_non_model(self, name: str, zone: str) -> Process:
        """Start a plain service and list it."""
        process = await spawn_standin(name, 'booking')
        await self._list(process, self.shape.role, zone)
        return process

    async def start_node(self, name: str, **extra: Any) -> Process:
        """Start a node and wait until it listens."""
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
        await self.wait_until(lambda: _find_ports(process) or _ended(process))
        ports = _find_ports(process)
        if not ports:
            raise RuntimeError('\n'.join(process.log))
        process.address = f'127.0.0.1:{ports["port"]}'
        address = f'127.0.0.1:{ports["peers"]}'
        self.vms[name] = _describe(name, 'node', address, startup['zone'])
        await self.publish_vms()
        return process

    async def publish_vms(self) -> None:
        """Let the platform know the VMs."""
        await self.control(self.platform, 'vms', list(self.vms.values()))

    async def forget(self, name: str) -> None:
        """Take a VM off the list."""
        self.vms.pop(name, None)
        await self.publish_vms()

    async def control(self, process: Process, what: str, body: Any) -> None:
        """Change a stand-in."""
        url = f'{process.url}/control/{what}'
        async with self.http.put(url, json=body) as response:
            response.raise_for_status()

    async def inspect(self, process: Process, what: str) -> Any:
        """Read from a stand-in what it saw."""
        url = f'{process.url}/control/{what}'
        async with self.http.get(url) as response:
            return json.loads(await response.text())

    async def silence_connections(self, process: Process) -> None:
        """Let all open connections of a stand-in go silent for good."""
        url = f'{process.url}/control/silence'
        async with self.http.post(url) as response:
            response.raise_for_status()

    async def run_cli(self, *arguments: str) -> tuple[int, str, str]:
        """Run the command line; its exit code and output."""
        env = os.environ | {
            'RYELATCH_PLATFORM_URL': self.platform.url,
            'RYELATCH_PLATFORM_TOKEN': PLATFORM_TOKEN,
            'RYELATCH_NODES': ','.join(
                node.url for node in self.nodes if not _ended(node)
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
        """Apply settings through the command line."""
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
        """Write the example's settings, changed, into a file."""
        example = EXAMPLES / self.shape.settings
        tree = yaml.safe_load(example.read_text())
        if tweak is not None:
            tweak(tree)
        path = self.folder / name
        path.write_text(yaml.safe_dump(tree, sort_keys=False))
        return path

    async def status(self, node: Process) -> dict[str, Any]:
        """Ask a node what it knows."""
        answer: dict[str, Any] = await self.ask_admin(node, 'status')
        return answer

    async def ask_admin(self, node: Process, path: str) -> Any:
        """Call an operators' endpoint of a node."""
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
        """Wait until all nodes have links to all engines and to peers."""
        streams = len([node for node in self.nodes if not _ended(node)]) - 1
        wanted = len(self.shape.engines) if count is None else count
        running = [node for node in self.nodes if not _ended(node)]

        async def connected() -> bool:
            found = [await self.status(node) for node in running]
            return all(
                sum(
                    upstream['connected'] and not upstream['leaving']
                    for upstream in status['upstreams']
                )
                >= wanted
                and len(status['peers']) >= streams * peers
                for status in found
            )

        await self.wait_for(connected)

    async def wait_for(self, condition: Callable[[], Any]) -> None:
        """Wait until an asynchronous condition holds."""
        async with asyncio.timeout(_WAIT_SECONDS):
            while not await condition():
                await asyncio.sleep(_POLL_SECONDS)

    async def wait_until(self, condition: Callable[[], Any]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(_WAIT_SECONDS):
            while not condition():
                await asyncio.sleep(_POLL_SECONDS)

    async def close(self) -> None:
        """End all processes."""
        await self.http.close()
        await asyncio.gather(
            *(process.kill() for process in self.processes.values())
        )

    async def _list(self, process: Process, role: str, zone: str) -> None:
        self.processes[process.name] = process
        self.vms[process.name] = _describe(
            process.name, role, process.address, zone
        )
        await self.publish_vms()


def _describe(name: str, role: str, address: str, zone: str) -> dict[str, Any]:
    return {
        'name': name,
        'role': role,
        'address': address,
        'zone': zone,
        'leaving': False,
    }


def _find_ports(node: Process) -> dict[str, str]:
    """Read the ports that the system chose from a node's first line."""
    lines = [line for line in node.log if 'RL1101' in line]
    words = lines[0].split() if lines else []
    return dict(word.split('=', 1) for word in words if '=' in word)


def _ended(process: Process) -> bool:
    return process.child.returncode is not None


@asynccontextmanager
async def run_fleet(
    shape: Shape,
    *,
    apart: bool = False,
) -> AsyncIterator[Fleet]:
    """Bring up a fleet with its settings in force, and end it after.

    :param apart: the nodes don't know each other's key, so hear nothing.
    """
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        fleet = Fleet(shape, Path(folder))
        stack.push_async_callback(fleet.close)
        await fleet.start_platform()
        await fleet.start_upstreams()
        keys = {
            name: {'peer_key': f'key of the peer {name}'} if apart else {}
            for name in shape.nodes
        }
        await asyncio.gather(
            *(fleet.start_node(name, **key) for name, key in keys.items())
        )
        await fleet.apply()
        await fleet.wait_connected(peers=not apart)
        yield fleet
