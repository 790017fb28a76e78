"""Runs nodes in this process against stand-ins for store and replicas.

The nodes use the same code and real sockets as in a process of their own; the
store and the replicas are stand-ins that listen on loopback.
"""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from aiohttp import ClientSession, TCPConnector, web
from aiohttp.web_protocol import RequestHandler

from ryelatch_core.events import LineLog
from ryelatch_core.kernel import App, BootClock
from ryelatch_node.ports import Address, RelayStartup
from ryelatch_node.relay import RelayServer
from ryelatch_platform._main import build_app
from standins.objects import ObjectStore
from standins.replica import ReplicaStandIn, make_event

MODEL_SERVICE = 'model'
NON_MODEL_SERVICE = 'booking'
KEY = 'ward-1-key'
LAYERS = 8
_KEPT_FRACTION = 0.8
"""Part of the idle timeout for which clients keep a connection."""

_SETTLING_SECONDS = 3
"""Time after which nodes that started together have counted each other.

They count several times after their start, the last time about then.
"""


@dataclass
class RunningNode:
    """A node with its stand-ins and its log.

    :param lines: log lines of the node, decoded.
    :param runners: servers of the stand-ins, to be stopped at the end.
    """

    store: ObjectStore
    replicas: dict[str, ReplicaStandIn]
    app: App
    startup: RelayStartup
    http: ClientSession
    lines: list[dict[str, Any]]
    runners: list[web.AppRunner] = field(default_factory=list)

    @property
    def url(self) -> str:
        """The base URL for clients."""
        return f'http://127.0.0.1:{self.server.front.port}'

    @property
    def server(self) -> RelayServer:
        """The server of the node, which owns its listening sockets."""
        return self.app.find('server', RelayServer)

    def count(self, name: str) -> int:
        """Count the log lines of an event."""
        return sum(line['name'] == name for line in self.lines)

    def find(self, name: str) -> dict[str, Any]:
        """Find the first log line of an event."""
        return next(line for line in self.lines if line['name'] == name)

    async def add(self, replica: ReplicaStandIn) -> ReplicaStandIn:
        """Start a replica, and register it at the store."""
        replica.store = self.store
        runner, port = await serve_app(replica.make_app())
        replica.stop_listening = partial(_stop_listening, runner)
        assert runner.server is not None
        replica.list_connections = partial(list_connections, runner.server)
        replica.listen_again = partial(_listen, runner, port)
        self.runners.append(runner)
        replica.address = f'127.0.0.1:{port}'
        self.replicas[replica.name] = replica
        replica.register()
        return replica


def list_connections(server: web.Server) -> list[RequestHandler]:
    """List the open connections of a stand-in."""
    return list(server.connections)


async def wait_until(
    check: Callable[[], Any],
    seconds: float = 10,
) -> None:
    """Wait until a condition is true.

    :raises TimeoutError: if it isn't within the given seconds.
    """
    async with asyncio.timeout(seconds):
        while not check():
            await asyncio.sleep(0.01)


def make_route(name: str, **changes: Any) -> dict[str, Any]:
    """Make a route in the form in which operators write it."""
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
    """Make a configuration in the form in which operators write it."""
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


def make_connector(configuration: dict[str, Any]) -> TCPConnector:
    """Make the connections of a client that keeps them no longer than it may.

    A request that it sends at the idle timeout crosses the node's close.
    """
    idle_ms = configuration['limits']['idleTimeoutMs']
    return TCPConnector(keepalive_timeout=_KEPT_FRACTION * idle_ms / 1000)


def make_once_configuration() -> dict[str, Any]:
    """Make a configuration with a stream that may run once only."""
    configuration = make_configuration()
    once = make_route(
        'once',
        routeKind='streaming',
        service=MODEL_SERVICE,
        timeoutMs=10_000,
    )
    configuration['routes'].append(once)
    return configuration


def make_non_model_replicas(count: int = 2) -> list[ReplicaStandIn]:
    """Make replicas of the non-model service."""
    return [
        ReplicaStandIn(f'b-{number}', NON_MODEL_SERVICE)
        for number in range(count)
    ]


def make_model_replicas(*held: tuple[int, int] | None) -> list[ReplicaStandIn]:
    """Make replicas of the model.

    :param held: layers that each holds: the first, and the one after the last.
    """
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
    """Run another node with the same store and replicas.

    :param changes: start-up settings in which it differs from the first node.
    """
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
    """Run nodes with the same store that have counted each other."""
    async with contextlib.AsyncExitStack() as stack:
        first = await stack.enter_async_context(run_node(replicas))
        peers = [
            await stack.enter_async_context(run_peer(first, f'peer-{number}'))
            for number in range(1, count)
        ]
        nodes = [first, *peers]
        await settle_nodes(nodes)
        yield nodes


async def settle_nodes(nodes: list[RunningNode]) -> None:
    """Wait until nodes with the same store have counted each other."""
    store = nodes[0].store
    names = [node.startup.name for node in nodes]
    await wait_until(
        lambda: all(store.get('ryelatch-nodes', name) for name in names)
    )
    await asyncio.sleep(_SETTLING_SECONDS)


@contextlib.asynccontextmanager
async def run_node(
    replicas: Iterable[ReplicaStandIn],
    configuration: dict[str, Any] | None = None,
    **changes: Any,
) -> AsyncIterator[RunningNode]:
    """Run a node with a store and replicas; stop the node first.

    :param changes: start-up settings in which it differs from the default.
    """
    store = ObjectStore()
    configuration = configuration or make_configuration()
    store.put('config', 'main', configuration)
    runner, port = await serve_app(store.make_app())
    startup = make_startup(port)._replace(**changes)
    async with ClientSession(
        connector=make_connector(configuration), auto_decompress=False
    ) as http:
        node = _make_node(store, {}, startup, http)
        node.runners.append(runner)
        try:
            for replica in replicas:
                await node.add(replica)
            await _start(node)
            yield node
        finally:
            await node.app.stop()
            for stand_in in node.runners:
                await stand_in.cleanup()


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
    """Send a request to a node, and read the complete response.

    :param identity: request identity, which the client chooses.
    :param headers: further headers, with ``_`` in place of ``-``.
    :returns: status, body, headers by name in lower case.
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
    """Send a request to a node, for a caller that reads the response itself.

    :param identity: request identity, which the client chooses.
    :param headers: further headers, with ``_`` in place of ``-``.
    """
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


def make_request(path: str, *, version: str = '1.1') -> bytes:
    """Make a request of a client that writes it to a connection itself.

    :param version: of HTTP.
    """
    lines = (
        f'POST {path} HTTP/{version}',
        'Host: city.example',
        'X-Ryelatch-Request-Id: r-1',
        'X-Ryelatch-Deadline-Ms: 20000',
        'X-Ryelatch-Token-Usage: 100,40',
        f'Api-Key: {KEY}',
        'Content-Length: 0',
    )
    return '\r\n'.join((*lines, '', '')).encode()


def make_event_stream(count: int, *, numbered: bool = True) -> bytes:
    """Make the complete event stream that a replica sends.

    :param count: number of events.
    :param numbered: whether its events have IDs.
    """
    return b''.join(
        make_event(number, numbered=numbered) for number in range(1, count + 1)
    )


def _collect(lines: list[dict[str, Any]]) -> Callable[[bytes], int]:
    def write(line: bytes) -> int:
        lines.append(json.loads(line))
        return len(line)

    return write


def make_startup(store_port: int) -> RelayStartup:
    """Make the start-up settings of a node.

    :param store_port: loopback port on which the store listens.
    """
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


async def serve_app(
    app: web.Application,
) -> tuple[web.AppRunner, int]:
    """Serve an application on loopback; returns its runner and port."""
    runner = web.AppRunner(
        app, shutdown_timeout=0.1, access_log=None, handler_cancellation=True
    )
    await runner.setup()
    await _listen(runner, 0)
    port: int = runner.addresses[0][1]
    return runner, port


async def _stop_listening(runner: web.AppRunner) -> None:
    for site in tuple(runner.sites):
        await site.stop()


async def _listen(runner: web.AppRunner, port: int) -> None:
    await web.TCPSite(runner, '127.0.0.1', port).start()
