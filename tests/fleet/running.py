"""Runs a node in this process against stand-ins for store and replicas.

The node runs as it does in a process of its own, with its real sockets; the
store and the replicas are stand-ins on loopback.
"""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import ClientSession, web

from ryelatch_core.events import LineLog
from ryelatch_core.kernel import App, BootClock
from ryelatch_node.ports import Address, RelayStartup
from ryelatch_node.relay import RelayServer
from ryelatch_platform._main import build_app
from standins.objects import ObjectStore
from standins.replica import ReplicaStandIn

MODEL_SERVICE = 'model'
NON_MODEL_SERVICE = 'booking'
KEY = 'ward-1-key'
LAYERS = 8
SETTLED_SECONDS = 3


@dataclass
class RunningNode:
    """A node, its stand-ins, and what it wrote."""

    store: ObjectStore
    replicas: dict[str, ReplicaStandIn]
    app: App
    startup: RelayStartup
    http: ClientSession
    lines: list[dict[str, Any]]
    runners: list[web.AppRunner] = field(default_factory=list)

    @property
    def url(self) -> str:
        """Where clients connect."""
        return f'http://127.0.0.1:{self.server.front.port}'

    @property
    def server(self) -> RelayServer:
        """The listening side of the node."""
        return self.app.find('server', RelayServer)

    def count(self, name: str) -> int:
        """Count the log lines of an event."""
        return sum(line['name'] == name for line in self.lines)

    def find(self, name: str) -> dict[str, Any]:
        """Find the first log line of an event."""
        return next(line for line in self.lines if line['name'] == name)

    async def add(self, replica: ReplicaStandIn) -> ReplicaStandIn:
        """Start a replica and register it."""
        replica.store = self.store
        runner, port = await _serve(replica.make_app())
        replica.stop_listening = next(iter(runner.sites)).stop
        self.runners.append(runner)
        replica.address = f'127.0.0.1:{port}'
        self.replicas[replica.name] = replica
        replica.register()
        return replica


async def wait_until(
    check: Callable[[], Any],
    seconds: float = 10,
) -> None:
    """Wait until something holds."""
    async with asyncio.timeout(seconds):
        while not check():
            await asyncio.sleep(0.01)


def make_route(name: str, **changes: Any) -> dict[str, Any]:
    """Write a route as operators do."""
    return {
        'name': name,
        'host': 'city.example',
        'pathPrefix': f'/{name}/',
        'routeKind': 'idempotent',
        'timeoutMs': 3000,
        'targetLatencyMs': 500,
        'priority': 1,
        'service': NON_MODEL_SERVICE,
        'maxAttempts': 2,
        **changes,
    }


def make_configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Write a configuration as operators do."""
    return {
        'version': version,
        'routes': [
            make_route('ping'),
            make_route('book', routeKind='non_idempotent', maxAttempts=1),
            make_route(
                'plan',
                routeKind='streaming',
                resumable=True,
                service=MODEL_SERVICE,
                timeoutMs=10_000,
            ),
        ],
        'services': [
            {
                'name': MODEL_SERVICE,
                'engine': {
                    'layers': LAYERS,
                    'layerMb': 1000,
                    'kvTokenBytes': 80_000,
                    'step_ms': 1,
                    'per_seq_ms': 0.01,
                    'read_per_s': 100_000,
                    'models': [{'name': 'm', 'loadS': 1}],
                    'usual': {'prompt': 100, 'answer': 20},
                    'kinds': [
                        {'name': 'big', 'sizeMb': 9000, 'pace': 1},
                        {'name': 'small', 'sizeMb': 5000, 'pace': 2},
                    ],
                },
            },
            {'name': NON_MODEL_SERVICE},
        ],
        'limits': {'idleTimeoutMs': 5000, 'maxBodyBytes': 10_000},
        'tenants': [{'name': 'ward-1', 'apiKeys': [KEY]}],
        **changes,
    }


def make_non_model_replicas(count: int = 2) -> list[ReplicaStandIn]:
    """Make replicas of the plain service."""
    return [
        ReplicaStandIn(f'b-{number}', NON_MODEL_SERVICE) for number in range(count)
    ]


def make_model_replicas(*held: tuple[int, int] | None) -> list[ReplicaStandIn]:
    """Make replicas of the model, each with the layers it holds."""
    return [
        ReplicaStandIn(
            f'm-{number}',
            MODEL_SERVICE,
            accelerator='big'
            if layers and layers[1] - layers[0] > 4
            else 'small',
            layers=layers,
        )
        for number, layers in enumerate(held)
    ]


@contextlib.asynccontextmanager
async def run_peer(
    node: RunningNode,
    name: str,
    **changes: Any,
) -> AsyncIterator[RunningNode]:
    """Start another node beside one, at the same store and replicas."""
    startup = node.startup._replace(name=name, **changes)
    peer = _make_node(node.store, node.replicas, startup, node.http)
    try:
        await _start(peer)
        yield peer
    finally:
        await peer.app.stop()


@contextlib.asynccontextmanager
async def run_nodes(
    replicas: Iterable[ReplicaStandIn],
    count: int,
) -> AsyncIterator[list[RunningNode]]:
    """Run some nodes at one store that know each other."""
    async with contextlib.AsyncExitStack() as stack:
        first = await stack.enter_async_context(run_node(replicas))
        peers = [
            await stack.enter_async_context(run_peer(first, f'peer-{number}'))
            for number in range(1, count)
        ]
        nodes = [first, *peers]
        names = [node.startup.name for node in nodes]
        await wait_until(
            lambda: all(first.store.get('ryelatch-nodes', one) for one in names)
        )
        # Nodes are counted some times after their start, the last time then.
        await asyncio.sleep(SETTLED_SECONDS)
        yield nodes


@contextlib.asynccontextmanager
async def run_node(
    replicas: Iterable[ReplicaStandIn],
    configuration: dict[str, Any] | None = None,
    **changes: Any,
) -> AsyncIterator[RunningNode]:
    """Start a store, replicas and a node; end them in order."""
    store = ObjectStore()
    store.put('config', 'main', configuration or make_configuration())
    runner, port = await _serve(store.make_app())
    startup = make_startup(port)._replace(**changes)
    async with ClientSession(auto_decompress=False) as http:
        node = _make_node(store, {}, startup, http)
        node.runners.append(runner)
        try:
            for replica in replicas:
                await node.add(replica)
            await _start(node)
            yield node
        finally:
            await node.app.stop()
            for one in node.runners:
                await one.cleanup()


def _make_node(
    store: ObjectStore,
    replicas: dict[str, ReplicaStandIn],
    startup: RelayStartup,
    http: ClientSession,
) -> RunningNode:
    lines: list[dict[str, Any]] = []
    clock = BootClock()
    log = LineLog(startup.name, clock, _collect(lines))
    app = build_app(startup, log, clock)
    return RunningNode(store, replicas, app, startup, http, lines)


async def _start(node: RunningNode) -> None:
    await node.app.start()
    await wait_until(lambda: node.count('configuration-applied'))
    await wait_until(lambda: node.count('replica-listed') >= len(node.replicas))


async def ask(
    node: RunningNode,
    path: str,
    *,
    method: str = 'POST',
    identity: str = 'r-1',
    content: bytes = b'question',
    **headers: str,
) -> tuple[int, bytes, dict[str, str]]:
    """Ask as a client does.

    :returns: status, body, headers in lower case.
    """
    async with open_request(
        node,
        path,
        method=method,
        identity=identity,
        content=content,
        **headers,
    ) as response:
        body = await response.read()
        found = {name.lower(): text for name, text in response.headers.items()}
        return response.status, body, found


def open_request(
    node: RunningNode,
    path: str,
    *,
    method: str = 'POST',
    identity: str = 'r-1',
    content: bytes = b'question',
    **headers: str,
) -> Any:
    """Open a request as a client does."""
    sent = {
        'Host': 'city.example',
        'X-Ryelatch-Request-Id': identity,
        'X-Ryelatch-Deadline-Ms': '5000',
        'X-Ryelatch-Token-Usage': '100,40',
        'Api-Key': KEY,
        **{name.replace('_', '-'): text for name, text in headers.items()},
    }
    return node.http.request(
        method, f'{node.url}{path}', headers=sent, data=content
    )


def make_event_stream(count: int) -> bytes:
    """Write the whole stream of a replica."""
    return b''.join(
        f'id: {number}\ndata: token {number}\n\n'.encode()
        for number in range(1, count + 1)
    )


def _collect(lines: list[dict[str, Any]]) -> Callable[[bytes], int]:
    def write(line: bytes) -> int:
        lines.append(json.loads(line))
        return len(line)

    return write


def make_startup(store_port: int) -> RelayStartup:
    """Make the settings of a node, with the store on a loopback port."""
    host = '127.0.0.1'
    return RelayStartup(
        name='node-a',
        zone='zone-a',
        front=Address(host, 0),
        readiness=Address(host, 0),
        metrics=Address(host, 0),
        peers=Address(host, 0),
        link_mbps=1000,
        store=Address(host, store_port),
        zones=('zone-a',),
        retry_ratio=0.2,
        retry_extra=200,
        retry_window=10,
        grace=4,
        revoke_seconds=5,
        drain_seconds=2,
        steady_seconds=3,
        stall_seconds=2,
        fenced=True,
    )


async def _serve(
    app: web.Application,
) -> tuple[web.AppRunner, int]:
    runner = web.AppRunner(
        app, shutdown_timeout=0.1, access_log=None, handler_cancellation=True
    )
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    port: int = runner.addresses[0][1]
    return runner, port
